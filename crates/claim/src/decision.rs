//! Decisions on calls that want to run at most once.

use std::time::Duration;

use base::Verdict;
use uuid::Uuid;

use crate::Answer;
use crate::Scope;

/// The decision on a call.
#[derive(Debug)]
pub enum Decision {
    /// The call may be sent, by this process alone.
    Won(Ticket),
    /// The call has run before; this is its answer, or the problem that its answer was not kept.
    Finished(Answer),
    /// The call may have run before, and its outcome is not known.
    Unfinished,
    /// The call is not taken, and has not run under this claim.
    Refused(Refusal),
}

/// Why a call is not taken. Its verdict is always not-run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The key is older than the window, or is no UUIDv7 and so has no age.
    KeyTooOld,
    /// The key was created in the future.
    KeyFromFuture,
    /// The key was used for another content.
    KeyReused,
    /// The records of the window are not read yet, or the router stops.
    NotReady {
        /// When to come back.
        retry_after: Duration,
    },
    /// The log can't be reached, or did not show the claim in time.
    LogDown {
        /// When to come back.
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

/// The right to send one call. It ends by a record of the outcome or by its release.
///
/// A ticket that is dropped leaves its key held, since the call may have run.
#[derive(Debug)]
pub struct Ticket {
    pub(crate) scope: Scope,
    pub(crate) id: Uuid,
}
