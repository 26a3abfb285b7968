//! The choice between the store and another router as the source of a topic's records.
//!
//! Load pattern: the store rejects some routers and serves others for seconds, while runners come and go.

use std::time::Duration;

use base::Name;

use crate::Member;
use crate::Members;

/// Whether the store serves this router's reads of a topic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreContact {
    failures: u32,
}

impl StoreContact {
    /// Records that the store has answered a read; returns whether earlier reads had failed.
    pub const fn record_success(&mut self) -> bool {
        let was_lost = self.is_lost();
        self.failures = 0;
        was_lost
    }

    /// Records that a read has failed.
    pub const fn record_failure(&mut self) {
        self.failures += 1;
    }

    /// Returns the number of successive reads that have failed.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether the last read has failed.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether records are fetched from another router, if one has newer ones, before the store is read.
    #[must_use]
    pub const fn prefers_router(&self) -> bool {
        self.is_lost()
    }
}

/// Returns a router that has read a topic beyond `from`; routers of the own zone come first.
///
/// Among several, the random number `salt` decides.
#[must_use]
pub fn source<'a>(
    members: &'a Members,
    now: Duration,
    zone: &Name,
    topic: usize,
    from: u64,
    salt: usize,
) -> Option<&'a Member> {
    let has_read = |member: &&Member| {
        let changed = member.last_changes.get(topic);
        member.is_alive(now) && changed.is_some_and(|changed| *changed > from)
    };
    let candidates: Vec<_> = members.iter().filter(has_read).collect();
    let near: Vec<_> = candidates
        .iter()
        .copied()
        .filter(|member| member.identity.zone.as_ref() == Some(zone))
        .collect();
    let chosen = if near.is_empty() { candidates } else { near };
    chosen.get(salt % chosen.len().max(1)).copied()
}
