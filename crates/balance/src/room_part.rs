//! The part of the free room at an engine that one router uses before it hears of the others' requests.
//!
//! Load pattern: all routers see the same free room, and each fills it before it hears that others have done so too. An
//! engine thus gets several times its limit, and workspaces that ask for little find no room for as long as these
//! requests run. Within one interval of reports, a router therefore uses only a part of the room: its part of the
//! requests that wait, of each workspace alike that asks for more than its fair share. Fractions of a request are rounded at random, but for an engine
//! and interval always in the same way.

use std::time::Duration;

use base::Name;

use crate::Load;
use crate::Runner;
use crate::Work;
use crate::rendezvous;

/// The load that this router has placed on an engine in the current interval, which others may not know of.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RecentLoad {
    interval: u64,
    load: Load,
}

impl RecentLoad {
    /// Adds load in an interval.
    pub(crate) const fn add(&mut self, interval: u64, load: Load) {
        if self.interval != interval {
            *self = Self { interval, load: Load { running: 0, backlog: 0, memory: 0 } };
        }
        self.load.add(load);
    }

    /// Returns the load that was placed in an interval.
    fn in_interval(&self, interval: u64) -> Load {
        if self.interval == interval { self.load } else { Load::default() }
    }
}

/// The part of the free room at engines that this router uses in an interval of reports.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RoomPart {
    interval: u64,
    part: f64,
    seed: u64,
}

impl RoomPart {
    /// Creates the part of a router at a time.
    pub(crate) fn new(router: &Name, now: Duration, report_interval: Duration, part: f64) -> Self {
        let interval = interval(now, report_interval);
        Self { interval, part, seed: rendezvous::weight(interval, router.as_str()) }
    }

    /// Returns the part of the free room.
    pub(crate) const fn part(&self) -> f64 {
        self.part
    }

    /// Returns the load that this router has placed on an engine in the interval.
    pub(crate) fn recent_load(&self, runner: &Runner) -> Load {
        runner.recent_load.in_interval(self.interval)
    }

    /// Returns whether this router may send another request to an engine, for `fitting` of which there was room before
    /// those that it has sent in this interval.
    pub(crate) fn allows(&self, runner: &Runner, fitting: f64) -> bool {
        let sent = f64::from(self.recent_load(runner).running);
        let id = runner.registration.id.as_str();
        let rounding = rendezvous::weight(self.seed, id) as f64 / u64::MAX as f64;
        sent + 1.0 <= self.part * fitting + rounding
    }
}

/// Returns the part of a router in the requests that wait, from the work that competing workspaces lack at this router
/// and over all routers; `None` if none competes.
pub(crate) fn part(competing: impl Iterator<Item = (Work, Work)>) -> Option<f64> {
    let parts = competing.map(|(own, all)| own.unmet as f64 / all.unmet as f64);
    let (count, sum) = parts.fold((0_u32, 0.0), |(count, sum), part| (count + 1, sum + part));
    (count > 0).then(|| sum / f64::from(count))
}

/// Returns the number of the interval of reports at a time.
pub(crate) fn interval(now: Duration, report_interval: Duration) -> u64 {
    let millis = report_interval.as_millis().max(1);
    u64::try_from(now.as_millis() / millis).unwrap_or(u64::MAX)
}
