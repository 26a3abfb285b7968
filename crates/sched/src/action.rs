//! What a dispatcher wants done.

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
    /// Record an event in the time line.
    Event(EventRecord),
}

/// An event without time and process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventRecord {
    /// What has happened.
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
