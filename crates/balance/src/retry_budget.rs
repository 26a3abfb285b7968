//! The retry budget of a service, of which each router has a fixed part.
//!
//! Load pattern: runners that fail part of their requests draw a retry from every router at once. The routers share no
//! counter, so each may spend only what its own requests earn and its part of the constant.

use std::time::Duration;

use crate::Window;

/// The part of the stated budget that is spent, so that differences in clocks and counting stay inside it.
const MARGIN: f64 = 0.8;

/// A retry budget.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    requests: Window,
    retries: Window,
}

impl RetryBudget {
    /// Creates a budget: in each window, `ratio` retries a request and `extra` over all routers.
    #[must_use]
    pub const fn new(window: Duration, ratio: f64, extra: f64) -> Self {
        Self { ratio, extra, requests: Window::new(window), retries: Window::new(window) }
    }

    /// Replaces the retries a request, and the retries over all routers beyond that.
    pub const fn set(&mut self, ratio: f64, extra: f64) {
        self.ratio = ratio;
        self.extra = extra;
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Duration) {
        self.requests.add(now, 1);
    }

    /// Takes a retry if the part of one of `routers` routers allows it.
    pub fn take_retry(&mut self, now: Duration, routers: usize) -> bool {
        let earned = self.ratio * self.requests.sum(now) as f64;
        let constant = self.extra / routers.max(1) as f64;
        let allowed = MARGIN * (earned + constant);
        if (self.retries.sum(now) + 1) as f64 > allowed {
            return false;
        }
        self.retries.add(now, 1);
        true
    }
}
