//! The health of the log, as recent calls tell it.

use std::time::Duration;
use std::time::Instant;

use base::Verdict;
use plat::Error;

/// When callers may come back while the log is down.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// For how long no append is tried after one that failed.
const GATE_PERIOD: Duration = Duration::from_millis(500);
/// Reads without an answer that may follow each other before the log counts as down.
const LOST_READS: u32 = 1;

/// What recent calls of the log tell.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failed_reads: u32,
    down_until: Option<Instant>,
    last_error: Option<Error>,
}

impl Health {
    /// Takes in that a read worked.
    pub(crate) fn read_worked(&mut self) {
        if std::mem::take(&mut self.failed_reads) > LOST_READS {
            log::info!("claim: the log can be read again");
        }
    }

    /// Takes in that a read failed, and returns how many did in a row.
    pub(crate) fn read_failed(&mut self, error: Error) -> u32 {
        self.last_error = Some(error);
        let sure = error.verdict() == Verdict::NotRun;
        let failed_reads = self.failed_reads + if sure { LOST_READS + 1 } else { 1 };
        if self.failed_reads <= LOST_READS && failed_reads > LOST_READS {
            log::warn!("claim: the log can't be read: {error}");
        }
        self.failed_reads = failed_reads;
        failed_reads
    }

    /// Takes in that an append worked.
    pub(crate) const fn append_worked(&mut self) {
        self.down_until = None;
    }

    /// Takes in that an append failed.
    pub(crate) const fn append_failed(&mut self, error: Error) {
        self.last_error = Some(error);
    }

    /// Refuses claims for a while.
    pub(crate) fn close(&mut self, now: Instant) {
        self.down_until = Some(now + GATE_PERIOD);
    }

    /// Returns when to come back, if the log is down.
    pub(crate) fn retry_after(&self, now: Instant) -> Option<Duration> {
        let down = self.failed_reads > LOST_READS || self.is_closed(now);
        down.then_some(RETRY_AFTER)
    }

    /// Returns whether claims are refused after a failed append.
    fn is_closed(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Returns the last error.
    pub(crate) const fn last_error(&self) -> Option<Error> {
        self.last_error
    }
}
