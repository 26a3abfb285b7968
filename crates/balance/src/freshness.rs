//! How recent the knowledge about runners that leave is.
//!
//! Load pattern: a process is suspended for seconds and wakes with requests waiting, while runners have left.

use std::time::Duration;

/// The time without running after which a process counts as suspended.
const SUSPENDED_AFTER: Duration = Duration::from_secs(1);

/// The shortest time without an answer of the store to any router in which registrations may expire.
const MIN_OUTAGE: Duration = Duration::from_secs(1);
/// The time that registrations which have expired in an outage may take to be renewed after it.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The age of the knowledge about departures, and whether anything newer can be known.
#[derive(Debug, Clone, Default)]
pub(crate) struct Freshness {
    /// The time as of which all departures are known.
    known_as_of: Option<Duration>,
    /// Whether the last read of the store has failed, and this process was not suspended since it began.
    is_store_lost: bool,
    /// The time at which the process was last seen to run.
    running_at: Option<Duration>,
    /// The time at which the process was last seen to run again after it was suspended.
    resumed_at: Duration,
    /// The begin of the first failed read of the store since departures were last confirmed.
    failed_at: Option<Duration>,
    /// The time until which registrations may be renewed after an outage.
    renewal_until: Duration,
}

impl Freshness {
    /// Records the time as of which all departures are known; returns whether an outage of the store ends with it.
    pub(crate) fn confirm(&mut self, as_of: Duration) -> bool {
        if self.known_as_of.is_some_and(|known| as_of <= known) {
            return false;
        }
        let has_answered = self.failed_at.is_some_and(|failed_at| as_of > failed_at);
        let ends_outage = has_answered && self.is_outage(as_of);
        if ends_outage {
            self.renewal_until = as_of + RENEWAL_TIMEOUT;
        }
        if has_answered {
            self.failed_at = None;
        }
        self.known_as_of = Some(as_of);
        ends_outage
    }

    /// Records that a read of the store has failed; one that began before the process was suspended says nothing.
    pub(crate) fn record_failed_read(&mut self, started: Duration) {
        if started >= self.resumed_at {
            self.is_store_lost = true;
            self.failed_at.get_or_insert(started);
        }
    }

    /// Returns whether the store answers no router, as far as this one knows.
    pub(crate) fn is_outage(&self, now: Duration) -> bool {
        self.failed_at.is_some() && self.known_as_of.is_none_or(|as_of| now >= as_of + MIN_OUTAGE)
    }

    /// Returns the time until which registrations may be renewed after the last outage.
    pub(crate) const fn renewal_until(&self) -> Duration {
        self.renewal_until
    }

    /// Records that the store has answered.
    pub(crate) const fn record_answer(&mut self) {
        self.is_store_lost = false;
    }

    /// Records that the process runs; after it was suspended, it does not know whether the store answers.
    pub(crate) fn record_running(&mut self, now: Duration) {
        if self.running_at.is_some_and(|running_at| now > running_at + SUSPENDED_AFTER) {
            self.resumed_at = now;
            self.is_store_lost = false;
        }
        self.running_at = Some(now);
    }

    /// Returns whether what is known is not older than `max_age`, or nothing newer can be known.
    pub(crate) fn is_current(&self, now: Duration, max_age: Duration) -> bool {
        let is_running =
            self.running_at.is_none_or(|running_at| now <= running_at + SUSPENDED_AFTER);
        (self.is_store_lost && is_running)
            || self.known_as_of.is_none_or(|as_of| now <= as_of + max_age)
    }
}
