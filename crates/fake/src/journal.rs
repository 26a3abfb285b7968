//! The journal of all requests that a runner has received.

use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;

use crate::reply;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// It was answered as a whole.
    Answered,
    /// The caller hung up or cancelled it.
    Cancelled,
    /// The runner crashed.
    Crashed,
    /// The runner refused it.
    Refused,
}

/// One request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The id of the request.
    pub request: Option<String>,
    /// The id of the attempt.
    pub attempt: Option<String>,
    /// The path.
    pub path: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// Bytes of the body.
    pub bytes: u64,
    /// The workspace.
    pub workspace: Option<String>,
    /// When it came, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// How it ended.
    pub outcome: Option<Outcome>,
    /// Tokens generated.
    pub tokens: u64,
    /// Requests running and queued when it came, with itself.
    pub peak: u32,
    /// Number of the execution, if the call was executed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub execution: Option<u64>,
    /// Digest of the body, in hex.
    pub digest: String,
}

impl Entry {
    /// Creates the entry of a request that came now.
    #[must_use]
    pub fn new(path: &str, headers: &HeaderMap, body: &[u8], peak: u32) -> Self {
        Self {
            request: reply::header(headers, "x-request-id"),
            attempt: reply::header(headers, "x-attempt-id"),
            path: path.to_owned(),
            key: reply::header(headers, "idempotency-key"),
            bytes: body.len() as u64,
            workspace: reply::header(headers, "x-workspace"),
            started_ms: reply::wall_millis(),
            ended_ms: None,
            outcome: None,
            tokens: 0,
            peak,
            execution: None,
            digest: format!("{:016x}", digest(body)),
        }
    }

    /// Notes how the request ended, unless that is known already; returns whether it was new.
    pub fn end(&mut self, outcome: Outcome) -> bool {
        let is_new = self.outcome.is_none();
        if is_new {
            self.outcome = Some(outcome);
            self.ended_ms = Some(reply::wall_millis());
        }
        is_new
    }
}

/// Returns the FNV-1a digest of bytes.
#[must_use]
pub fn digest(bytes: &[u8]) -> u64 {
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, fold)
}

/// Everything that a runner reports about what it received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// All requests, oldest first.
    pub requests: Vec<Entry>,
    /// All orders, oldest first.
    pub orders: Vec<Order>,
    /// The most requests at the same time while cold.
    pub peak_cold: u32,
    /// How often the runner fell over.
    pub falls: u64,
    /// How many requests were cancelled.
    pub cancels: u64,
    /// Connections accepted, without control calls and load reports.
    pub raw_connections: u64,
    /// Bytes read, without control calls and load reports.
    pub raw_bytes: u64,
}

/// One order that a runner has received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What was ordered.
    pub order: String,
    /// The name that the order concerns.
    pub name: String,
    /// The fence of the order.
    pub fence: u64,
    /// Whether the runner obeyed.
    pub is_obeyed: bool,
}
