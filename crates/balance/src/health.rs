//! A circuit breaker for each runner, based on the results of this router's own requests.
//!
//! Load pattern: runners that refuse connections, hang or fail some of their requests although their own health checks
//! succeed. A failing runner is blocked for a time that doubles with each block, and is then probed with single
//! requests: at first with those that are not unsafe, and after a time with any, since a service may have no others.

use std::time::Duration;

/// The duration of the first block; each further block without a success in between lasts twice as long, up to
/// [`MAX_BLOCK`].
const MIN_BLOCK: Duration = Duration::from_millis(400);
/// The longest time for which a runner is blocked.
const MAX_BLOCK: Duration = Duration::from_secs(4);
/// The time after a block that is left to requests which are not unsafe.
const FIRST_PROBES_TIME: Duration = Duration::from_secs(1);
/// The weight of the newest result in the failure ratio.
const NEWEST_WEIGHT: f64 = 0.15;
/// The failure ratio above which a runner is blocked.
const MAX_FAILURE_RATIO: f64 = 0.4;

/// The results of requests to one runner.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failure_ratio: f64,
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

    /// Returns whether only one request may be in progress until its result is known.
    #[must_use]
    pub const fn is_half_open(&self) -> bool {
        self.is_half_open
    }

    /// Returns whether a request may probe the runner while it is half-open.
    #[must_use]
    pub fn may_be_probed(&self, now: Duration, probes_first: bool) -> bool {
        probes_first || now >= self.blocked_until + FIRST_PROBES_TIME
    }

    /// Returns the fraction of recent requests that failed, from 0 to 1.
    #[must_use]
    pub const fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    /// Records that a request was answered.
    pub fn record_success(&mut self) {
        self.failure_ratio *= 1.0 - NEWEST_WEIGHT;
        self.blocks = 0;
        self.is_half_open = false;
    }

    /// Records that a request failed at the runner.
    pub fn record_failure(&mut self, now: Duration) {
        self.failure_ratio += NEWEST_WEIGHT * (1.0 - self.failure_ratio);
        if self.is_half_open || self.failure_ratio > MAX_FAILURE_RATIO {
            self.block(now);
        }
    }

    /// Records that the runner could not be reached, or that a connection in use was lost.
    pub fn record_unreachable(&mut self, now: Duration) {
        self.failure_ratio += NEWEST_WEIGHT * (1.0 - self.failure_ratio);
        self.block(now);
    }

    fn block(&mut self, now: Duration) {
        if now < self.blocked_until {
            return;
        }
        let time = MIN_BLOCK * 2u32.pow(self.blocks.min(8));
        self.blocked_until = now + time.min(MAX_BLOCK);
        self.blocks += 1;
        self.is_half_open = true;
    }
}
