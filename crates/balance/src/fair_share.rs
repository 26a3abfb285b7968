//! The share of each workspace in the engines, by max-min fairness over all routers.
//!
//! Load pattern: several workspaces ask for far more than the engines can do, each at routers of its own. Routers have
//! no common queue, so a router that frees a place at an engine fills it again before the others know. What all
//! workspaces were granted of late is the capacity; the fair share is the most that a workspace can be granted if none
//! gets more than it asks for and what is left is divided evenly. The more a workspace has been granted of its fair
//! share, the lower are the limits up to which it may fill an engine, at all routers alike. Workspaces with large
//! demand are thus granted the same, wherever their callers are, and others find the places that these leave.

use crate::Work;

/// The fraction of an engine's limits that a workspace leaves to others when it has been granted its fair share.
const RESERVED_FRACTION: f64 = 0.5;
/// The part of its demand that a workspace must lack to count as competing.
const MIN_UNMET_FRACTION: f64 = 0.1;
/// The smallest fraction of an engine's limits that a workspace may fill.
const MIN_FRACTION: f64 = 0.25;

/// The work that a workspace may be granted when engines are short, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FairShare(u64);

impl FairShare {
    /// Returns the fair share of workspaces with the given recent work.
    pub fn of(works: impl Iterator<Item = Work>) -> Self {
        let works: Vec<Work> = works.collect();
        let mut demands: Vec<u64> = works.iter().map(|work| work.demand()).collect();
        demands.sort_unstable();
        let mut capacity: u64 = works.iter().map(|work| work.used).sum();
        let mut workspaces = demands.len() as u64;
        for demand in demands {
            let even = capacity / workspaces;
            if demand > even {
                return Self(even);
            }
            capacity -= demand;
            workspaces -= 1;
            if workspaces == 0 {
                return Self(demand);
            }
        }
        Self::default()
    }

    /// Returns the work in tokens.
    #[must_use]
    pub const fn tokens(self) -> u64 {
        self.0
    }

    /// Returns whether a workspace competes with others: it lacks work and asks for more than its fair share.
    #[must_use]
    pub fn is_competing(self, work: Work) -> bool {
        let demand = work.demand();
        demand > self.0 && work.unmet as f64 > MIN_UNMET_FRACTION * demand as f64
    }

    /// Returns the fraction of an engine's limits that a workspace may fill.
    ///
    /// What it has used while nobody lacked any counts up to the share, but not beyond.
    #[must_use]
    pub fn allowed_fraction(self, work: Work) -> f64 {
        let counted = work.contended.max(work.used.min(self.0));
        let granted = counted as f64 / self.0.max(1) as f64;
        (1.0 - RESERVED_FRACTION * granted).max(MIN_FRACTION)
    }
}
