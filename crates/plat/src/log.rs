//! The platform's log service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::client::CALL_TIMEOUT;
use crate::client::Client;

/// A client of the log service, cheap to clone.
#[derive(Debug, Clone)]
pub struct Log {
    client: Arc<Client>,
}

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The position in the stream; the first is 1.
    pub offset: u64,
    /// The time at which the log accepted the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The text of the record.
    pub body: String,
}

/// Consecutive records of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The records, in ascending order of offset.
    pub records: Vec<Record>,
    /// The offset to read from next.
    pub next: u64,
    /// The oldest offset that is retained.
    pub first: u64,
}

/// The range of offsets that a stream retains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The oldest offset that is retained.
    pub first: u64,
    /// The offset of the next record.
    pub next: u64,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

impl Log {
    /// Creates a client; it connects on first use.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Arc::new(Client::new(address)) }
    }

    /// Returns the address of the log service.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    /// Returns [`Error::Unreachable`] or [`Error::Unavailable`] if the record was definitely not appended, and
    /// [`Error::Lost`] or [`Error::Malformed`] if it may have been.
    pub async fn append(&self, stream: &str, body: &str) -> Result<u64, Error> {
        let path = format!("/streams/{stream}/records");
        let appended: Appended = self.client.post(path, body, CALL_TIMEOUT).await?;
        Ok(appended.offset)
    }

    /// Reads at most `limit` records, starting at offset `from`, and waits up to `wait` for the first of them.
    ///
    /// # Errors
    /// Returns [`Error::Gone`] if `from` is no longer retained, and another error if the log can't be read.
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        limit: usize,
        wait: Duration,
    ) -> Result<Page, Error> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}");
        self.client.get(path, wait.saturating_add(CALL_TIMEOUT)).await
    }

    /// Returns the range of offsets that a stream retains.
    ///
    /// # Errors
    /// Returns an error if the log can't be read.
    pub async fn span(&self, stream: &str) -> Result<Span, Error> {
        self.client.get(format!("/streams/{stream}"), CALL_TIMEOUT).await
    }
}
