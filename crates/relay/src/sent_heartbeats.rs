//! How fresh another router's knowledge is, judged by this router's clock alone.
//!
//! A heartbeat says how old its sender's knowledge is, and the newest of our heartbeats that its sender had. It was sent
//! after that one, so the knowledge is at most as old as the time since then and the stated age together, however long
//! the heartbeat was held up.

use std::collections::VecDeque;
use std::time::Duration;

/// Heartbeats whose time is remembered.
const REMEMBERED: usize = 128;

/// The times of this router's newest heartbeats.
#[derive(Debug, Default)]
pub(crate) struct SentHeartbeats {
    sent: VecDeque<(u64, Duration)>,
}

impl SentHeartbeats {
    /// Takes in that a heartbeat is sent.
    pub(crate) fn record_sent(&mut self, now: Duration, sequence: u64) {
        if self.sent.len() == REMEMBERED {
            self.sent.pop_front();
        }
        self.sent.push_back((sequence, now));
    }

    /// Returns as of when a peer's knowledge holds, if it had our heartbeat `echoed` when it stated `age`.
    pub(crate) fn known_as_of(&self, echoed: u64, age: Duration) -> Option<Duration> {
        let (_, at) = self.sent.iter().find(|(sequence, _)| *sequence == echoed)?;
        at.checked_sub(age)
    }
}
