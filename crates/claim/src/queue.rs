//! Entries that wait to be appended.

use std::collections::VecDeque;
use std::time::Instant;

use plat::Error;
use tokio::sync::oneshot;
use uuid::Uuid;

use crate::Entry;

/// Entries in one record of the log.
const BATCH_LIMIT: usize = 256;
/// Bytes of recorded bodies in one record of the log, apart from those of its last entry.
const BATCH_BYTES: usize = 64 << 10;
/// Entries that are kept for a later try.
const LATER_LIMIT: usize = 10_000;

/// An entry that waits to be appended.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) entry: Entry,
    pub(crate) since: Instant,
    pub(crate) tries: u32,
    pub(crate) may_stand: bool,
    pub(crate) done: Option<oneshot::Sender<Result<(), Error>>>,
}

#[derive(Debug)]
struct Later {
    due: Instant,
    pending: Pending,
}

/// All entries that wait.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    ready: VecDeque<Pending>,
    later: VecDeque<Later>,
}

impl Pending {
    pub(crate) const fn new(entry: Entry, now: Instant) -> Self {
        Self { entry, since: now, tries: 0, may_stand: false, done: None }
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
    /// Adds an entry to be appended next.
    pub(crate) fn push(&mut self, pending: Pending) {
        self.ready.push_back(pending);
    }

    /// Adds an entry to be appended later, and drops the oldest of these beyond the limit.
    pub(crate) fn push_later(&mut self, pending: Pending, due: Instant) {
        if self.later.len() == LATER_LIMIT {
            self.later.pop_front();
            log::warn!("claim: an entry was dropped, since too many wait for the log");
        }
        self.later.push_back(Later { due, pending });
    }

    /// Takes the entries of the next record.
    pub(crate) fn take(&mut self, now: Instant) -> Vec<Pending> {
        self.wake(now);
        let mut batch = Vec::new();
        let mut bytes = 0;
        while batch.len() < BATCH_LIMIT && bytes < BATCH_BYTES {
            let Some(pending) = self.ready.pop_front() else { break };
            bytes += pending.size();
            batch.push(pending);
        }
        batch
    }

    /// Takes a claim out that waits to be appended.
    pub(crate) fn withdraw(&mut self, id: Uuid) -> Option<Pending> {
        let is_claim = |entry: &Entry| matches!(entry, Entry::Claim(claim) if claim.id == id);
        let index = self.ready.iter().position(|pending| is_claim(&pending.entry))?;
        self.ready.remove(index)
    }

    /// Returns when the next entry is to be appended.
    pub(crate) fn due(&self, now: Instant) -> Option<Instant> {
        if !self.ready.is_empty() {
            return Some(now);
        }
        self.later.iter().map(|later| later.due).min()
    }

    /// Returns the number of entries that wait.
    pub(crate) fn len(&self) -> usize {
        self.ready.len() + self.later.len()
    }

    fn wake(&mut self, now: Instant) {
        let (due, later): (VecDeque<_>, _) =
            std::mem::take(&mut self.later).into_iter().partition(|later| later.due <= now);
        self.later = later;
        self.ready.extend(due.into_iter().map(|later| later.pending));
    }
}
