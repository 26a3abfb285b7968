//! The client of the operators' HTTP interface of routers.

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
/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout for an answer; the router may have to wait for the platform's log.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A client that tries several routers in turn with the same token.
#[derive(Clone)]
pub(crate) struct Client {
    routers: Vec<SocketAddr>,
    token: String,
}

/// A request to a router.
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

/// The reason why a router did not answer.
#[derive(Debug)]
enum ExchangeError {
    /// Nothing was sent.
    NotSent(String),
    /// The router may have received the request.
    OutcomeUnknown(String),
}

impl ApiRequest {
    /// Creates a request that only reads.
    pub(crate) const fn get(path: &'static str) -> Self {
        Self { method: Method::GET, path, body: String::new() }
    }

    /// Creates a request that changes something.
    pub(crate) fn post(path: &'static str, body: &Value) -> Self {
        Self { method: Method::POST, path, body: body.to_string() }
    }
}

/// Adds the options that all operators' commands share.
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
    /// Creates a client from the options of an operators' command.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, Failure> {
        let routers = matches.get_many::<SocketAddr>("router").unwrap_or_default();
        let given = matches.get_one::<String>("token").cloned();
        let token = given.or_else(|| env::var(TOKEN_VARIABLE).ok()).ok_or_else(|| {
            Failure::Invalid(format!("no token: give --token TOKEN or set {TOKEN_VARIABLE}"))
        })?;
        Ok(Self { routers: routers.copied().collect(), token })
    }

    /// Returns a client with the same token that asks only the given router.
    pub(crate) fn with_router(&self, router: SocketAddr) -> Self {
        Self { routers: vec![router], token: self.token.clone() }
    }

    /// Sends a request to the first reachable router and returns its answer if the status is a success.
    pub(crate) async fn execute_checked(&self, request: &ApiRequest) -> Result<Answer, Failure> {
        let answer = self.execute(request).await?;
        if answer.status.is_success() { Ok(answer) } else { Err(answer.failure()) }
    }

    /// Sends a request to the first reachable router and returns its answer, whatever the status.
    ///
    /// A request that changes something is sent to the next router only if nothing of it was sent before.
    pub(crate) async fn execute(&self, request: &ApiRequest) -> Result<Answer, Failure> {
        let mut reasons = Vec::new();
        for router in &self.routers {
            match self.exchange(*router, request).await {
                Ok(answer) => return Ok(answer),
                Err(ExchangeError::OutcomeUnknown(reason)) if request.method != Method::GET => {
                    let detail = "it is unknown whether the order was applied; check `status`";
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
            .map_err(|_| ExchangeError::NotSent("timed out while connecting".to_owned()))?
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
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
            let body =
                body.map_err(|error| ExchangeError::OutcomeUnknown(error.to_string()))?.to_bytes();
            Ok(Answer { router, status, body })
        };
        let answer = time::timeout(ANSWER_TIMEOUT, answer).await;
        tasks.shutdown().await;
        answer.map_err(|_| {
            ExchangeError::OutcomeUnknown("timed out while waiting for an answer".to_owned())
        })?
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
    /// Parses the body as JSON.
    pub(crate) fn json(&self) -> Result<Value, Failure> {
        serde_json::from_slice(&self.body).map_err(|error| {
            Failure::Failed(format!("{}: the answer is not valid JSON: {error}", self.router))
        })
    }

    /// Converts the answer to a refused request to a failure.
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

/// Creates the asynchronous runtime of an operators' command.
pub(crate) fn runtime() -> Result<Runtime, Failure> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::Failed(format!("can't start the asynchronous runtime: {error}")))
}

#[expect(clippy::needless_pass_by_value, reason = "passed to map_err")]
fn outcome_unknown(error: hyper::Error) -> ExchangeError {
    ExchangeError::OutcomeUnknown(error.to_string())
}
