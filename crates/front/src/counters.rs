//! Counters of calls, answers and refusals.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use base::Verdict;
use serde::Serialize;

/// The counters of this router, updated by the traffic threads.
#[derive(Debug, Default)]
pub struct Counters {
    accepted: AtomicU64,
    answered: AtomicU64,
    cancelled: AtomicU64,
    retried: AtomicU64,
    not_run: AtomicU64,
    may_have_run: AtomicU64,
    ran: AtomicU64,
}

/// The values of the counters at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Calls that passed authentication.
    pub accepted: u64,
    /// Calls whose complete answer was sent.
    pub answered: u64,
    /// Calls whose caller disconnected.
    pub cancelled: u64,
    /// Attempts after the first.
    pub retried: u64,
    /// Refusals with the verdict not-run.
    pub not_run: u64,
    /// Refusals with the verdict may-have-run.
    pub may_have_run: u64,
    /// Refusals with the verdict ran.
    pub ran: u64,
}

impl Counters {
    /// Counts an accepted call.
    pub fn record_accepted(&self) {
        self.accepted.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an answered call.
    pub fn record_answered(&self) {
        self.answered.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call whose caller disconnected.
    pub fn record_cancelled(&self) {
        self.cancelled.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt after the first.
    pub fn record_retry(&self) {
        self.retried.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a refusal by its verdict.
    pub fn record_refusal(&self, verdict: Verdict) {
        let counter = match verdict {
            Verdict::NotRun => &self.not_run,
            Verdict::MayHaveRun => &self.may_have_run,
            Verdict::Ran => &self.ran,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the values of all counters.
    pub fn snapshot(&self) -> Counts {
        Counts {
            accepted: self.accepted.load(Ordering::Relaxed),
            answered: self.answered.load(Ordering::Relaxed),
            cancelled: self.cancelled.load(Ordering::Relaxed),
            retried: self.retried.load(Ordering::Relaxed),
            not_run: self.not_run.load(Ordering::Relaxed),
            may_have_run: self.may_have_run.load(Ordering::Relaxed),
            ran: self.ran.load(Ordering::Relaxed),
        }
    }
}
