//! The load that routers have placed on runners.

use std::time::Duration;

use indexmap::IndexMap;

use crate::Origin;

/// The time after which reported figures expire.
const EXPIRY: Duration = Duration::from_millis(1_500);

/// The load placed on a runner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens of requests whose first generated token has not arrived.
    pub backlog: u64,
    /// Tokens that all these requests occupy in memory when they end.
    pub memory: u64,
}

impl Load {
    /// Adds another load.
    pub const fn add(&mut self, other: Self) {
        self.running += other.running;
        self.backlog += other.backlog;
        self.memory += other.memory;
    }

    /// Subtracts a load that was added before.
    pub const fn remove(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.backlog = self.backlog.saturating_sub(other.backlog);
        self.memory = self.memory.saturating_sub(other.memory);
    }
}

/// The load that other routers have placed on one runner.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    reported: IndexMap<Origin, (Duration, Load)>,
}

impl PeerLoads {
    /// Records the newest figures of an origin, which it reported at `at`.
    pub fn put(&mut self, origin: &Origin, at: Duration, load: Load) {
        if load == Load::default() {
            self.reported.swap_remove(origin);
        } else {
            self.reported.insert(origin.clone(), (at, load));
        }
    }

    /// Returns the sum over all routers, without figures that have expired.
    #[must_use]
    pub fn sum(&self, now: Duration) -> Load {
        self.sum_where(now, |_| true)
    }

    /// Returns the sum over the routers that report their own figures, without figures that have expired.
    #[must_use]
    pub fn sum_of_routers(&self, now: Duration) -> Load {
        self.sum_where(now, Origin::is_router)
    }

    fn sum_where(&self, now: Duration, applies: impl Fn(&Origin) -> bool) -> Load {
        let mut sum = Load::default();
        for (origin, (at, load)) in &self.reported {
            if now < *at + EXPIRY && applies(origin) {
                sum.add(*load);
            }
        }
        sum
    }
}
