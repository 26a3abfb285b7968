//! What routers tell each other of how long work takes at runners.

use std::time::Duration;

use balance::Runner;
use balance::Sample;
use indexmap::IndexMap;

use crate::Router;
use crate::event;
use crate::gossip::Digest;
use crate::gossip::RunnerPace;

/// The age up to which a figure is told to other zones.
const MAX_TOLD_AGE: Duration = Duration::from_millis(700);

/// Removes and returns the figures that this router has seen since the last call.
pub(crate) fn of_router(router: &Router) -> Vec<RunnerPace> {
    let now = router.now();
    let mut core = router.core.borrow_mut();
    let seen = core.registry.iter_mut().filter_map(|runner| {
        let sample = runner.pace.take_untold()?;
        Some(report(now, runner, sample))
    });
    seen.collect()
}

/// Returns the newest figures that are known in this router's zone.
pub(crate) fn of_zone(router: &Router) -> Vec<RunnerPace> {
    let now = router.now();
    let core = router.core.borrow();
    let known = core.registry.iter().filter_map(|(_, runner)| {
        let sample = runner.pace.newest()?;
        (now < sample.at + MAX_TOLD_AGE).then(|| report(now, runner, sample))
    });
    known.collect()
}

/// Applies figures that other routers have told at `at`.
pub(crate) fn apply(router: &Router, at: Duration, paces: &[RunnerPace]) {
    if paces.is_empty() {
        return;
    }
    let paces: IndexMap<Digest, &RunnerPace> =
        paces.iter().map(|pace| (pace.runner, pace)).collect();
    for runner in router.core.borrow_mut().registry.iter_mut() {
        let Some(pace) = paces.get(&Digest::of_runner(runner)) else { continue };
        let age = Duration::from_millis(u64::from(pace.age_ms));
        runner.pace.record_told(Sample { percent: pace.percent, at: at.saturating_sub(age) });
    }
}

fn report(now: Duration, runner: &Runner, sample: Sample) -> RunnerPace {
    let age_ms = event::millis(now.saturating_sub(sample.at));
    RunnerPace {
        runner: Digest::of_runner(runner),
        percent: sample.percent,
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    }
}
