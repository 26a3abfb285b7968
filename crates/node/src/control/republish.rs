//! Republishes the configuration in force and all placement orders before the log trims their records.
//!
//! One member, chosen by rendezvous hashing, does this. When a version is superseded while its checkpoint is appended,
//! a checkpoint of the newer version follows, so that a reader that starts at the stale record is corrected at once.

use std::time::Duration;

use conf::Record;
use plat::Log;
use tokio::sync::mpsc;
use wire::Shard;

use super::Control;
use crate::input::Input;
use crate::tail::CONFIG_STREAM;
use crate::tail::PLACEMENT_STREAM;

/// Number of publications within the retention time of the log.
const PUBLICATIONS_PER_RETENTION: u32 = 4;
/// Maximum delay from the start of a router until its first publication is due.
pub(super) const MAX_FIRST_REPUBLISH_DELAY: Duration = Duration::from_secs(5);
/// Delay before a publication that failed or was superseded is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

impl Control {
    /// Republishes everything when a publication is due and this router is the one to do it.
    pub(super) fn republish(&mut self) {
        let now = self.now();
        if now < self.republish_due || !self.log_up || !self.is_republisher() {
            return;
        }
        let Some(version) = self.chain.version() else { return };
        let number = version.number;
        let checkpoint = Record::checkpoint(version).encode();
        self.republish_due = now + self.republish_period();
        let orders = self.encoded_orders();
        let log = self.log.clone();
        let input_sender = self.ports.input_sender.clone();
        self.tasks.spawn(append_all(log, number, checkpoint, orders, input_sender));
    }

    /// Handles the end of a publication; schedules an early repetition when it failed or was superseded.
    pub(super) fn handle_republished(&mut self, number: Option<u64>) {
        if number != Some(self.chain.number()) {
            self.republish_due = self.now() + RETRY_DELAY;
        }
    }

    /// Returns the interval between two publications.
    pub(super) fn republish_period(&self) -> Duration {
        Duration::from_millis(self.shared.settings.platform.retention_ms)
            / PUBLICATIONS_PER_RETENTION
    }

    fn is_republisher(&self) -> bool {
        let live: Vec<_> = self
            .members
            .iter()
            .filter(|member| member.state.is_live())
            .map(|member| member.name.clone())
            .collect();
        sched::owner(&Shard::new(CONFIG_STREAM, "", 0), &live) == Some(&self.me)
    }
}

async fn append_all(
    log: Log,
    number: u64,
    checkpoint: String,
    orders: Vec<String>,
    input_sender: mpsc::Sender<Input>,
) {
    let mut done = log.append(CONFIG_STREAM, &checkpoint).await.is_ok();
    for order in orders {
        done &= log.append(PLACEMENT_STREAM, &order).await.is_ok();
    }
    let number = done.then_some(number);
    drop(input_sender.send(Input::Republished { number }).await);
}
