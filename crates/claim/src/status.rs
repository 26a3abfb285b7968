//! The state of the claims, for operators.

use serde::Deserialize;
use serde::Serialize;

/// The state of the claims of a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Whether the window has been read, so that calls are taken.
    pub ready: bool,
    /// Whether the log works, as far as recent calls tell.
    pub healthy: bool,
    /// The offset that is read next.
    pub tail: u64,
    /// The number of keys held.
    pub keys: usize,
    /// Bytes held.
    pub bytes: usize,
    /// Claims that wait to be read back.
    pub waiting: usize,
    /// Entries that wait to be appended.
    pub queued: usize,
    /// The last error of the log.
    pub last_error: Option<String>,
}
