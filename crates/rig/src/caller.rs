//! A client that sends calls to the routers of a fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use serde::Deserialize;
use tokio::time::Instant;

use crate::Answer;
use crate::Call;
use crate::Error;
use crate::Failure;
use crate::answer::AnswerReader;
use crate::exchange;
use crate::exchange::Opened;

/// The timeout for a list of addresses.
const ADDRESSES_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout for a connection to a router.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// One router in a list of addresses.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct RouterAddress {
    /// The address for callers.
    pub address: SocketAddr,
    /// The availability zone.
    #[serde(default)]
    pub zone: String,
}

/// The list of routers that a router recommends to callers.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Addresses {
    /// The routers, best first.
    pub addresses: Vec<RouterAddress>,
    /// The time for which the list may be used, in milliseconds.
    pub ttl_ms: u64,
}

/// A client with the token of a workspace; clones share the list of routers.
#[derive(Debug, Clone)]
pub struct Caller {
    token: String,
    routers: Arc<Mutex<Vec<SocketAddr>>>,
    is_direct: bool,
}

impl Caller {
    /// Creates a caller with a list of routers.
    #[must_use]
    pub fn new(token: &str, routers: &[SocketAddr]) -> Self {
        let routers = Arc::new(Mutex::new(routers.to_vec()));
        Self { token: token.to_owned(), routers, is_direct: false }
    }

    /// Creates a caller that calls a runner directly, without a router.
    #[must_use]
    pub fn direct(runner: SocketAddr) -> Self {
        Self { is_direct: true, ..Self::new("direct", &[runner]) }
    }

    /// Returns the routers in the order in which they are tried.
    #[must_use]
    pub fn routers(&self) -> Vec<SocketAddr> {
        self.lock().clone()
    }

    /// Replaces the known routers.
    pub fn set_routers(&self, routers: &[SocketAddr]) {
        *self.lock() = routers.to_vec();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.routers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests the list of routers from the known routers, one after another.
    ///
    /// # Errors
    /// Returns the error of the last router if none answers.
    pub async fn addresses(&self, service: &str) -> Result<Addresses, Report<Error>> {
        let mut last = Report::new(Error::Unknown("router".to_owned()));
        for router in self.routers() {
            match self.addresses_at(router, service).await {
                Ok(addresses) => return Ok(addresses),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Requests the list of routers from one router, for a service or, if its name is empty, for any service.
    ///
    /// # Errors
    /// Returns an error if the router doesn't answer with a list.
    pub async fn addresses_at(
        &self,
        router: SocketAddr,
        service: &str,
    ) -> Result<Addresses, Report<Error>> {
        let what = format!("addresses at {router}");
        let path = match service {
            "" => "/v1/addresses".to_owned(),
            service => format!("/v1/addresses?service={service}"),
        };
        let request = Request::builder()
            .uri(path)
            .header(http::header::HOST, router.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(Bytes::new()))
            .change_context_lazy(|| Error::Malformed(what.clone()))?;
        let answer = exchange::send(router, request, ADDRESSES_TIMEOUT).await?;
        if !answer.status().is_success() {
            return Err(Report::new(Error::Refused(format!("{what}: {}", answer.status()))));
        }
        serde_json::from_slice(answer.body()).change_context(Error::Malformed(what))
    }

    /// Requests the list of routers and replaces the known routers by it.
    ///
    /// # Errors
    /// Returns an error if no router answers.
    pub async fn refresh(&self, service: &str) -> Result<(), Report<Error>> {
        let addresses = self.addresses(service).await?;
        let routers: Vec<SocketAddr> =
            addresses.addresses.iter().map(|router| router.address).collect();
        self.set_routers(&routers);
        Ok(())
    }

    /// Sends a call to the first router that accepts a connection; no call is sent twice.
    pub async fn call(&self, call: &Call) -> Answer {
        let started = Instant::now();
        let mut reader = AnswerReader::default();
        let work = self.send_call(call, started, &mut reader);
        let failure = match tokio::time::timeout(call.timeout, work).await {
            Ok(failure) => failure,
            Err(_) => Some(Failure::Timeout),
        };
        reader.finish(failure, started.elapsed())
    }

    async fn send_call(
        &self,
        call: &Call,
        started: Instant,
        reader: &mut AnswerReader,
    ) -> Option<Failure> {
        let Some((router, opened)) = self.connect().await else { return Some(Failure::Connect) };
        reader.answer.router = Some(router);
        let prefix =
            if self.is_direct { String::new() } else { format!("/v1/services/{}", call.service) };
        let Some(request) = call.request(&router.to_string(), &prefix, &self.token) else {
            return Some(Failure::Connect);
        };
        let Opened { mut sender, connection } = opened;
        let work = async {
            let Ok(response) = sender.send_request(request).await else {
                return Some(Failure::NoHead);
            };
            let (parts, mut body) = response.into_parts();
            reader.answer.status = Some(parts.status);
            reader.answer.headers = parts.headers;
            reader.answer.head_at = Some(started.elapsed());
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else { return Some(Failure::Broken) };
                if let Ok(bytes) = frame.into_data() {
                    reader.receive_body(&bytes, started.elapsed());
                }
                let tokens = reader.answer.tokens.len();
                if call.hang_up_after.is_some_and(|limit| tokens >= limit as usize) {
                    return Some(Failure::HungUp);
                }
            }
            None
        };
        exchange::run_with_connection(connection, work).await
    }

    /// Connects to the first router that accepts a connection; the others are moved to the end of the list.
    async fn connect(&self) -> Option<(SocketAddr, Opened)> {
        for router in self.routers() {
            let opened = tokio::time::timeout(CONNECT_TIMEOUT, exchange::open(router)).await;
            if let Ok(Some(opened)) = opened {
                return Some((router, opened));
            }
            self.move_to_end(router);
        }
        None
    }

    fn move_to_end(&self, router: SocketAddr) {
        let mut routers = self.lock();
        if let Some(index) = routers.iter().position(|known| *known == router) {
            let router = routers.remove(index);
            routers.push(router);
        }
    }
}
