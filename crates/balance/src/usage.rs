//! The recent use of engines by each workspace, over all routers.

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

/// The time after which past use has half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// The time after which the figures of another router expire.
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
    peers: IndexMap<Name, (Duration, IndexMap<Name, u64>)>,
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

    /// Records the work that another router has charged.
    pub fn put(&mut self, router: &Name, now: Duration, sums: IndexMap<Name, u64>) {
        self.peers.insert(router.clone(), (now, sums));
    }

    /// Returns the recent work of a workspace over all routers.
    #[must_use]
    pub fn of(&self, now: Duration, workspace: &Name) -> u64 {
        let own = self.own.get(workspace).map_or(0.0, |decay| decay.value(now));
        let peers = self.peers.values().filter(|(at, _)| now < *at + EXPIRY);
        let sums = peers.filter_map(|(_, sums)| sums.get(workspace));
        own as u64 + sums.sum::<u64>()
    }

    /// Returns the largest recent work of any workspace over all routers.
    #[must_use]
    pub fn max_work(&self, now: Duration) -> u64 {
        let others = self.peers.values().flat_map(|(_, sums)| sums.keys());
        let mut names: Vec<&Name> = self.own.keys().chain(others).collect();
        names.sort_unstable();
        names.dedup();
        names.into_iter().map(|name| self.of(now, name)).max().unwrap_or_default()
    }

    /// Returns the work that this router has charged recently, by workspace.
    pub fn own(&self, now: Duration) -> impl Iterator<Item = (&Name, u64)> {
        let sums = self.own.iter().map(move |(name, decay)| (name, decay.value(now) as u64));
        sums.filter(|(_, sum)| *sum > 0)
    }
}
