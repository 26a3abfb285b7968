//! What routers tell each other about runners that leave, so that one router's knowledge serves the fleet.
//!
//! Load pattern: the runners of a service are replaced one after the other while the store rejects some routers. A
//! runner that leaves serves requests for a short time only, which a read of the store by each router may take up.
//!
//! ```
//! use std::time::Duration;
//!
//! use balance::Departures;
//! use balance::Removal;
//! use balance::Start;
//!
//! let now = Duration::from_secs(9);
//! let start = Start::new("runner-1", 1_700_000_000_000);
//! let mut departures = Departures::default();
//! assert!(departures.record_removal(now, Removal { start, position: 7, at: now }));
//! assert!(departures.is_removed(start, 6));
//! assert!(!departures.is_removed(start, 8));
//! ```

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::rendezvous;

/// How long other routers are told of a removal.
pub(crate) const TOLD_FOR: Duration = Duration::from_secs(5);
/// How long a departure is remembered; longer, so that routers don't tell each other of it without an end.
const REMEMBERED_FOR: Duration = Duration::from_secs(10);
/// Maximum number of departures of each kind that are remembered.
const MAX_REMEMBERED: usize = 1_024;
/// Maximum number of removals that other routers are told of at one time.
pub(crate) const MAX_TOLD: usize = 128;

/// One start of a runner, by which routers name it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Start {
    /// The digest of the runner's identifier.
    runner: u32,
    /// The time of the start, in milliseconds since the Unix epoch.
    started_ms: u64,
}

impl Start {
    /// Returns the start of the runner with an identifier.
    #[must_use]
    pub fn new(id: &str, started_ms: u64) -> Self {
        Self { runner: rendezvous::digest(id), started_ms }
    }
}

/// The removal of a runner's registration from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Removal {
    /// The runner.
    pub start: Start,
    /// The position of the record in the store's topic that removes the registration.
    pub position: u64,
    /// When the first router knew of it.
    pub at: Duration,
}

impl Removal {
    /// Returns whether it is recent enough to be remembered.
    pub(crate) fn is_remembered(&self, now: Duration) -> bool {
        now < self.at + REMEMBERED_FOR
    }
}

/// The departures that a router remembers, of runners that it may know or not.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    /// The runners that leave, with the time at which this router knew of it.
    leaving: IndexMap<Start, Duration>,
    removals: IndexMap<Start, Removal>,
}

impl Departures {
    /// Records that a runner leaves, whatever is read of this start later; returns whether that was not remembered.
    pub fn record_leaving(&mut self, now: Duration, start: Start) -> bool {
        if self.is_leaving(start) {
            return false;
        }
        if self.leaving.len() < MAX_REMEMBERED {
            self.leaving.insert(start, now);
        }
        true
    }

    /// Records a removal; returns whether it was not known.
    pub fn record_removal(&mut self, now: Duration, removal: Removal) -> bool {
        let known = self.removals.get(&removal.start);
        let is_new = known.is_none_or(|known| known.position < removal.position);
        if !is_new || !removal.is_remembered(now) || self.removals.len() >= MAX_REMEMBERED {
            return false;
        }
        self.removals.insert(removal.start, removal);
        true
    }

    /// Returns whether a runner is known to leave.
    #[must_use]
    pub fn is_leaving(&self, start: Start) -> bool {
        self.leaving.contains_key(&start)
    }

    /// Returns whether a registration at a position was removed later.
    #[must_use]
    pub fn is_removed(&self, start: Start, position: u64) -> bool {
        self.removals.get(&start).is_some_and(|removal| position < removal.position)
    }

    /// Returns the removals that other routers are told of, newest last.
    pub fn told_removals(&self, now: Duration) -> impl Iterator<Item = &Removal> {
        let recent = self.removals.values().filter(move |removal| now < removal.at + TOLD_FOR);
        let excess = recent.clone().count().saturating_sub(MAX_TOLD);
        recent.skip(excess)
    }

    /// Forgets the departures that all routers know by now.
    pub fn remove_expired(&mut self, now: Duration) {
        self.leaving.retain(|_, at| now < *at + REMEMBERED_FOR);
        self.removals.retain(|_, removal| removal.is_remembered(now));
    }
}
