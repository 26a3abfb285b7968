//! The recent use of engines by each workspace, over all routers.

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

use crate::Origin;

/// The time after which past use has half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// The time after which reported figures expire.
const EXPIRY: Duration = Duration::from_millis(1_500);

/// A sum with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct Decay {
    at: Duration,
    sum: f64,
}

/// The recent work of each workspace, as sums with exponential decay.
#[derive(Debug, Clone, Default)]
pub struct Usage {
    own: IndexMap<Name, Decay>,
    reported: IndexMap<Origin, (Duration, IndexMap<Name, u64>)>,
}

impl Decay {
    fn value(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        self.sum * (-(age.as_secs_f64() / HALF_LIFE.as_secs_f64())).exp2()
    }

    fn add(&mut self, now: Duration, amount: f64) {
        self.sum = (self.value(now) + amount).max(0.0);
        self.at = now;
    }
}

impl Usage {
    /// Charges work to a workspace.
    pub fn charge(&mut self, now: Duration, workspace: &Name, work: u64) {
        self.own.entry(workspace.clone()).or_default().add(now, work as f64);
    }

    /// Refunds work that was charged but not done.
    pub fn refund(&mut self, now: Duration, workspace: &Name, work: u64) {
        if let Some(decay) = self.own.get_mut(workspace) {
            decay.add(now, -(work as f64));
        }
    }

    /// Records the work that other routers have charged, by workspace, which an origin reported at `at`.
    pub fn put(&mut self, origin: &Origin, at: Duration, sums: IndexMap<Name, u64>) {
        self.reported.insert(origin.clone(), (at, sums));
    }

    /// Returns the recent work of a workspace over all routers.
    #[must_use]
    pub fn of(&self, now: Duration, workspace: &Name) -> u64 {
        self.sum(now, workspace, |_| true)
    }

    /// Returns the largest recent work of any workspace over all routers.
    #[must_use]
    pub fn max_work(&self, now: Duration) -> u64 {
        self.workspaces().into_iter().map(|name| self.of(now, name)).max().unwrap_or_default()
    }

    /// Returns the recent work at this router and those that report their own, by workspace, for a report to other zones.
    pub fn of_routers(&self, now: Duration) -> impl Iterator<Item = (&Name, u64)> {
        let sums = self
            .workspaces()
            .into_iter()
            .map(move |name| (name, self.sum(now, name, Origin::is_router)));
        sums.filter(|(_, sum)| *sum > 0)
    }

    /// Returns the work that this router has charged recently, by workspace.
    pub fn own(&self, now: Duration) -> impl Iterator<Item = (&Name, u64)> {
        let sums = self.own.iter().map(move |(name, decay)| (name, decay.value(now) as u64));
        sums.filter(|(_, sum)| *sum > 0)
    }

    fn sum(&self, now: Duration, workspace: &Name, applies: impl Fn(&Origin) -> bool) -> u64 {
        let own = self.own.get(workspace).map_or(0.0, |decay| decay.value(now));
        let reported =
            self.reported.iter().filter(|(origin, (at, _))| now < *at + EXPIRY && applies(origin));
        let sums = reported.filter_map(|(_, (_, sums))| sums.get(workspace));
        own as u64 + sums.sum::<u64>()
    }

    /// Returns all workspaces with use, each once.
    fn workspaces(&self) -> Vec<&Name> {
        let reported = self.reported.values().flat_map(|(_, sums)| sums.keys());
        let mut names: Vec<&Name> = self.own.keys().chain(reported).collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}
