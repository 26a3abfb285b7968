//! What is known of one possible cause of crashes, and from whom.

use std::time::Duration;

use crate::Crash;

/// The maximum number of crashes kept for a cause.
const MAX_CRASHES: usize = 8;

/// How far away a router is that has seen something.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// This router itself.
    Own,
    /// Another router of the same availability zone.
    Zone,
    /// A router of another zone.
    Fleet,
}

/// A crash and the nearest router that has seen it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Seen {
    pub(super) crash: Crash,
    pub(super) distance: Distance,
}

/// The crashes and answers of one cause.
#[derive(Debug, Clone, Default)]
pub(super) struct History {
    /// The crashes, oldest first.
    pub(super) crashes: Vec<Seen>,
    /// The last answer at a router of the zone.
    pub(super) answered_in_zone: Option<Duration>,
    /// The last answer at a router of another zone.
    pub(super) answered_elsewhere: Option<Duration>,
    /// Whether another router has the cause quarantined.
    pub(super) is_quarantined_elsewhere: bool,
    /// The time at which this router last let a probe through.
    pub(super) probed_at: Option<Duration>,
}

impl History {
    /// Adds a crash; returns whether it was new.
    pub(super) fn add(&mut self, crash: Crash, distance: Distance) -> bool {
        let known =
            self.crashes.iter_mut().find(|seen| seen.crash.incarnation == crash.incarnation);
        if let Some(seen) = known {
            seen.distance = seen.distance.min(distance);
            return false;
        }
        let index = self.crashes.partition_point(|seen| seen.crash.at <= crash.at);
        // The first crash and the newest ones are kept.
        let is_full = self.crashes.len() >= MAX_CRASHES;
        if is_full && index == 1 {
            return false;
        }
        self.crashes.insert(index, Seen { crash, distance });
        if is_full {
            self.crashes.remove(1);
        }
        true
    }

    pub(super) fn last_crash(&self) -> Duration {
        self.crashes.last().map_or(Duration::ZERO, |seen| seen.crash.at)
    }

    /// Returns the crashes after a time.
    pub(super) fn crashes_after(&self, time: Option<Duration>) -> Vec<Crash> {
        let crashes = self.crashes.iter().map(|seen| seen.crash);
        crashes.filter(|crash| time.is_none_or(|time| crash.at > time)).collect()
    }
}
