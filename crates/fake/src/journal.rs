//! The journal of a fake runner: the requests and orders that it has received.

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
    /// The request was answered completely.
    Answered,
    /// The caller disconnected or cancelled the request.
    Cancelled,
    /// The runner crashed before it had answered.
    Crashed,
    /// The runner refused the request.
    Refused,
}

/// One request in the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The id of the request.
    pub request: Option<String>,
    /// The id of the attempt.
    pub attempt: Option<String>,
    /// The path of the URL.
    pub path: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The length of the body in bytes.
    pub bytes: u64,
    /// The workspace.
    pub workspace: Option<String>,
    /// When it arrived, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// When it ended, in milliseconds since the Unix epoch, if it has.
    pub ended_ms: Option<u64>,
    /// How it ended, if it has.
    pub outcome: Option<Outcome>,
    /// The number of tokens generated.
    pub tokens: u64,
    /// The number of requests running and queued when it arrived, including itself.
    #[serde(rename = "peak")]
    pub in_flight: u32,
    /// The number of the execution, if the call was executed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub execution: Option<u64>,
    /// The FNV-1a digest of the body, in hexadecimal.
    pub digest: String,
}

impl Entry {
    /// Creates the entry of a request that arrives now.
    #[must_use]
    pub fn new(path: &str, headers: &HeaderMap, body: &[u8], in_flight: u32) -> Self {
        Self {
            request: reply::header(headers, "x-request-id"),
            attempt: reply::header(headers, "x-attempt-id"),
            path: path.to_owned(),
            key: reply::header(headers, "idempotency-key"),
            bytes: body.len() as u64,
            workspace: reply::header(headers, "x-workspace"),
            started_ms: reply::unix_millis(),
            ended_ms: None,
            outcome: None,
            tokens: 0,
            in_flight,
            execution: None,
            digest: format!("{:016x}", digest(body)),
        }
    }

    /// Records how the request ended, unless an outcome is already recorded; returns whether it was new.
    pub fn end(&mut self, outcome: Outcome) -> bool {
        let is_new = self.outcome.is_none();
        if is_new {
            self.outcome = Some(outcome);
            self.ended_ms = Some(reply::unix_millis());
        }
        is_new
    }
}

/// Returns the 64-bit FNV-1a digest of bytes.
#[must_use]
pub fn digest(bytes: &[u8]) -> u64 {
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, fold)
}

/// The contents of the journal and the counters of a fake runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// All requests, oldest first.
    pub requests: Vec<Entry>,
    /// All orders, oldest first.
    pub orders: Vec<Order>,
    /// The maximum number of concurrent requests while cold.
    pub peak_cold: u32,
    /// The number of times that the runner has crashed.
    #[serde(rename = "falls")]
    pub crashes: u64,
    /// The number of cancelled requests.
    pub cancels: u64,
    /// The number of accepted connections, except those opened for control calls and load reports.
    pub raw_connections: u64,
    /// The number of bytes read, except those of control calls and load reports.
    pub raw_bytes: u64,
}

/// One order that a runner has received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The kind of the order, such as `load-model`.
    pub order: String,
    /// The name that the order concerns.
    pub name: String,
    /// The fencing token of the order.
    pub fence: u64,
    /// Whether the runner applied the order.
    #[serde(rename = "is_obeyed")]
    pub is_applied: bool,
}
