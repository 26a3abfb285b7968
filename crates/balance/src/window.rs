//! Sums over a sliding window of time.

use std::collections::VecDeque;
use std::time::Duration;

/// Parts into which a window is divided.
const PARTS: u32 = 50;

/// A sum over a sliding window, in steps of a fiftieth of its length.
#[derive(Debug, Clone)]
pub struct Window {
    length: Duration,
    parts: VecDeque<(Duration, u64)>,
    sum: u64,
}

impl Window {
    /// Creates an empty window of a length.
    #[must_use]
    pub const fn new(length: Duration) -> Self {
        Self { length, parts: VecDeque::new(), sum: 0 }
    }

    /// Adds an amount at a time that is not before the last one.
    pub fn add(&mut self, now: Duration, amount: u64) {
        self.expire(now);
        self.sum += amount;
        let step = self.length / PARTS;
        match self.parts.back_mut() {
            Some((begun, sum)) if now.saturating_sub(*begun) < step => *sum += amount,
            _ => self.parts.push_back((now, amount)),
        }
    }

    /// Returns the sum of the window that ends now; a part counts until all of it has left the window.
    pub fn sum(&mut self, now: Duration) -> u64 {
        self.expire(now);
        self.sum
    }

    /// Returns when the sum falls next, if anything is in the window.
    #[must_use]
    pub fn next_decrease(&self) -> Option<Duration> {
        self.parts.front().map(|(begun, _)| self.end_of(*begun))
    }

    fn expire(&mut self, now: Duration) {
        while let Some((begun, amount)) = self.parts.front().copied() {
            if self.end_of(begun) > now {
                break;
            }
            self.sum -= amount;
            self.parts.pop_front();
        }
    }

    fn end_of(&self, begun: Duration) -> Duration {
        begun + self.length + self.length / PARTS
    }
}
