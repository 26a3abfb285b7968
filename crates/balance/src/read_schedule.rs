//! The schedule by which a router reads a topic of the store.
//!
//! Load pattern: hundreds of routers that each poll the store would exhaust its rate limit. Therefore only a few
//! routers of each zone, its readers, poll a topic; all routers of the zone choose the same ones by rendezvous hashing.
//! The others read when a peer reports a change that they have not read, or when no peer has recently confirmed that
//! there is no change. The store may reject some routers and serve others, so a router that it rejects is no reader
//! while another one of its zone is served.

use std::time::Duration;

use crate::departure::TOLD_FOR;
use crate::rendezvous;

/// The minimum number of routers that poll a topic, over all zones.
const MIN_READERS: usize = 3;
/// The age of the last confirmation after which a router reads by itself, not counting the delay of heartbeats.
const STALE_AFTER: Duration = Duration::from_millis(1_000);
/// The heartbeat periods that may pass until a reader's confirmation reaches another router.
const CONFIRMATION_HEARTBEATS: u32 = 2;
/// The longest interval between two reads, in case the reports of other routers are wrong.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(60);

/// The delay after the first failed read.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest delay after failed reads of a router on which others depend, or that has a change to read.
const MAX_SHORT_DELAY: Duration = Duration::from_millis(800);
/// The longest delay after failed reads of any other router, since peers report a change once the store is back.
const MAX_LONG_DELAY: Duration = Duration::from_secs(3);

/// The positions after the last changes of a topic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Changes {
    /// The position after the last change.
    pub last: u64,
    /// The position after the last change that other routers have to read, as heartbeats don't tell it themselves.
    pub last_untold: u64,
}

impl Changes {
    /// Returns the positions after a change that heartbeats don't tell.
    #[must_use]
    pub const fn untold(position: u64) -> Self {
        Self { last: position, last_untold: position }
    }

    /// Returns the positions after a change that heartbeats tell themselves.
    #[must_use]
    pub const fn told(position: u64) -> Self {
        Self { last: position, last_untold: 0 }
    }

    /// Records further changes.
    pub fn record(&mut self, other: Self) {
        self.last = self.last.max(other.last);
        self.last_untold = self.last_untold.max(other.last_untold);
    }
}

/// How much of a topic a read has returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// The records that another router had.
    Partial,
    /// Records that end before the end of the topic.
    Page {
        /// The position after the newest record of the topic.
        end: u64,
    },
    /// The newest record of each key, in pages that need not be of the same time.
    Newest,
    /// All records up to the end of the topic.
    All,
}

/// What another router reports about a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The changes that it has read.
    pub changes: Changes,
    /// The time as of which it knows that there are no others.
    pub as_of: Option<Duration>,
    /// Whether its heartbeats tell changes themselves.
    pub tells: bool,
}

/// The knowledge of a router about a topic, and the schedule of its reads.
#[derive(Debug, Clone, Default)]
pub struct ReadSchedule {
    position: u64,
    changes: Changes,
    reported: u64,
    /// The time as of which there is no change that this router has not read or been told.
    as_of: Option<Duration>,
    /// The same for changes that heartbeats tell, whatever else has changed.
    told_as_of: Option<Duration>,
    last_try: Duration,
}

impl ReadSchedule {
    /// Records a read that began at `started`.
    ///
    /// `position` is the position after the last record that was read, and `changes` those after the last records that
    /// made a change.
    pub fn record_read(
        &mut self,
        started: Duration,
        position: u64,
        changes: Changes,
        extent: Extent,
    ) {
        self.position = position;
        self.changes.record(changes);
        match extent {
            Extent::All => self.confirm(started),
            Extent::Page { end } => self.reported = self.reported.max(end),
            Extent::Newest => self.told_as_of = self.told_as_of.max(Some(started)),
            Extent::Partial => (),
        }
    }

    /// Records the report of another router.
    pub fn record_report(&mut self, report: &Report) {
        let Report { changes, as_of, .. } = *report;
        let has_heard_all = self.has_heard_all(report);
        let to_read = if has_heard_all { changes.last_untold } else { changes.last };
        if to_read > self.position {
            self.reported = self.reported.max(to_read);
        } else if let Some(as_of) = as_of {
            self.confirm(as_of);
        }
        if has_heard_all {
            self.told_as_of = self.told_as_of.max(as_of);
        }
    }

    /// Returns whether heartbeats have told this router all that they tell, since others repeat it only for a time.
    fn has_heard_all(&self, report: &Report) -> bool {
        let Some(told_as_of) = self.told_as_of else { return false };
        report.tells && report.as_of.is_none_or(|as_of| as_of < told_as_of + TOLD_FOR)
    }

    /// Records that a read begins.
    pub const fn begin_read(&mut self, now: Duration) {
        self.last_try = now;
    }

    /// Returns the position after the last record that was read.
    #[must_use]
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Returns the positions after the last changes.
    #[must_use]
    pub const fn changes(&self) -> Changes {
        self.changes
    }

    /// Returns the position after the last change that a router or the store has reported and was not read at that time.
    #[must_use]
    pub const fn reported(&self) -> u64 {
        self.reported
    }

    /// Returns whether a router or the store has reported a change that this router has not read yet.
    #[must_use]
    pub const fn is_behind(&self) -> bool {
        self.reported > self.position
    }

    /// Returns the age of the last confirmation that there is no other change, or `None` before the first one.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.as_of.map(|as_of| now.saturating_sub(as_of))
    }

    /// Returns the time as of which all is known that heartbeats tell by themselves, or `None` before the first read.
    #[must_use]
    pub const fn told_as_of(&self) -> Option<Duration> {
        self.told_as_of
    }

    /// Returns the age of what heartbeats tell by themselves, or `None` before the first read.
    #[must_use]
    pub fn told_age(&self, now: Duration) -> Option<Duration> {
        self.told_as_of.map(|as_of| now.saturating_sub(as_of))
    }

    /// Returns the time of the next read.
    ///
    /// A reader reads again after `interval`; routers send a heartbeat every `period`.
    #[must_use]
    pub fn next_read(&self, is_reader: bool, interval: Duration, period: Duration) -> Duration {
        if is_reader || self.is_behind() {
            return self.last_try + interval;
        }
        let Some(as_of) = self.as_of else { return self.last_try + interval };
        (as_of + STALE_AFTER + CONFIRMATION_HEARTBEATS * period)
            .max(self.last_try + interval)
            .min(self.last_try + MAX_READ_INTERVAL)
    }

    /// Returns the delay after a number of successive failed reads.
    ///
    /// While the store is unreachable, no router can confirm that nothing has changed, so all routers try to read.
    /// Those on which others depend keep short delays.
    #[must_use]
    pub fn retry_delay(&self, failures: u32, tries_often: bool) -> Duration {
        let longest =
            if tries_often || self.is_behind() { MAX_SHORT_DELAY } else { MAX_LONG_DELAY };
        backoff(failures, longest)
    }

    fn confirm(&mut self, as_of: Duration) {
        self.as_of = self.as_of.max(Some(as_of));
        self.told_as_of = self.told_as_of.max(Some(as_of));
    }
}

/// A router that may be a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The name of the router.
    pub name: &'a str,
    /// Whether its last call to the store succeeded.
    pub reaches_store: bool,
}

/// Returns whether a router is one of the readers of a topic in its zone; `others` are the other routers of the zone and
/// `zones` is the number of zones.
pub fn is_reader<'a>(
    topic: u64,
    router: Candidate<'_>,
    others: impl Iterator<Item = Candidate<'a>>,
    zones: usize,
) -> bool {
    let before = others.filter(|other| {
        let weight = |candidate: &str| rendezvous::weight(topic, candidate);
        (other.reaches_store, weight(other.name)) > (router.reaches_store, weight(router.name))
    });
    before.count() < MIN_READERS.div_ceil(zones.max(1))
}

/// Returns the delay after failed reads of a topic that each router polls.
///
/// The longest delay depends on `is_known`, whether the topic has been read before.
#[must_use]
pub fn unshared_retry_delay(failures: u32, is_known: bool) -> Duration {
    backoff(failures, if is_known { MAX_LONG_DELAY } else { MAX_SHORT_DELAY })
}

fn backoff(failures: u32, longest: Duration) -> Duration {
    (FIRST_RETRY_DELAY * 2u32.pow(failures.clamp(1, 6) - 1)).min(longest)
}
