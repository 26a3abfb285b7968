//! Sums in which the past counts less and less.

use std::time::Duration;

/// The time after which the past has half of its weight.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// A sum with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Decay {
    at: Duration,
    sum: f64,
}

impl Decay {
    /// Creates a sum as of a time.
    pub(crate) const fn of(at: Duration, sum: f64) -> Self {
        Self { at, sum }
    }

    /// Returns the sum at a time that is not before that of the last amount.
    pub(crate) fn value(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        self.sum * (-(age.as_secs_f64() / HALF_LIFE.as_secs_f64())).exp2()
    }

    /// Adds an amount, which may be negative; the sum never is.
    pub(crate) fn add(&mut self, now: Duration, amount: f64) {
        self.sum = (self.value(now) + amount).max(0.0);
        self.at = now;
    }

    /// Keeps a fraction of the sum.
    pub(crate) const fn scale(&mut self, fraction: f64) {
        self.sum *= fraction;
    }
}

/// Returns the time in which a constant amount adds up to its sum.
pub(crate) fn time() -> Duration {
    HALF_LIFE.div_f64(std::f64::consts::LN_2)
}
