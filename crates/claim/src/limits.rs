//! Limits of time and memory, derived from the log's retention.

use std::time::Duration;

/// How far clocks may differ at most.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(30);
/// The part of the retention that the assumed clock error may take.
const CLOCK_ERROR_DIVISOR: u32 = 8;
/// The number of keys that are held.
const MAX_KEYS: usize = 1_000_000;
/// Largest body of an answer that is recorded, in bytes.
const MAX_BODY_BYTES: usize = 16 << 10;
/// Bytes of recorded bodies that are held in total.
const MAX_TOTAL_BODY_BYTES: usize = 64 << 20;

/// Limits of a table of claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long a record is kept at least, in milliseconds, by the log and by the table.
    pub retention_ms: u64,
    /// The largest age of a key, in milliseconds.
    pub window_ms: u64,
    /// How far clocks may differ, in milliseconds.
    pub clock_error_ms: u64,
    /// The number of keys that are held.
    pub max_keys: usize,
    /// Largest body of an answer that is recorded, in bytes.
    pub max_body_bytes: usize,
    /// Bytes of recorded bodies that are held in total.
    pub max_total_body_bytes: usize,
}

impl Limits {
    /// Derives the limits from the log's retention and the time that a claim may take.
    ///
    /// The window, three clock errors (caller, router, log) and the time of a claim make up the retention.
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
