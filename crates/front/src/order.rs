//! Orders from traffic threads to the control thread.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use base::Name;
use base::RequestId;
use tokio::sync::oneshot;
use wire::Crash;
use wire::Done;
use wire::Enqueue;
use wire::Grant;
use wire::Refuse;

/// What the fleet has decided on a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A runner is granted.
    Granted(Grant),
    /// The request is refused; it has not run.
    Refused(Refuse),
}

/// A request that asks for a runner.
#[derive(Debug)]
pub struct Submission {
    /// The request as the dispatcher sees it.
    pub enqueue: Enqueue,
    /// The work used so far in [`base::Cost`] units, written by the traffic thread.
    pub used: Arc<AtomicU64>,
    /// Receives exactly one decision.
    pub reply: oneshot::Sender<Decision>,
}

/// The result of an attempt to publish a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The configuration is in force with this version.
    Active(u64),
    /// Another version came first.
    Conflict(u64),
    /// The text is not a valid configuration.
    Invalid(String),
    /// The platform's log could not be reached; nothing is known to be in force.
    Unavailable,
}

/// An operator's order to take a zone or an instance out or back.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// `zone` or `instance`.
    pub kind: PlacementKind,
    /// The name of the zone or instance.
    pub name: Name,
    /// Whether it is taken out.
    pub out: bool,
}

/// What an operator takes out or back.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum PlacementKind {
    /// An availability zone.
    Zone,
    /// One instance or runner.
    Instance,
}

/// A message to the control thread.
#[derive(Debug)]
pub enum Order {
    /// A request asks for a runner.
    Submit(Submission),
    /// A waiting request is withdrawn.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// A granted request no longer uses its runner.
    Done(Done),
    /// A runner crashed while it served a request.
    Crash(Crash),
    /// An operator publishes a configuration.
    Apply {
        /// The version on which the text is based.
        base: u64,
        /// The text of the file.
        text: String,
        /// Receives the result.
        reply: oneshot::Sender<Applied>,
    },
    /// An operator takes a zone or an instance out or back.
    ChangePlacement {
        /// The order.
        placement: Placement,
        /// Receives the counter of the order; none when no other process has it yet.
        reply: oneshot::Sender<Option<u64>>,
    },
    /// An operator asks for the status.
    Status {
        /// Receives the status as JSON.
        reply: oneshot::Sender<serde_json::Value>,
    },
    /// An operator asks for the configuration text in force.
    Config {
        /// Receives version and text.
        reply: oneshot::Sender<Option<wire::ConfigContent>>,
    },
}
