//! The load that routers have placed on runners.

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

/// The time after which the figures of another router expire.
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

/// The load that each other router has placed on one runner.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    routers: IndexMap<Name, (Duration, Load)>,
}

impl PeerLoads {
    /// Records the newest figures of a router.
    pub fn put(&mut self, router: &Name, now: Duration, load: Load) {
        if load == Load::default() {
            self.routers.swap_remove(router);
        } else {
            self.routers.insert(router.clone(), (now, load));
        }
    }

    /// Returns the sum over all routers whose figures have not expired.
    #[must_use]
    pub fn sum(&self, now: Duration) -> Load {
        let mut sum = Load::default();
        for (at, load) in self.routers.values() {
            if now < *at + EXPIRY {
                sum.add(*load);
            }
        }
        sum
    }
}
