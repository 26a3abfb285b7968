//! The actions that a dispatcher returns.

use base::EventKind;
use base::Name;
use base::RequestId;

/// An action of a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a frame to a member, which may be this one.
    Send {
        /// The receiver.
        to: Name,
        /// The frame.
        frame: wire::Frame,
    },
    /// Record an event in the timeline.
    Event(EventRecord),
}

/// An event of the timeline, without time and process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventRecord {
    /// The kind of event.
    pub kind: EventKind,
    /// The request concerned, if any.
    pub request: Option<RequestId>,
    /// The workspace concerned, if any.
    pub workspace: Option<Name>,
    /// The runner concerned, if any.
    pub runner: Option<Name>,
    /// Further details in a short sentence.
    pub detail: String,
}
