//! The decisions on a request.

use std::net::SocketAddr;
use std::time::Duration;

use base::Name;

use crate::Cause;
use crate::Key;
use crate::Limit;
use crate::Load;
use crate::Ticket;

/// The right to send one request to one runner, which must be returned by [`crate::Core::release`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The runner.
    pub runner: Key,
    /// The identifier of the runner.
    pub id: Name,
    /// The digest of its incarnation.
    pub incarnation: u32,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// The runner from which it fetches the shared parts that it does not hold.
    pub source: Option<SocketAddr>,
    /// The version of the runner, if it states one.
    pub version: Option<Name>,
    /// Whether the runner was cold.
    pub(crate) is_cold: bool,
    /// The time at which it was granted.
    pub(crate) granted_at: Duration,
    /// The load that the request places on the runner.
    pub(crate) load: Load,
    /// The workspace to which the work is charged.
    pub(crate) payer: Option<Name>,
    /// The work that is charged, in tokens.
    pub(crate) work: u64,
    /// Whether some workspace lacked work when the request was granted.
    pub(crate) is_contended: bool,
}

/// The reason why a request is not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Refusal {
    /// No runner was free in time.
    #[strum(to_string = "no runner in time")]
    NoRunner,
    /// There is room, but not for its workspace, which asks for more than its fair share.
    #[strum(to_string = "its workspace has its share")]
    OverShare,
    /// It holds something that crashes runners.
    #[strum(to_string = "{0} is quarantined")]
    Quarantined(Cause),
}

/// The decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent.
    Granted(Grant),
    /// No runner has capacity in time.
    Refused {
        /// The time after which the caller may retry.
        retry_after: Duration,
        /// Why it is not run.
        reason: Refusal,
        /// What kept it from the engines, for the log.
        limit: Limit,
    },
}

/// The result of submitting a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The request is decided.
    Decided(Decision),
    /// The request waits for a decision by [`crate::Core::process_queue`].
    Queued(Ticket),
}
