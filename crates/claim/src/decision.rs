//! Decisions on calls that must run at most once.

use std::time::Duration;

use base::Verdict;
use uuid::Uuid;

use crate::Answer;
use crate::Scope;

/// The decision on a call.
#[derive(Debug)]
pub enum Decision {
    /// The claim succeeded: only this process may send the call.
    Acquired(Ticket),
    /// The call has run before. Holds its answer, or a problem document if the answer was not kept.
    Finished(Answer),
    /// The call may have run before, and its outcome is unknown.
    Unfinished,
    /// The claim is refused, and the call has not run under it.
    Refused(Refusal),
}

/// The reason why a claim is refused. The verdict on the call is always not-run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The key is older than the window or as old as keys whose entries may be missing, or is not a UUIDv7 and so has
    /// no known age.
    KeyTooOld,
    /// The creation time of the key lies in the future, beyond the tolerated clock error.
    KeyFromFuture,
    /// The key was used with different content.
    KeyReused,
    /// The router has not read all records of the window yet, or is shutting down.
    NotReady {
        /// The delay before a retry.
        retry_after: Duration,
    },
    /// The log can't be reached, the claim was not read back in time, or too many claims wait.
    LogDown {
        /// The delay before a retry.
        retry_after: Duration,
    },
}

impl Refusal {
    /// Returns the verdict on the refused call.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }
}

/// The right to send one call, which ends when the outcome is recorded or the claim is released.
///
/// Dropping a ticket leaves its key held, since the call may have run.
#[derive(Debug)]
pub struct Ticket {
    pub(crate) scope: Scope,
    pub(crate) id: Uuid,
}
