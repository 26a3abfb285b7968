//! Calls over a small pool of connections.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::de::DeserializeOwned;

use crate::Error;
use crate::channel::Answer;
use crate::channel::Call;
use crate::channel::Channel;
use crate::channel::Failure;

/// How long a call may take, beyond what it was asked to wait.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// For how long an unused connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// The number of unused connections kept.
const POOL_LIMIT: usize = 8;
/// When to come back, if the platform doesn't say.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A client of one address.
pub(crate) struct Client {
    address: SocketAddr,
    host: String,
    idle: Mutex<Vec<Channel>>,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, host: address.to_string(), idle: Mutex::new(Vec::new()) }
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads a JSON document.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        path: String,
        timeout: Duration,
    ) -> Result<T, Error> {
        let call = Call { method: Method::GET, path, body: Bytes::new() };
        let answer = self.call(&call, timeout).await?;
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
        let call = Call { method: Method::POST, path, body };
        let answer = self.call(&call, timeout).await?;
        decode(&answer)
    }

    async fn call(&self, call: &Call, timeout: Duration) -> Result<Answer, Error> {
        if let Some(channel) = self.take() {
            match self.attempt(channel, call, timeout).await {
                Err(Failure::NotSent) => (),
                Err(Failure::Broken) if call.method == Method::GET => (),
                result => return result.map_err(error),
            }
        }
        let channel = Channel::open(self.address).await.map_err(error)?;
        self.attempt(channel, call, timeout).await.map_err(error)
    }

    async fn attempt(
        &self,
        mut channel: Channel,
        call: &Call,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let exchange = channel.exchange(call, &self.host);
        let Ok(result) = tokio::time::timeout(timeout, exchange).await else {
            self.forget_idle();
            return Err(Failure::Silent);
        };
        if result.is_ok() {
            self.give_back(channel);
        }
        result
    }

    fn take(&self) -> Option<Channel> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|channel| channel.idle() < IDLE_LIMIT);
        idle.pop()
    }

    fn give_back(&self, channel: Channel) {
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
