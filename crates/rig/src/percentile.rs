//! Percentiles of durations.

use std::time::Duration;

/// Returns a percentile of durations by the nearest-rank method, or `None` if there are no durations.
#[must_use]
pub fn percentile(times: &[Duration], percent: f64) -> Option<Duration> {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let rank = (percent / 100.0 * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.clamp(1, sorted.len().max(1)) - 1).copied()
}
