//! Workspaces that ask for far more than the engines can do, from one moment on.

use std::time::Duration;

use super::fleet::Fleet;
use super::ms;
use super::request;

/// The second in which the load begins.
pub(crate) const START: u64 = 100;
/// The second in which the floods begin.
pub(crate) const FLOOD: u64 = START + 4;
/// The second in which the load ends.
pub(crate) const END: u64 = FLOOD + 12;
/// The length of the windows in which shares are compared, in seconds.
pub(crate) const WINDOW: u64 = 6;
/// The time for which a request runs.
pub(crate) const RUN: Duration = Duration::from_millis(1_500);

/// The routers of the callers of each workspace that floods.
pub(crate) type Floods<'a> = &'a [Vec<usize>];

/// The size and the steps of a load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    /// The number of requests, as a multiple of those at nine routers.
    pub(crate) scale: u64,
    /// The second in which the load begins.
    pub(crate) start: u64,
    /// The time between two steps in milliseconds, a multiple of [`UNIT_MS`].
    pub(crate) step_ms: u64,
}

/// The time for which the numbers of requests are stated, in milliseconds.
const UNIT_MS: u64 = 10;

impl Default for Load {
    fn default() -> Self {
        Self { scale: 1, start: START, step_ms: UNIT_MS }
    }
}

pub(crate) fn name(flood: usize) -> String {
    format!("flood-{flood}")
}

/// Plays floods, the first of which has used most of the engines before, when they were idle.
pub(crate) fn play(fleet: &mut Fleet, floods: Floods, load: Load) {
    let Load { scale, start, step_ms } = load;
    for now in (start * 1_000..END * 1_000).step_by(step_ms as usize).map(ms) {
        let is_flooded = now >= Duration::from_secs(FLOOD);
        fleet.step(now);
        if is_flooded {
            fleet.record_slow_tokens(now);
        }
        let first = (now.as_millis() as u64 - START * 1_000) / UNIT_MS;
        for step in first..first + step_ms / UNIT_MS {
            submit(fleet, now, floods, step, scale);
        }
    }
}

/// Submits the requests of one hundredth of a second.
fn submit(fleet: &mut Fleet, now: Duration, floods: Floods, step: u64, scale: u64) {
    let is_flooded = now >= Duration::from_secs(FLOOD);
    for (index, routers) in floods.iter().enumerate() {
        let requests = match (is_flooded, index) {
            (true, _) => 4,
            (false, 0) => 1,
            (false, _) => u64::from(step.is_multiple_of(5)),
        };
        for request_number in 0..requests * scale {
            let router = routers[(step + request_number) as usize % routers.len()];
            let part = 1_000 * (index as u64 + 1) + step % 40;
            fleet.submit(now, router, request(now, &name(index), part, 2_000));
        }
    }
    if step.is_multiple_of(10) {
        let router = (step / 10) as usize % fleet.cores.len();
        fleet.submit(now, router, request(now, "small", 9, 2_000));
    }
}

/// Returns the smallest and the largest number of requests of a flood that were granted in a window.
pub(crate) fn extremes(fleet: &Fleet, floods: Floods, from: u64) -> (u64, u64) {
    let granted =
        || (0..floods.len()).map(|flood| fleet.granted_between(&name(flood), from, from + WINDOW));
    (granted().min().unwrap_or(0), granted().max().unwrap_or(0))
}
