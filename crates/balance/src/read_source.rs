//! The choice between the store and another router as the source of a topic's records.
//!
//! Load pattern: the store rejects some routers and serves others for seconds, while runners come and go.

use std::time::Duration;

use base::Name;

use crate::Member;
use crate::Members;

/// The shortest time between two tries of a store that does not serve a router which gets its records from others.
const RELYING_DELAY: Duration = Duration::from_secs(2);

/// Whether the store serves this router's reads of a topic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreContact {
    failures: u32,
    /// The time from which on the store is tried again after a failure.
    retry_at: Duration,
}

impl StoreContact {
    /// Records that the store has answered a read; returns whether earlier reads had failed.
    pub const fn record_success(&mut self) -> bool {
        let was_lost = self.is_lost();
        self.failures = 0;
        was_lost
    }

    /// Records that a read has failed; the store is tried again after `delay`.
    pub fn record_failure(&mut self, now: Duration, delay: Duration) {
        self.failures += 1;
        self.retry_at = now + delay;
    }

    /// Records that another router has given what the store did not; the store is tried again later than otherwise.
    pub fn rely_on_router(&mut self, now: Duration) {
        self.retry_at = self.retry_at.max(now + RELYING_DELAY);
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

    /// Returns whether the store is to be read, even if another router has given newer records.
    ///
    /// After a failure it is tried again after its delay, or as soon as it has answered another call of this router, as
    /// `reaches_store` tells, so that nobody goes on to depend on other routers once the store serves it.
    #[must_use]
    pub fn is_due(&self, now: Duration, reaches_store: bool) -> bool {
        !self.is_lost() || reaches_store || now >= self.retry_at
    }
}

/// Returns a router that has read a topic beyond `from`: one that has read all that was reported, if there is one, and of
/// the own zone rather than another.
///
/// Among several, the random number `salt` decides.
#[must_use]
pub fn source<'a>(
    members: &'a Members,
    now: Duration,
    zone: &Name,
    topic: usize,
    from: u64,
    reported: u64,
    salt: usize,
) -> Option<&'a Member> {
    let alive = members.iter().filter(|member| member.is_alive(now));
    let candidates: Vec<((bool, bool), &Member)> = alive
        .filter_map(|member| {
            let read = *member.last_changes.get(topic)?;
            let is_near = member.identity.zone.as_ref() == Some(zone);
            (read > from).then_some(((read >= reported, is_near), member))
        })
        .collect();
    let best = candidates.iter().map(|(rank, _)| *rank).max()?;
    let chosen: Vec<_> = candidates.iter().filter(|(rank, _)| *rank == best).collect();
    chosen.get(salt % chosen.len()).map(|(_, member)| *member)
}
