//! The health of the log, derived from recent calls.

use std::time::Duration;
use std::time::Instant;

use base::Verdict;
use plat::Error;

/// Delay after which callers may retry while the log is down.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long new claims are refused after a claim could not be appended.
const CLAIM_REFUSAL_PERIOD: Duration = Duration::from_millis(500);
/// Consecutive unanswered reads that are tolerated before the log counts as down.
const MAX_LOST_READS: u32 = 1;

/// The health of the log.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failed_reads: u32,
    refuse_until: Option<Instant>,
    last_error: Option<Error>,
}

impl Health {
    /// Records that a read succeeded.
    pub(crate) fn read_succeeded(&mut self) {
        if std::mem::take(&mut self.failed_reads) > MAX_LOST_READS {
            log::info!("claim: reads of the log succeed again");
        }
    }

    /// Records that a read failed, and returns the number of consecutive failures.
    ///
    /// A call that was definitely not executed counts as enough failures for the log to be down.
    pub(crate) fn read_failed(&mut self, error: Error) -> u32 {
        self.last_error = Some(error);
        let is_definite = error.verdict() == Verdict::NotRun;
        let failed_reads = self.failed_reads + if is_definite { MAX_LOST_READS + 1 } else { 1 };
        if self.failed_reads <= MAX_LOST_READS && failed_reads > MAX_LOST_READS {
            log::warn!("claim: reads of the log fail: {error}");
        }
        self.failed_reads = failed_reads;
        failed_reads
    }

    /// Records that an append succeeded.
    pub(crate) const fn append_succeeded(&mut self) {
        self.refuse_until = None;
    }

    /// Records that an append failed.
    pub(crate) const fn append_failed(&mut self, error: Error) {
        self.last_error = Some(error);
    }

    /// Refuses claims for [`CLAIM_REFUSAL_PERIOD`].
    pub(crate) fn refuse_claims(&mut self, now: Instant) {
        self.refuse_until = Some(now + CLAIM_REFUSAL_PERIOD);
    }

    /// Returns the delay before a retry if the log is down.
    pub(crate) fn retry_after(&self, now: Instant) -> Option<Duration> {
        let down = self.failed_reads > MAX_LOST_READS || self.is_refusing(now);
        down.then_some(RETRY_AFTER)
    }

    /// Returns whether claims are refused after a failed append.
    fn is_refusing(&self, now: Instant) -> bool {
        self.refuse_until.is_some_and(|until| now < until)
    }

    /// Returns the last error.
    pub(crate) const fn last_error(&self) -> Option<Error> {
        self.last_error
    }
}
