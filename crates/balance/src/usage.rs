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
    /// The sums of the reported figures, which each decision needs.
    reported_sums: IndexMap<Name, u64>,
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
        for (workspace, work) in &sums {
            *self.reported_sums.entry(workspace.clone()).or_default() += work;
        }
        let previous = self.reported.insert(origin.clone(), (at, sums));
        self.subtract(previous);
    }

    /// Removes reported figures that have expired.
    pub fn remove_expired(&mut self, now: Duration) {
        let is_expired = |at: Duration| now >= at + EXPIRY;
        let origins = self.reported.iter().filter(|(_, (at, _))| is_expired(*at));
        let expired: Vec<Origin> = origins.map(|(origin, _)| origin.clone()).collect();
        for origin in expired {
            let removed = self.reported.swap_remove(&origin);
            self.subtract(removed);
        }
    }

    fn subtract(&mut self, removed: Option<(Duration, IndexMap<Name, u64>)>) {
        for (workspace, work) in removed.into_iter().flat_map(|(_, sums)| sums) {
            if let Some(sum) = self.reported_sums.get_mut(&workspace) {
                *sum = sum.saturating_sub(work);
            }
        }
    }

    /// Returns the recent work of a workspace over all routers.
    #[must_use]
    pub fn of(&self, now: Duration, workspace: &Name) -> u64 {
        let reported = self.reported_sums.get(workspace).copied().unwrap_or_default();
        self.own_work(now, workspace) + reported
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
            .map(move |name| (name, self.own_work(now, name) + self.work_of_routers(name)));
        sums.filter(|(_, sum)| *sum > 0)
    }

    /// Returns the work that this router has charged recently, by workspace.
    pub fn own(&self, now: Duration) -> impl Iterator<Item = (&Name, u64)> {
        let sums = self.own.iter().map(move |(name, decay)| (name, decay.value(now) as u64));
        sums.filter(|(_, sum)| *sum > 0)
    }

    fn own_work(&self, now: Duration, workspace: &Name) -> u64 {
        self.own.get(workspace).map_or(0.0, |decay| decay.value(now)) as u64
    }

    fn work_of_routers(&self, workspace: &Name) -> u64 {
        let routers = self.reported.iter().filter(|(origin, _)| origin.is_router());
        routers.filter_map(|(_, (_, sums))| sums.get(workspace)).sum()
    }

    /// Returns all workspaces with use, each once.
    fn workspaces(&self) -> Vec<&Name> {
        let reported = self.reported_sums.keys();
        let mut names: Vec<&Name> = self.own.keys().chain(reported).collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}
