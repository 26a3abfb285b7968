//! Whether a runner is to be used, judged by the results of this router's own requests.
//!
//! Load pattern: runners that refuse connections, hang or fail a part of their requests while their own health answers
//! are good. A runner that fails is left alone for a time that doubles, then tried with single requests.

use std::time::Duration;

/// The first time for which a runner is left alone.
const FIRST_BLOCK: Duration = Duration::from_millis(400);
/// The longest time for which a runner is left alone.
const LONGEST_BLOCK: Duration = Duration::from_secs(4);
/// The weight of the newest result in the failure ratio.
const NEWEST: f64 = 0.15;
/// The failure ratio above which a runner is left alone.
const FAILING: f64 = 0.4;

/// The results of requests to one runner.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: f64,
    blocked_until: Duration,
    blocks: u32,
    is_half_open: bool,
}

impl Health {
    /// Returns whether the runner may be sent requests.
    #[must_use]
    pub fn is_usable(&self, now: Duration) -> bool {
        now >= self.blocked_until
    }

    /// Returns whether only a single request may be sent until its result is known.
    #[must_use]
    pub const fn is_half_open(&self) -> bool {
        self.is_half_open
    }

    /// Returns the part of recent requests that failed, from 0 to 1.
    #[must_use]
    pub const fn failure_ratio(&self) -> f64 {
        self.failures
    }

    /// Takes in a request that was answered.
    pub fn record_success(&mut self) {
        self.failures *= 1.0 - NEWEST;
        self.blocks = 0;
        self.is_half_open = false;
    }

    /// Takes in a request that failed at the runner.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures += NEWEST * (1.0 - self.failures);
        if self.is_half_open || self.failures > FAILING {
            self.block(now);
        }
    }

    /// Takes in that the runner could not be reached, or has lost a connection in use.
    pub fn record_unreachable(&mut self, now: Duration) {
        self.failures += NEWEST * (1.0 - self.failures);
        self.block(now);
    }

    fn block(&mut self, now: Duration) {
        if now < self.blocked_until {
            return;
        }
        let time = FIRST_BLOCK * 2u32.pow(self.blocks.min(8));
        self.blocked_until = now + time.min(LONGEST_BLOCK);
        self.blocks += 1;
        self.is_half_open = true;
    }
}
