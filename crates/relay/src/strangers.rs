//! Heartbeats of processes whose identities this router does not know.
//!
//! Load pattern: routers that have started while the store was away publish their identities when it is back. One that then
//! waits for an answer that the store has lost would not know them for as long as it waits. Their heartbeats can't be
//! verified and are dropped, but are a sign that there may be identities to read. Anybody can send them, and a process that
//! the store turns away is unknown for long, so that reads which bring nothing new are repeated ever more seldom.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

/// The shortest interval between two reads that heartbeats of unknown processes cause.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// The longest interval between two such reads.
const MAX_INTERVAL: Duration = Duration::from_secs(16);

/// The heartbeats of unknown processes.
#[derive(Debug)]
pub struct Strangers {
    reported_at: Cell<Option<Duration>>,
    interval: Cell<Duration>,
    is_heard: Notify,
}

impl Default for Strangers {
    fn default() -> Self {
        Self {
            reported_at: Cell::new(None),
            interval: Cell::new(MIN_INTERVAL),
            is_heard: Notify::new(),
        }
    }
}

impl Strangers {
    /// Records a heartbeat that can't be verified.
    pub(crate) fn record(&self, now: Duration) {
        if self.reported_at.get().is_some_and(|at| now < at + self.interval.get()) {
            return;
        }
        self.reported_at.set(Some(now));
        self.is_heard.notify_waiters();
    }

    /// Waits until a process is heard whose identity may be read, at an interval at most.
    pub async fn heard(&self) {
        self.is_heard.notified().await;
    }

    /// Records whether a read that followed has brought anything new.
    pub fn record_read(&self, has_changed: bool) {
        let longer = (2 * self.interval.get()).min(MAX_INTERVAL);
        self.interval.set(if has_changed { MIN_INTERVAL } else { longer });
    }
}
