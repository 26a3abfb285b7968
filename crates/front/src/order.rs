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

/// The decision of the fleet on a queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request is granted a runner.
    Granted(Grant),
    /// The request is refused and has not run.
    Refused(Refuse),
}

/// A request for a runner.
#[derive(Debug)]
pub struct Submission {
    /// The request in the form that is sent to the dispatcher.
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
    /// Another version was published first.
    Conflict(u64),
    /// The text is not a valid configuration.
    Invalid(String),
    /// The platform's log did not answer; whether the configuration is in force is unknown.
    Unavailable,
}

/// An operator's order to take a zone or an instance out of service or to return it to service.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Whether `name` is a zone or an instance.
    pub kind: PlacementKind,
    /// The name of the zone or instance.
    pub name: Name,
    /// Whether it is taken out of service.
    pub out: bool,
}

/// The kind of object that a placement order applies to.
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
    /// Queues a request for a runner.
    Submit(Submission),
    /// Cancels a queued request.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// Releases the runner of a granted request.
    Done(Done),
    /// Reports a runner that crashed while it served a request.
    Crash(Crash),
    /// Publishes a configuration for an operator.
    Apply {
        /// The version that the text is based on.
        base: u64,
        /// The text of the file.
        text: String,
        /// Receives the result.
        reply: oneshot::Sender<Applied>,
    },
    /// Changes the placement of a zone or an instance for an operator.
    ChangePlacement {
        /// The order.
        placement: Placement,
        /// Receives the counter of the order; `None` when no other process has recorded it yet.
        reply: oneshot::Sender<Option<u64>>,
    },
    /// Requests the status for an operator.
    Status {
        /// Receives the status as JSON.
        reply: oneshot::Sender<serde_json::Value>,
    },
    /// Requests the configuration in force for an operator.
    Config {
        /// Receives version and text; `None` when no configuration is in force.
        reply: oneshot::Sender<Option<wire::ConfigContent>>,
    },
}
