//! The number of requests that a router may send to a version on trial.

use std::time::Duration;

/// The fraction of the exposed share that is used at most, so that requests at routers which do not know the order yet, and
/// the sends of a router that stops, leave the sum within the share.
const SHARE_FRACTION: f64 = 0.8;
/// The fractions of that by the least number of good responses over all routers.
const STEPS: [(u32, f64); 3] = [(40, 1.0), (10, 0.5), (0, 0.25)];
/// The requests that may be sent at once after some time without candidates.
const MAX_CREDIT: f64 = 2.0;
/// The fraction of the constant part that is used, since a router that restarts begins anew.
const SLACK_FRACTION: f64 = 0.5;
/// The shortest interval between two requests of the constant part of one router.
const SLACK_INTERVAL: Duration = Duration::from_millis(500);

/// The limits on the requests that may reach a bad version, over all routers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The fraction of the requests that reach the service from the order to its deadline.
    pub share: f64,
    /// Requests that are allowed in addition.
    pub slack: f64,
    /// The time after a number of bad responses from which on no request may be sent.
    pub rollback: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { share: 0.1, slack: 0.0, rollback: Duration::from_secs(5) }
    }
}

/// The requests that this router may send to candidates.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Exposure {
    credit: f64,
    slack_sent: u32,
    slack_due: Duration,
    is_slack_due: bool,
}

impl Exposure {
    /// Returns the fraction of the requests that is sent to candidates after this many good responses of them.
    pub(crate) fn fraction(bounds: &Bounds, good: u32) -> f64 {
        let step = STEPS.iter().find(|(least, _)| good >= *least).map_or(0.0, |(_, step)| *step);
        bounds.share.clamp(0.0, 1.0) * SHARE_FRACTION * step
    }

    /// Records a request of a caller.
    pub(crate) fn record_request(&mut self, fraction: f64) {
        self.credit = (self.credit + fraction).min(MAX_CREDIT);
    }

    /// Updates whether a request of the constant part may be sent; `routers` is the number of routers that share it, if known.
    pub(crate) fn update(&mut self, now: Duration, bounds: &Bounds, routers: Option<usize>) {
        let part = routers.map_or(0.0, |routers| bounds.slack * SLACK_FRACTION / routers as f64);
        self.is_slack_due = f64::from(self.slack_sent + 1) <= part && now >= self.slack_due;
    }

    /// Returns whether the next request may be sent to a candidate.
    pub(crate) fn is_due(&self) -> bool {
        self.credit >= 1.0 || self.is_slack_due
    }

    /// Records that a request was sent to a candidate.
    pub(crate) fn record_sent(&mut self, now: Duration) {
        if self.credit >= 1.0 {
            self.credit -= 1.0;
        } else {
            self.slack_sent += 1;
            self.slack_due = now + SLACK_INTERVAL;
            self.is_slack_due = false;
        }
    }
}
