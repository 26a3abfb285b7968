//! The retry budget of a service, of which each router has a fixed share.
//!
//! Load pattern: runners that fail some of their requests cause retries at every router at the same time. The routers
//! have no common counter, so each may only spend what its own requests earn, plus its share of the constant.

use std::time::Duration;

use crate::Window;

/// The fraction of the budget that is spent, which leaves room for differences in clocks and counting.
const USABLE_FRACTION: f64 = 0.8;
/// The fraction of the constant that a process spends in its first window. With it, all routers may be killed and started
/// again twice in a window, although each process counts from zero.
const FIRST_WINDOW_FRACTION: f64 = (1.0 - USABLE_FRACTION) / 2.0;

/// A retry budget.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    constant: f64,
    requests: Window,
    retries: Window,
}

impl RetryBudget {
    /// Creates a budget that allows, in each window, `ratio` retries per request plus `constant` over all routers.
    #[must_use]
    pub const fn new(window: Duration, ratio: f64, constant: f64) -> Self {
        let requests = Window::new(window);
        let retries = Window::new(window);
        Self { window, ratio, constant, requests, retries }
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
    ///
    /// The process has run for `runs_for`; what the process before it has spent in the present window is not known.
    pub fn take_retry(&mut self, now: Duration, runs_for: Duration, routers: usize) -> bool {
        let earned = USABLE_FRACTION * self.ratio * self.requests.sum(now) as f64;
        let is_first_window = runs_for < self.window;
        let fraction = if is_first_window { FIRST_WINDOW_FRACTION } else { USABLE_FRACTION };
        let allowed = earned + fraction * self.constant / routers.max(1) as f64;
        if (self.retries.sum(now) + 1) as f64 > allowed {
            return false;
        }
        self.retries.add(now, 1);
        true
    }
}
