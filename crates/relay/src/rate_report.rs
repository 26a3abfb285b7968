//! What routers tell each other of the rates of requests that runners take.

use std::time::Duration;

use balance::Runner;
use balance::Statement;
use base::Name;
use indexmap::IndexMap;

use crate::Line;
use crate::Router;
use crate::event;
use crate::gossip::RunnerRate;

/// Returns the statements that this router has seen since the last call, and at times all that it knows, for routers that have
/// started meanwhile.
pub(crate) fn of_router(router: &Router) -> Vec<RunnerRate> {
    let now = router.now();
    if router.crediting.begin_full_report(now) {
        return of_zone(router);
    }
    let mut core = router.core.borrow_mut();
    let seen = core.registry.iter_mut().filter_map(|runner| {
        let statement = runner.rate_limit.take_untold()?;
        Some(report(now, runner, statement))
    });
    seen.collect()
}

/// Returns the newest statements that are known in this router's zone.
pub(crate) fn of_zone(router: &Router) -> Vec<RunnerRate> {
    let now = router.now();
    let core = router.core.borrow();
    let known = core.registry.iter().filter_map(|(_, runner)| {
        let statement = runner.rate_limit.newest(now)?;
        Some(report(now, runner, statement))
    });
    known.collect()
}

/// Applies statements that other routers have told at `at`.
pub(crate) fn apply(router: &Router, at: Duration, rates: &[RunnerRate]) {
    if rates.is_empty() {
        return;
    }
    let rates: IndexMap<u32, &RunnerRate> =
        rates.iter().map(|rate| (rate.incarnation, rate)).collect();
    let mut changed = Vec::new();
    for runner in router.core.borrow_mut().registry.iter_mut() {
        let Some(rate) = rates.get(&runner.registration.incarnation()) else { continue };
        if runner.rate_limit.record_told(rate.statement(at)) {
            changed.push((runner.registration.id.clone(), rate.stated()));
        }
    }
    for (id, per_second) in changed {
        log(router, &id, per_second, "another router");
    }
}

/// Logs a change of the limit that a runner states, and who tells so.
pub(crate) fn log(router: &Router, runner: &Name, per_second: Option<f64>, source: &str) {
    let stated = per_second.map(|per_second| format!("{per_second} a second"));
    let stated = stated.as_deref().unwrap_or("none");
    let line = Line::new("rate_limit").subject(runner.as_str());
    router.log(line.outcome(format!("{stated}, {source}")));
}

/// Returns the report of a statement of a runner.
pub(crate) fn report(now: Duration, runner: &Runner, statement: Statement) -> RunnerRate {
    let age_ms = event::millis(now.saturating_sub(statement.at));
    RunnerRate {
        incarnation: runner.registration.incarnation(),
        per_second: statement.per_second,
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    }
}
