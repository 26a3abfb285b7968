//! Heartbeats of processes whose identities this router does not know.
//!
//! Load pattern: routers that have started while the store was away publish their identities when it is back. One that then
//! waits for an answer that the store has lost would not know them for as long as it waits. Their heartbeats can't be
//! verified and are dropped, but are a sign that there may be identities to read. Anybody can send them, so they cause a read
//! at an interval at most.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

/// The shortest interval between two reads that heartbeats of unknown processes cause.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// The heartbeats of unknown processes.
#[derive(Debug, Default)]
pub struct Strangers {
    reported_at: Cell<Option<Duration>>,
    is_heard: Notify,
}

impl Strangers {
    /// Records a heartbeat that can't be verified.
    pub(crate) fn record(&self, now: Duration) {
        if self.reported_at.get().is_some_and(|at| now < at + MIN_INTERVAL) {
            return;
        }
        self.reported_at.set(Some(now));
        self.is_heard.notify_one();
    }

    /// Waits until a process was heard whose identity is to be read, at an interval at most.
    pub async fn heard(&self) {
        self.is_heard.notified().await;
    }
}
