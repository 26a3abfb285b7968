//! Entries that wait to be appended.

use std::collections::VecDeque;
use std::time::Instant;

use plat::Error;
use tokio::sync::oneshot;
use uuid::Uuid;

use crate::Entry;

/// Maximum number of entries in one record of the log.
const MAX_BATCH_ENTRIES: usize = 256;
/// Maximum size of the recorded bodies in one record of the log, without that of its last entry, in bytes.
const MAX_BATCH_BYTES: usize = 64 << 10;
/// Maximum number of entries that wait for a retry.
const MAX_DELAYED_ENTRIES: usize = 10_000;

/// An entry that waits to be appended.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) entry: Entry,
    pub(crate) since: Instant,
    pub(crate) failed_appends: u32,
    pub(crate) may_be_in_log: bool,
    pub(crate) done: Option<oneshot::Sender<Result<(), Error>>>,
}

/// An entry that waits for its retry.
#[derive(Debug)]
struct Delayed {
    due: Instant,
    pending: Pending,
}

/// The queue of entries that wait to be appended.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    ready: VecDeque<Pending>,
    delayed: VecDeque<Delayed>,
}

impl Pending {
    pub(crate) const fn new(entry: Entry, now: Instant) -> Self {
        Self { entry, since: now, failed_appends: 0, may_be_in_log: false, done: None }
    }

    fn size(&self) -> usize {
        match &self.entry {
            Entry::Outcome(outcome) => {
                let text = outcome.text.as_ref().map_or(0, String::len);
                text + outcome.hex.as_ref().map_or(0, String::len)
            }
            Entry::Claim(_) | Entry::Release(_) => 0,
        }
    }
}

impl Queue {
    /// Adds an entry to the end of the queue.
    pub(crate) fn push(&mut self, pending: Pending) {
        self.ready.push_back(pending);
    }

    /// Adds an entry to be appended from `due` on, and drops the oldest delayed entry if there are too many.
    pub(crate) fn push_delayed(&mut self, pending: Pending, due: Instant) {
        if self.delayed.len() == MAX_DELAYED_ENTRIES {
            self.delayed.pop_front();
            log::warn!("claim: dropped an entry, since too many wait to be appended again");
        }
        self.delayed.push_back(Delayed { due, pending });
    }

    /// Removes and returns the entries of the next record.
    pub(crate) fn take(&mut self, now: Instant) -> Vec<Pending> {
        self.queue_due(now);
        let mut batch = Vec::new();
        let mut bytes = 0;
        while batch.len() < MAX_BATCH_ENTRIES && bytes < MAX_BATCH_BYTES {
            let Some(pending) = self.ready.pop_front() else { break };
            bytes += pending.size();
            batch.push(pending);
        }
        batch
    }

    /// Removes and returns a claim that waits to be appended.
    pub(crate) fn remove_claim(&mut self, id: Uuid) -> Option<Pending> {
        let is_claim = |entry: &Entry| matches!(entry, Entry::Claim(claim) if claim.id == id);
        let index = self.ready.iter().position(|pending| is_claim(&pending.entry))?;
        self.ready.remove(index)
    }

    /// Returns the time at which the next entry is to be appended.
    pub(crate) fn due(&self, now: Instant) -> Option<Instant> {
        if !self.ready.is_empty() {
            return Some(now);
        }
        self.delayed.iter().map(|delayed| delayed.due).min()
    }

    /// Returns the number of entries that wait to be appended.
    pub(crate) fn len(&self) -> usize {
        self.ready.len() + self.delayed.len()
    }

    fn queue_due(&mut self, now: Instant) {
        let (due, delayed): (VecDeque<_>, _) =
            std::mem::take(&mut self.delayed).into_iter().partition(|delayed| delayed.due <= now);
        self.delayed = delayed;
        self.ready.extend(due.into_iter().map(|delayed| delayed.pending));
    }
}
