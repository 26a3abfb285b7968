//! HTTP calls over a small pool of connections.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use conn::Connection;
use conn::Failure;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::header;
use http_body_util::Full;
use serde::de::DeserializeOwned;

use crate::Error;

/// Timeout of a call, in addition to the time that it asks the service to wait.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// How long an unused connection stays in the pool.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);
/// Maximum number of unused connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Delay before a retry when the platform sends no `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An HTTP call.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub path: String,
    /// The body; empty when the call has none.
    pub body: Bytes,
    /// The media type of the body.
    pub media_type: Option<&'static str>,
}

/// A complete response.
#[derive(Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The delay before a retry, from the `Retry-After` header.
    pub retry_after: Option<Duration>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// An HTTP client of one address.
pub struct Client {
    address: SocketAddr,
    host: String,
    idle: Mutex<Vec<Connection>>,
}

impl Client {
    /// Creates a client that has no connections yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, host: address.to_string(), idle: Mutex::new(Vec::new()) }
    }

    /// Returns the address.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a GET request and decodes the JSON document in its response.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        path: String,
        timeout: Duration,
    ) -> Result<T, Error> {
        let call = Call { method: Method::GET, path, body: Bytes::new(), media_type: None };
        let answer = self.call(&call, timeout).await.map_err(call_error)?;
        decode(&answer)
    }

    /// Sends a POST request and decodes the JSON document in its response.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: String,
        body: &str,
        timeout: Duration,
    ) -> Result<T, Error> {
        let body = Bytes::copy_from_slice(body.as_bytes());
        let call = Call { method: Method::POST, path, body, media_type: None };
        let answer = self.call(&call, timeout).await.map_err(call_error)?;
        decode(&answer)
    }

    /// Makes a call on a pooled connection or on a new one.
    ///
    /// A call that a pooled connection did not send is sent on a new connection. One that it may have sent is repeated
    /// only if it is a GET request.
    ///
    /// # Errors
    /// Returns a failure that shows whether the call may have been sent.
    pub async fn call(&self, call: &Call, timeout: Duration) -> Result<Answer, Failure> {
        if let Some(connection) = self.take() {
            match self.call_on(connection, call, timeout).await {
                Err(Failure::NotSent) => (),
                Err(Failure::Broken) if call.method == Method::GET => (),
                result => return result,
            }
        }
        let connection = Connection::open(self.address, CONNECT_TIMEOUT).await?;
        self.call_on(connection, call, timeout).await
    }

    async fn call_on(
        &self,
        mut connection: Connection,
        call: &Call,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let exchange = exchange(&mut connection, call, &self.host);
        let Ok(result) = tokio::time::timeout(timeout, exchange).await else {
            self.drop_idle();
            return Err(Failure::Silent);
        };
        if result.is_ok() {
            self.release(connection);
        }
        result
    }

    fn take(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| connection.idle() < MAX_IDLE_TIME);
        idle.pop()
    }

    fn release(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if !connection.is_closed() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Drops all unused connections, since the cause of a timeout may affect them too.
    fn drop_idle(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("address", &self.address).finish_non_exhaustive()
    }
}

async fn exchange(connection: &mut Connection, call: &Call, host: &str) -> Result<Answer, Failure> {
    let response = connection.send(request(call, host)?).await?;
    let status = response.status().as_u16();
    let retry_after = retry_after(response.headers());
    let headers = response.headers().clone();
    let body = connection.collect(response.into_body(), MAX_BODY_BYTES).await?;
    Ok(Answer { status, retry_after, headers, body })
}

fn request(call: &Call, host: &str) -> Result<Request<Full<Bytes>>, Failure> {
    let mut request =
        Request::builder().method(call.method.clone()).uri(&call.path).header(header::HOST, host);
    if let Some(media_type) = call.media_type {
        request = request.header(header::CONTENT_TYPE, media_type);
    }
    request.body(Full::new(call.body.clone())).map_err(|_| Failure::NotSent)
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(header::RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

const fn call_error(failure: Failure) -> Error {
    match failure {
        Failure::NotSent => Error::Unreachable,
        Failure::Broken | Failure::Silent => Error::Lost,
    }
}

fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T, Error> {
    match answer.status {
        200 => serde_json::from_slice(&answer.body).map_err(|_| Error::Malformed),
        410 => Err(gone_error(&answer.body)),
        429 | 503 => Err(Error::Unavailable {
            retry_after: answer.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
        }),
        500..=599 => Err(Error::Lost),
        _ => Err(Error::Malformed),
    }
}

fn gone_error(body: &[u8]) -> Error {
    match serde_json::from_slice::<crate::Span>(body) {
        Ok(span) => Error::Gone { first: span.first, next: span.next },
        Err(_) => Error::Malformed,
    }
}
