//! The times of sent heartbeats, which bound the age of another router's state by this router's clock alone.
//!
//! A heartbeat states the age of its sender's state and acknowledges the newest heartbeat that the sender received from
//! this router. It was sent after that one, so the state is at most as old as the time since then plus the stated age,
//! however long the heartbeat was delayed.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of heartbeats whose send time is stored.
const MAX_HEARTBEATS: usize = 128;

/// The send times of this router's newest heartbeats.
#[derive(Debug, Default)]
pub(crate) struct SentHeartbeats {
    sent: VecDeque<(u64, Duration)>,
}

impl SentHeartbeats {
    /// Records that a heartbeat is sent.
    pub(crate) fn record_sent(&mut self, now: Duration, sequence: u64) {
        if self.sent.len() == MAX_HEARTBEATS {
            self.sent.pop_front();
        }
        self.sent.push_back((sequence, now));
    }

    /// Returns the time as of which a peer's state is known, if it acknowledged the heartbeat `acknowledged` and stated
    /// `age`.
    pub(crate) fn known_as_of(&self, acknowledged: u64, age: Duration) -> Option<Duration> {
        let (_, at) = self.sent.iter().find(|(sequence, _)| *sequence == acknowledged)?;
        at.checked_sub(age)
    }
}
