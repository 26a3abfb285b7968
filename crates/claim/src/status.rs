//! The state of the claims, for operators.

use serde::Deserialize;
use serde::Serialize;

/// The state of the claims of a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Whether the window has been read, so that claims are accepted.
    pub ready: bool,
    /// Whether claims are accepted and recent calls of the log succeeded.
    pub healthy: bool,
    /// The offset to read next.
    pub tail: u64,
    /// The number of keys in the table.
    pub keys: usize,
    /// The memory that the table uses, in bytes.
    pub bytes: usize,
    /// The number of claims that wait to be read back.
    pub waiting: usize,
    /// The number of entries that wait to be appended or are being appended.
    pub queued: usize,
    /// The last error of the log.
    pub last_error: Option<String>,
}
