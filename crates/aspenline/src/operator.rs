//! The operators' interface of routers over HTTP.

use std::env;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;
use tokio::time;

use crate::failure::Failure;

/// The environment variable that holds the operators' token.
const TOKEN_VARIABLE: &str = "ASPENLINE_TOKEN";
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an answer may take; the router waits for the platform's log meanwhile.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest answer, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// Routers that are tried in turn, and the token that is shown to them.
#[derive(Clone)]
pub(crate) struct Client {
    routers: Vec<SocketAddr>,
    token: String,
}

/// A call to a router.
#[derive(Debug, Clone)]
pub(crate) struct ApiRequest {
    method: Method,
    path: &'static str,
    body: String,
}

/// The answer of a router.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    /// The router that answered.
    pub(crate) router: SocketAddr,
    /// The status code.
    pub(crate) status: StatusCode,
    /// The body.
    pub(crate) body: Bytes,
}

/// Why a router did not answer.
#[derive(Debug)]
enum ExchangeError {
    /// Nothing was sent.
    NotSent(String),
    /// The call may have been taken.
    OutcomeUnknown(String),
}

impl ApiRequest {
    /// Creates a call that reads.
    pub(crate) const fn get(path: &'static str) -> Self {
        Self { method: Method::GET, path, body: String::new() }
    }

    /// Creates a call that changes something.
    pub(crate) fn post(path: &'static str, body: &Value) -> Self {
        Self { method: Method::POST, path, body: body.to_string() }
    }
}

/// Adds the options of an operators' command.
pub(crate) fn options(command: Command) -> Command {
    let router = Arg::new("router")
        .long("router")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .action(ArgAction::Append)
        .required(true)
        .help("Address of a router; several are tried in turn");
    let token = Arg::new("token")
        .long("token")
        .value_name("TOKEN")
        .help("The operators' token [default: the environment variable ASPENLINE_TOKEN]");
    command.arg(router).arg(token)
}

impl Client {
    /// Reads the options of an operators' command.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, Failure> {
        let routers = matches.get_many::<SocketAddr>("router").unwrap_or_default();
        let given = matches.get_one::<String>("token").cloned();
        let token = given.or_else(|| env::var(TOKEN_VARIABLE).ok()).ok_or_else(|| {
            Failure::Invalid(format!("no token: give --token TOKEN or set {TOKEN_VARIABLE}"))
        })?;
        Ok(Self { routers: routers.copied().collect(), token })
    }

    /// Returns the same operator who asks one other router only.
    pub(crate) fn with_router(&self, router: SocketAddr) -> Self {
        Self { routers: vec![router], token: self.token.clone() }
    }

    /// Makes a call to the first router that can be reached and returns its good answer.
    pub(crate) async fn execute_checked(&self, request: &ApiRequest) -> Result<Answer, Failure> {
        let answer = self.execute(request).await?;
        if answer.status.is_success() { Ok(answer) } else { Err(answer.failure()) }
    }

    /// Makes a call to the first router that can be reached and returns its answer.
    ///
    /// A call that changes something goes on to the next router only if nothing of it was sent.
    pub(crate) async fn execute(&self, request: &ApiRequest) -> Result<Answer, Failure> {
        let mut reasons = Vec::new();
        for router in &self.routers {
            match self.exchange(*router, request).await {
                Ok(answer) => return Ok(answer),
                Err(ExchangeError::OutcomeUnknown(reason)) if request.method != Method::GET => {
                    let detail = "it is not known whether the order was taken; see `status`";
                    return Err(Failure::Unreachable(format!("{router}: {reason}; {detail}")));
                }
                Err(ExchangeError::NotSent(reason) | ExchangeError::OutcomeUnknown(reason)) => {
                    reasons.push(format!("{router}: {reason}"));
                }
            }
        }
        Err(Failure::Unreachable(format!("no router answers: {}", reasons.join("; "))))
    }

    async fn exchange(
        &self,
        router: SocketAddr,
        request: &ApiRequest,
    ) -> Result<Answer, ExchangeError> {
        let opened = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(router)).await;
        let stream = opened
            .map_err(|_| ExchangeError::NotSent("no connection in time".to_owned()))?
            .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
        let mut tasks = JoinSet::new();
        tasks.spawn(connection);
        let request = self.http_request(router, request)?;
        let answer = async {
            let response = sender.send_request(request).await.map_err(outcome_unknown)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), ANSWER_LIMIT).collect().await;
            let body =
                body.map_err(|error| ExchangeError::OutcomeUnknown(error.to_string()))?.to_bytes();
            Ok(Answer { router, status, body })
        };
        let answer = time::timeout(ANSWER_TIMEOUT, answer).await;
        tasks.shutdown().await;
        answer.map_err(|_| ExchangeError::OutcomeUnknown("no answer in time".to_owned()))?
    }

    fn http_request(
        &self,
        router: SocketAddr,
        request: &ApiRequest,
    ) -> Result<Request<Full<Bytes>>, ExchangeError> {
        Request::builder()
            .method(request.method.clone())
            .uri(request.path)
            .header(header::HOST, router.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(request.body.clone()))
            .map_err(|error| ExchangeError::NotSent(error.to_string()))
    }
}

impl Answer {
    /// Reads the body as JSON.
    pub(crate) fn json(&self) -> Result<Value, Failure> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Failure::Failed(format!("{}: no JSON: {error}", self.router)))
    }

    /// Returns the failure that a refusal stands for.
    pub(crate) fn failure(&self) -> Failure {
        let problem: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let detail = problem.get("detail").and_then(Value::as_str).unwrap_or("no detail");
        let text = format!("{}: {}: {detail}", self.router, self.status);
        match self.status {
            StatusCode::CONFLICT => Failure::Conflict(text),
            StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => Failure::Invalid(text),
            StatusCode::SERVICE_UNAVAILABLE => Failure::Unreachable(text),
            _ => Failure::Failed(text),
        }
    }
}

/// Creates the runtime of an operators' command.
pub(crate) fn runtime() -> Result<Runtime, Failure> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::Failed(format!("can't start: {error}")))
}

#[expect(clippy::needless_pass_by_value, reason = "given to map_err")]
fn outcome_unknown(error: hyper::Error) -> ExchangeError {
    ExchangeError::OutcomeUnknown(error.to_string())
}
