//! Sums over a sliding time window.

use std::collections::VecDeque;
use std::time::Duration;

/// The number of buckets in a window.
const BUCKETS: u32 = 50;

/// A sum over a sliding window, in steps of one fiftieth of its length.
#[derive(Debug, Clone)]
pub struct Window {
    length: Duration,
    buckets: VecDeque<(Duration, u64)>,
    sum: u64,
}

impl Window {
    /// Creates an empty window of a given length.
    #[must_use]
    pub const fn new(length: Duration) -> Self {
        Self { length, buckets: VecDeque::new(), sum: 0 }
    }

    /// Adds an amount at a time that must not be before that of the last call.
    pub fn add(&mut self, now: Duration, amount: u64) {
        self.expire(now);
        self.sum += amount;
        let step = self.length / BUCKETS;
        match self.buckets.back_mut() {
            Some((start, sum)) if now.saturating_sub(*start) < step => *sum += amount,
            _ => self.buckets.push_back((now, amount)),
        }
    }

    /// Returns the sum of the window that ends now; a bucket counts until all of it has left the window.
    pub fn sum(&mut self, now: Duration) -> u64 {
        self.expire(now);
        self.sum
    }

    /// Returns the time at which the sum decreases next, or `None` if the window is empty.
    #[must_use]
    pub fn next_decrease(&self) -> Option<Duration> {
        self.buckets.front().map(|(start, _)| self.end_of(*start))
    }

    fn expire(&mut self, now: Duration) {
        while let Some((start, amount)) = self.buckets.front().copied() {
            if self.end_of(start) > now {
                break;
            }
            self.sum -= amount;
            self.buckets.pop_front();
        }
    }

    fn end_of(&self, start: Duration) -> Duration {
        start + self.length + self.length / BUCKETS
    }
}
