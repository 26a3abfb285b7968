//! Calls over a small pool of connections.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use conn::Connection;
use conn::Failure;
use http::Method;
use http::Request;
use http::header;
use http_body_util::Full;
use serde::de::DeserializeOwned;

use crate::Error;

/// How long a call may take, beyond what it was asked to wait.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest body of an answer, in bytes.
const BODY_LIMIT: usize = 64 << 20;
/// For how long an unused connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// The number of unused connections kept.
const POOL_LIMIT: usize = 8;
/// When to come back, if the platform doesn't say.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call to make.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The body, empty for none.
    pub body: Bytes,
    /// The media type of the body.
    pub media_type: Option<&'static str>,
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// When to come back, if the answer says so.
    pub retry_after: Option<Duration>,
    /// The body.
    pub body: Bytes,
}

/// A client of one address.
pub struct Client {
    address: SocketAddr,
    host: String,
    idle: Mutex<Vec<Connection>>,
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, host: address.to_string(), idle: Mutex::new(Vec::new()) }
    }

    /// Returns the address.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads a JSON document.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        path: String,
        timeout: Duration,
    ) -> Result<T, Error> {
        let call = Call { method: Method::GET, path, body: Bytes::new(), media_type: None };
        let answer = self.call(&call, timeout).await.map_err(error)?;
        decode(&answer)
    }

    /// Sends a text and reads a JSON document.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: String,
        body: &str,
        timeout: Duration,
    ) -> Result<T, Error> {
        let body = Bytes::copy_from_slice(body.as_bytes());
        let call = Call { method: Method::POST, path, body, media_type: None };
        let answer = self.call(&call, timeout).await.map_err(error)?;
        decode(&answer)
    }

    /// Makes a call on a kept connection or a new one; only reads are made again on a new one.
    ///
    /// # Errors
    /// Returns whether the call may have been done.
    pub async fn call(&self, call: &Call, timeout: Duration) -> Result<Answer, Failure> {
        if let Some(channel) = self.take() {
            match self.attempt(channel, call, timeout).await {
                Err(Failure::NotSent) => (),
                Err(Failure::Broken) if call.method == Method::GET => (),
                result => return result,
            }
        }
        let channel = Connection::open(self.address, CONNECT_TIMEOUT).await?;
        self.attempt(channel, call, timeout).await
    }

    async fn attempt(
        &self,
        mut channel: Connection,
        call: &Call,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let exchange = exchange(&mut channel, call, &self.host);
        let Ok(result) = tokio::time::timeout(timeout, exchange).await else {
            self.forget_idle();
            return Err(Failure::Silent);
        };
        if result.is_ok() {
            self.give_back(channel);
        }
        result
    }

    fn take(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|channel| channel.idle() < IDLE_LIMIT);
        idle.pop()
    }

    fn give_back(&self, channel: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if !channel.is_closed() && idle.len() < POOL_LIMIT {
            idle.push(channel);
        }
    }

    /// Drops all unused connections, since others may have gone silent with the one that did.
    fn forget_idle(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("address", &self.address).finish_non_exhaustive()
    }
}

async fn exchange(channel: &mut Connection, call: &Call, host: &str) -> Result<Answer, Failure> {
    let response = channel.send(request(call, host)?).await?;
    let status = response.status().as_u16();
    let retry_after = retry_after(response.headers());
    let body = channel.collect(response.into_body(), BODY_LIMIT).await?;
    Ok(Answer { status, retry_after, body })
}

fn request(call: &Call, host: &str) -> Result<Request<Full<Bytes>>, Failure> {
    let mut request =
        Request::builder().method(call.method.clone()).uri(&call.path).header(header::HOST, host);
    if let Some(media_type) = call.media_type {
        request = request.header(header::CONTENT_TYPE, media_type);
    }
    request.body(Full::new(call.body.clone())).map_err(|_| Failure::NotSent)
}

fn retry_after(headers: &http::HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(header::RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

const fn error(failure: Failure) -> Error {
    match failure {
        Failure::NotSent => Error::Unreachable,
        Failure::Broken | Failure::Silent => Error::Lost,
    }
}

fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T, Error> {
    match answer.status {
        200 => serde_json::from_slice(&answer.body).map_err(|_| Error::Malformed),
        410 => Err(gone(&answer.body)),
        429 | 503 => {
            Err(Error::Unavailable { retry_after: answer.retry_after.unwrap_or(RETRY_AFTER) })
        }
        500..=599 => Err(Error::Lost),
        _ => Err(Error::Malformed),
    }
}

fn gone(body: &[u8]) -> Error {
    match serde_json::from_slice::<crate::Span>(body) {
        Ok(span) => Error::Gone { first: span.first, next: span.next },
        Err(_) => Error::Malformed,
    }
}
