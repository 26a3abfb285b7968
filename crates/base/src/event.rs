//! Events of the timeline, which each process keeps in a ring buffer.

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

/// The kind of an event.
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
    /// A request is retried.
    Retried,
    /// A stream is resumed by another attempt.
    Resumed,
    /// A caller disconnected.
    Cancelled,
    /// A member joined, was suspected, refuted a suspicion or left.
    Member,
    /// A router became the dispatcher of a shard.
    Dispatcher,
    /// The state of a runner changed.
    Runner,
    /// A configuration came into force.
    Config,
    /// A zone or instance was taken out of service or returned to service.
    Placement,
    /// The platform's log became unreachable or reachable again.
    Log,
    /// A process started or is stopping.
    Process,
}

/// One event of the timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The hybrid logical time.
    pub at: Stamp,
    /// The process that recorded the event.
    pub process: Name,
    /// The kind of the event.
    pub kind: Kind,
    /// The request that the event concerns, if any.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub request: Option<RequestId>,
    /// The workspace that the event concerns, if any.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub workspace: Option<Name>,
    /// The runner that the event concerns, if any.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub runner: Option<Name>,
    /// Details in a short sentence.
    pub detail: String,
}

/// A ring buffer of the latest events of a process.
#[derive(Debug)]
pub struct Ring {
    capacity: usize,
    events: Mutex<VecDeque<Event>>,
}

impl Ring {
    /// Creates a ring that keeps the latest `capacity` events.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, events: Mutex::new(VecDeque::with_capacity(capacity)) }
    }

    /// Adds an event, and removes the oldest one if the ring is full.
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
