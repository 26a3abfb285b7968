//! When a router reads a topic of the store, so that all know of a change soon and few read.
//!
//! Load pattern: hundreds of routers that each poll the store would use up its rate. A few routers, the same in
//! everyone's view, read all the time; the others read when one of those tells of a change that they have not read, or
//! when nobody tells that there is none.

use std::time::Duration;

use base::Name;

use crate::rendezvous;

/// Routers that read a topic all the time.
const READERS: usize = 3;
/// The age of what is known from which on a router reads by itself, if heartbeats came at once.
const STALE: Duration = Duration::from_millis(1_000);
/// Times between two heartbeats that pass until what a reader knows is known to hold elsewhere.
const HEARTBEATS: u32 = 2;
/// The longest time between two reads, should the others be wrong about what they know.
const LONGEST: Duration = Duration::from_secs(60);

/// The pause after the first read that fails.
const FIRST_RETRY: Duration = Duration::from_millis(100);
/// The longest pause after failed reads of a router on which others depend, or which has a change to read.
const SOON: Duration = Duration::from_millis(800);
/// The longest pause after failed reads of any other router, which others tell when the store is back.
const LATE: Duration = Duration::from_secs(3);

/// What a router knows of a topic.
#[derive(Debug, Clone, Default)]
pub struct ReadSchedule {
    position: u64,
    changed: u64,
    wanted: u64,
    as_of: Option<Duration>,
    tried: Duration,
}

impl ReadSchedule {
    /// Takes in a read that was asked for at a time: the position behind the records that were read, and behind the last
    /// one that changed something; `is_current` tells whether nothing newer was in the topic.
    pub fn record_read(
        &mut self,
        asked: Duration,
        position: u64,
        changed: Option<u64>,
        is_current: bool,
    ) {
        self.position = position;
        self.changed = self.changed.max(changed.unwrap_or_default());
        if is_current {
            self.hear(asked);
        }
    }

    /// Takes in what another router knows: the position behind the last change, and as of when that holds.
    pub fn record_report(&mut self, changed: u64, as_of: Option<Duration>) {
        if changed > self.position {
            self.wanted = self.wanted.max(changed);
        } else if let Some(as_of) = as_of {
            self.hear(as_of);
        }
    }

    /// Takes in that a read is tried.
    pub const fn begin_read(&mut self, now: Duration) {
        self.tried = now;
    }

    /// Returns the position behind the last change.
    #[must_use]
    pub const fn last_change(&self) -> u64 {
        self.changed
    }

    /// Returns whether there is a change that was not read yet.
    #[must_use]
    pub const fn is_behind(&self) -> bool {
        self.wanted > self.position
    }

    /// Returns how old the knowledge that there is no other change is.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.as_of.map(|as_of| now.saturating_sub(as_of))
    }

    /// Returns when the topic is read next; a reader reads again after `pause`, and routers send a heartbeat each
    /// `period`.
    #[must_use]
    pub fn next_read(&self, is_reader: bool, pause: Duration, period: Duration) -> Duration {
        if is_reader || self.is_behind() {
            return self.tried + pause;
        }
        let Some(as_of) = self.as_of else { return self.tried + pause };
        (as_of + STALE + HEARTBEATS * period).max(self.tried + pause).min(self.tried + LONGEST)
    }

    /// Returns the pause after reads have failed several times in a row.
    ///
    /// While the store is away nobody can tell that nothing has changed, so all routers try to read. Those that others
    /// depend on go on trying often.
    #[must_use]
    pub fn retry_delay(&self, failures: u32, tries_often: bool) -> Duration {
        let longest = if tries_often || self.is_behind() { SOON } else { LATE };
        backoff(failures, longest)
    }

    fn hear(&mut self, as_of: Duration) {
        self.as_of = Some(self.as_of.map_or(as_of, |heard| heard.max(as_of)));
    }
}

/// Returns whether a router is one of those that read a topic all the time.
pub fn is_reader<'a>(topic: u64, router: &Name, others: impl Iterator<Item = &'a str>) -> bool {
    rendezvous::rank(topic, router.as_str(), others) < READERS
}

/// Returns the pause after failed reads of a topic that each router reads, once it `is_known`.
#[must_use]
pub fn unshared_retry_delay(failures: u32, is_known: bool) -> Duration {
    backoff(failures, if is_known { LATE } else { SOON })
}

fn backoff(failures: u32, longest: Duration) -> Duration {
    (FIRST_RETRY * 2u32.pow(failures.clamp(1, 6) - 1)).min(longest)
}
