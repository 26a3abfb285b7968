//! Limits on time and memory, derived from the log's retention.

use std::time::Duration;

/// Maximum difference between clocks that is tolerated.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(30);
/// The tolerated clock error is at most the retention divided by this.
const CLOCK_ERROR_DIVISOR: u32 = 8;
/// Maximum number of keys in the table.
const MAX_KEYS: usize = 1_000_000;
/// Maximum size of the body of a recorded answer, in bytes.
const MAX_BODY_BYTES: usize = 16 << 10;
/// Maximum total size of the recorded bodies in the table, in bytes.
const MAX_TOTAL_BODY_BYTES: usize = 64 << 20;

/// Limits of a table of claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The minimum time for which the log and the table keep a record, in milliseconds.
    pub retention_ms: u64,
    /// The maximum age of a key, in milliseconds.
    pub window_ms: u64,
    /// The tolerated difference between clocks, in milliseconds.
    pub clock_error_ms: u64,
    /// The maximum number of keys in the table.
    pub max_keys: usize,
    /// The maximum size of the body of a recorded answer, in bytes.
    pub max_body_bytes: usize,
    /// The maximum total size of the recorded bodies in the table, in bytes.
    pub max_total_body_bytes: usize,
}

impl Limits {
    /// Derives the limits from the log's retention and the deadline of a claim.
    ///
    /// The retention is the sum of the window, three clock errors (caller, router, log) and the deadline.
    #[must_use]
    pub fn new(retention: Duration, deadline: Duration) -> Self {
        let clock_error = MAX_CLOCK_ERROR.min(retention / CLOCK_ERROR_DIVISOR);
        let window = retention.saturating_sub(clock_error * 3).saturating_sub(deadline);
        Self {
            retention_ms: millis(retention),
            window_ms: millis(window),
            clock_error_ms: millis(clock_error),
            max_keys: MAX_KEYS,
            max_body_bytes: MAX_BODY_BYTES,
            max_total_body_bytes: MAX_TOTAL_BODY_BYTES,
        }
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
