//! The load that is expected at each runner of a service now.
//!
//! Load pattern: what routers know of each other's load is as old as the interval of their reports, and requests hold a place,
//! or their prompts wait, for no longer than that. Routers that all chose the runner that had least to do at the last reports
//! would overrun it, and leave it idle in the next interval. Of the load that others have reported, only a part is
//! there still, the smaller the older the report. The rest has been replaced by later requests, of which only their number is
//! known. Others are taken to have placed these as this router has placed its own, which it knows exactly.

use std::time::Duration;

use crate::Load;
use crate::Runner;
use crate::turnover::Turnover;

/// The requests that are added to those of this router at each runner, so that a few requests say little about where others
/// place theirs.
const PRIOR_REQUESTS: f64 = 1.0;

/// What is known of the load at the runners of a service that may be used.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Expectation {
    now: Duration,
    /// The requests of this router, with those that are added at each runner.
    own_requests: f64,
    /// The load that others have reported.
    reported: Load,
    /// The part of the reported requests that still hold their places.
    places_left: f64,
    /// The part of the reported prompts that still wait.
    prompts_left: f64,
}

impl Expectation {
    /// Sums up what is known of the load at the given runners, except those with a limit on the rate of requests.
    pub(crate) fn of<'a>(
        now: Duration,
        turnover: Turnover,
        runners: impl Iterator<Item = &'a Runner>,
    ) -> Self {
        let (mut own_requests, mut reported, mut reported_ms) = (0.0, Load::default(), 0);
        for runner in runners.filter(|runner| !runner.is_limited(now)) {
            own_requests += requests(runner);
            reported.add(runner.peer_loads.sum());
            reported_ms += runner.peer_loads.reported_ms();
        }
        let reported_at = reported_ms.checked_div(u64::from(reported.running));
        let age = reported_at.map(|at| now.saturating_sub(Duration::from_millis(at)));
        let age = age.unwrap_or_default();
        Self {
            now,
            own_requests: if own_requests > 0.0 { own_requests } else { PRIOR_REQUESTS },
            reported,
            places_left: turnover.places_left(age),
            prompts_left: turnover.prompts_left(age),
        }
    }

    /// Returns the load that all routers are expected to have placed on a runner by now.
    pub(crate) fn load(&self, runner: &Runner) -> Load {
        // Credits say how many requests others send to a runner with a limit, whatever they send to the others.
        let is_limited = runner.is_limited(self.now);
        let part = if is_limited { 0.0 } else { requests(runner) / self.own_requests };
        let expected = |left: f64, known: f64, all: f64| left * known + (1.0 - left) * part * all;
        let (known, all) = (runner.peer_loads.sum(), self.reported);
        let running = expected(self.places_left, known.running.into(), all.running.into());
        let backlog = expected(self.prompts_left, known.backlog as f64, all.backlog as f64);
        let memory = expected(self.places_left, known.memory as f64, all.memory as f64);
        let mut load = runner.own_load;
        load.add(Load {
            running: running.round() as u32,
            backlog: backlog as u64,
            memory: memory as u64,
        });
        load
    }
}

/// Returns the requests of this router at a runner, with those that are added there; a runner that works faster than
/// others is taken to get more.
fn requests(runner: &Runner) -> f64 {
    f64::from(runner.own_load.running) + PRIOR_REQUESTS / runner.pace.undisturbed()
}
