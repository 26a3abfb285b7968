//! Events of the time line, kept in a bounded ring at each process.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use crate::Name;
use crate::RequestId;
use crate::Stamp;

/// What has happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A router accepted a request.
    Accepted,
    /// A dispatcher queued a request.
    Queued,
    /// A dispatcher granted a runner to a request.
    Granted,
    /// A non-idempotent request was claimed in the log.
    Claimed,
    /// A request was sent to a runner.
    Sent,
    /// The first byte of an answer arrived.
    FirstByte,
    /// A request finished.
    Finished,
    /// The outcome of a non-idempotent request was recorded in the log.
    Recorded,
    /// A request was refused.
    Refused,
    /// A request is tried again.
    Retried,
    /// A stream goes on at another place.
    Resumed,
    /// A caller hung up.
    Cancelled,
    /// A member joined, was suspected, refuted or left.
    Member,
    /// A router became dispatcher of a shard.
    Dispatcher,
    /// A runner changed its state.
    Runner,
    /// A configuration came into force.
    Config,
    /// A zone or instance was taken out or back.
    Placement,
    /// The platform's log became unreachable or came back.
    Log,
    /// A process started or stops.
    Process,
}

/// One event of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The hybrid logical time.
    pub at: Stamp,
    /// The process that recorded the event.
    pub process: Name,
    /// What has happened.
    pub kind: Kind,
    /// The request concerned, if any.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub request: Option<RequestId>,
    /// The workspace concerned, if any.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub workspace: Option<Name>,
    /// The runner concerned, if any.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub runner: Option<Name>,
    /// Further details in a short sentence.
    pub detail: String,
}

/// The last events of a process.
#[derive(Debug)]
pub struct Ring {
    capacity: usize,
    events: Mutex<VecDeque<Event>>,
}

impl Ring {
    /// Creates a ring that keeps the last `capacity` events.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, events: Mutex::new(VecDeque::with_capacity(capacity)) }
    }

    /// Adds an event and drops the oldest one if the ring is full.
    pub fn push(&self, event: Event) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        if events.len() == self.capacity {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Returns all kept events, oldest first.
    pub fn snapshot(&self) -> Vec<Event> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }
}
