//! The share of each workspace in the engines, by max-min fairness over all routers.
//!
//! Load pattern: several workspaces ask for far more than the engines can do, each at routers of its own. Routers have
//! no common queue. The fair share is the most that a workspace can be granted of the engines' capacity if none gets more
//! than it asks for and what is left is divided evenly. A workspace is owed its share, and what it is behind or ahead of
//! it is made up for: the places at engines are divided among routers by what is owed to the workspaces that ask there.
//! Those that have their share leave a part of each engine free, so that others find a place at once: as much again as
//! these ask for, since they may ask for more from one moment to the next.

use crate::Work;

/// The largest fraction of an engine's limits that a workspace leaves to others when it has been granted its fair share.
const MAX_RESERVED_FRACTION: f64 = 0.25;
/// The fraction of its fair share up to which the demand of a workspace counts as small.
const MAX_SMALL_DEMAND: f64 = 0.5;
/// The fraction of its share, or of its demand if that is less, below which a workspace counts as far behind.
const MAX_BEHIND: f64 = 0.7;
/// The fraction of an engine's limit on waiting prompt tokens that is added for a workspace which lacks work and asks for
/// little or is far behind. Prompts of others have filled engines to 1.3 to 1.9 times this limit in bursts.
const BACKLOG_RESERVE: f64 = 1.0;

/// The work that a workspace may be granted when engines are short.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FairShare {
    /// The work in tokens.
    tokens: u64,
    /// The fraction of an engine's limits that a workspace leaves to others when it has been granted its share.
    reserved: f64,
}

impl FairShare {
    /// Returns the fair share in a capacity in tokens of workspaces with the given recent work.
    #[must_use]
    pub fn of(capacity: u64, works: &[Work]) -> Self {
        let tokens = max_min_share(capacity, works);
        let modest = works.iter().filter(|work| work.demand() <= tokens);
        let asked: u64 = modest.map(|work| work.demand()).sum();
        let reserved = (asked as f64 / capacity.max(1) as f64).min(MAX_RESERVED_FRACTION);
        Self { tokens, reserved }
    }

    /// Returns the work in tokens.
    #[must_use]
    pub const fn tokens(self) -> u64 {
        self.tokens
    }

    /// Returns whether a workspace competes with others: it lacks work and asks for more than its fair share.
    #[must_use]
    pub fn is_competing(self, work: Work) -> bool {
        work.demand() > self.tokens && work.is_short()
    }

    /// Returns the fraction of an engine's limits that a workspace may fill.
    #[must_use]
    pub fn allowed_fraction(self, work: Work) -> f64 {
        1.0 - self.reserved * self.granted(work).min(1.0)
    }

    /// Returns the fraction of an engine's limit on waiting prompt tokens that a workspace may fill beyond it.
    ///
    /// Routers that know of each other's prompts late fill engines beyond this limit, so that what others leave below it is
    /// no room for a workspace that asks for little, or that has been granted much less than its share. What it lacks bounds
    /// what is added.
    #[must_use]
    pub fn backlog_reserve(self, work: Work) -> f64 {
        let is_small = work.demand() as f64 <= self.tokens as f64 * MAX_SMALL_DEMAND;
        let owed = work.demand().min(self.tokens) as f64;
        let is_behind = (self.counted(work) as f64) < owed * MAX_BEHIND;
        if (is_small || is_behind) && work.is_short() { BACKLOG_RESERVE } else { 0.0 }
    }

    /// Returns what a workspace has been granted, relative to its share.
    #[must_use]
    pub fn granted(self, work: Work) -> f64 {
        self.counted(work) as f64 / self.tokens.max(1) as f64
    }

    /// Returns the work in tokens that a workspace is to be granted next: its share, more if it is behind, less if it is
    /// ahead, and no more than it asks for.
    #[must_use]
    pub fn owed(self, work: Work) -> f64 {
        let behind = self.tokens as f64 - self.counted(work) as f64;
        (self.tokens as f64 + behind).clamp(0.0, work.demand() as f64)
    }

    /// Returns the work that counts against the share of a workspace: what it has used while nobody lacked any counts up
    /// to the share, but not beyond.
    fn counted(self, work: Work) -> u64 {
        work.contended.max(work.used.min(self.tokens))
    }
}

/// Returns the most that each may have of a capacity if none gets more than it asks for and the rest is divided evenly.
fn max_min_share(mut capacity: u64, works: &[Work]) -> u64 {
    let mut demands: Vec<u64> = works.iter().map(|work| work.demand()).collect();
    demands.sort_unstable();
    let mut workspaces = demands.len() as u64;
    for demand in demands {
        let even = capacity / workspaces;
        if demand > even {
            return even;
        }
        capacity -= demand;
        workspaces -= 1;
        if workspaces == 0 {
            return demand;
        }
    }
    0
}
