//! Percentiles of measured times.

use std::time::Duration;

/// Returns the percentile of times by nearest rank, or nothing if there are none.
#[must_use]
pub fn percentile(times: &[Duration], percent: f64) -> Option<Duration> {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let rank = (percent / 100.0 * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.clamp(1, sorted.len().max(1)) - 1).copied()
}
