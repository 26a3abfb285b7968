//! The retry budget of a service, of which each router has a fixed share.
//!
//! Load pattern: runners that fail some of their requests cause retries at every router at the same time. The routers
//! have no common counter, so each may only spend what its own requests earn, plus its share of the constant.

use std::time::Duration;

use crate::Window;

/// The fraction of the budget that is spent, which leaves room for differences in clocks and counting.
const USABLE_FRACTION: f64 = 0.8;

/// A retry budget.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    constant: f64,
    requests: Window,
    retries: Window,
}

impl RetryBudget {
    /// Creates a budget that allows, in each window, `ratio` retries per request plus `constant` over all routers.
    #[must_use]
    pub const fn new(window: Duration, ratio: f64, constant: f64) -> Self {
        Self { ratio, constant, requests: Window::new(window), retries: Window::new(window) }
    }

    /// Replaces the number of retries per request, and the constant that all routers share.
    pub const fn set(&mut self, ratio: f64, constant: f64) {
        self.ratio = ratio;
        self.constant = constant;
    }

    /// Records a caller's request.
    pub fn record_request(&mut self, now: Duration) {
        self.requests.add(now, 1);
    }

    /// Takes one retry if the share of one of `routers` routers allows it, and returns whether it did.
    pub fn take_retry(&mut self, now: Duration, routers: usize) -> bool {
        let earned = self.ratio * self.requests.sum(now) as f64;
        let share = self.constant / routers.max(1) as f64;
        let allowed = USABLE_FRACTION * (earned + share);
        if (self.retries.sum(now) + 1) as f64 > allowed {
            return false;
        }
        self.retries.add(now, 1);
        true
    }
}
