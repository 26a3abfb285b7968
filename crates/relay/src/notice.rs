//! What a runner says about itself in any of its answers.

use std::time::Duration;

use balance::Grant;
use balance::Sample;
use balance::Statement;

use crate::Line;
use crate::Router;
use crate::event;
use crate::rate_report;

/// How long a runner wants no requests of this router, as it states it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pause {
    /// For a time from its answer on.
    For(Duration),
    /// The statement can't be read.
    Unreadable(String),
}

/// How long work takes at a runner, as it states it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Slowness {
    /// In percent of the usual time.
    Percent(u32),
    /// The statement can't be read.
    Unreadable(String),
}

/// How many requests a runner takes from all routers together, as it states it.
#[derive(Debug, Clone, PartialEq)]
pub enum Rate {
    /// Requests per second.
    PerSecond(f64),
    /// The statement can't be read.
    Unreadable(String),
}

/// What a runner says about itself in an answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Notice {
    /// Whether it leaves.
    pub is_leaving: bool,
    /// The pause that it asks for.
    pub pause: Option<Pause>,
    /// How long work takes there at this moment.
    pub slowness: Option<Slowness>,
    /// The limit on the rate of requests that it states; `None` if it states that there is none.
    pub rate: Option<Rate>,
}

/// Records what the runner of a grant says in an answer.
pub(crate) fn record(router: &Router, grant: &Grant, notice: &Notice) {
    if notice.is_leaving {
        record_leaving(router, grant);
    }
    match &notice.slowness {
        Some(Slowness::Percent(percent)) => record_slowness(router, grant, *percent),
        Some(Slowness::Unreadable(text)) => {
            let line = Line::new("load_unreadable").subject(grant.id.as_str());
            router.log(line.outcome(text.as_str()));
        }
        None => (),
    }
    record_rate(router, grant, notice.rate.as_ref());
    match &notice.pause {
        Some(Pause::For(pause)) => record_pause(router, grant, *pause),
        Some(Pause::Unreadable(text)) => {
            let line = Line::new("retry_after_unreadable").subject(grant.id.as_str());
            router.log(line.outcome(text.as_str()));
        }
        None => (),
    }
}

/// Returns whether the runner of a grant wants no requests of this router.
pub(crate) fn is_paused(router: &Router, grant: &Grant) -> bool {
    let core = router.core.borrow();
    core.registry.get(grant.runner).is_some_and(|runner| runner.is_paused(router.now()))
}

fn record_slowness(router: &Router, grant: &Grant, percent: u32) {
    let sample = Sample { percent, at: router.now() };
    if let Some(runner) = router.core.borrow_mut().registry.get_mut(grant.runner) {
        runner.pace.record(sample);
    }
}

/// Records the limit that a runner states; a statement that can't be read leaves what is known.
fn record_rate(router: &Router, grant: &Grant, rate: Option<&Rate>) {
    let per_second = match rate {
        Some(Rate::PerSecond(per_second)) => Some(*per_second),
        Some(Rate::Unreadable(text)) => {
            let line = Line::new("rate_limit_unreadable").subject(grant.id.as_str());
            router.log(line.outcome(text.as_str()));
            return;
        }
        None => None,
    };
    let statement = Statement { per_second, at: router.now() };
    let mut core = router.core.borrow_mut();
    let Some(runner) = core.registry.get_mut(grant.runner) else { return };
    let is_new = runner.rate_limit.record(statement);
    drop(core);
    if is_new {
        rate_report::log(router, &grant.id, per_second, "answer");
    }
}

fn record_leaving(router: &Router, grant: &Grant) {
    let mut core = router.core.borrow_mut();
    let start = core.registry.get(grant.runner).map(|runner| runner.registration.start());
    let now = router.now();
    let is_new = start.is_some_and(|start| core.registry.record_leaving(now, start).is_some());
    drop(core);
    if is_new {
        router.pool.borrow_mut().discard(grant.runner);
        router.log(Line::new("runner_leaving").subject(grant.id.as_str()).outcome("answer"));
    }
}

fn record_pause(router: &Router, grant: &Grant, pause: Duration) {
    let mut core = router.core.borrow_mut();
    let Some(runner) = core.registry.get_mut(grant.runner) else { return };
    runner.pause(router.now().saturating_add(pause));
    drop(core);
    let line = Line::new("runner_paused").subject(grant.id.as_str());
    router.log(line.outcome(format!("for {} ms", event::millis(pause))));
}
