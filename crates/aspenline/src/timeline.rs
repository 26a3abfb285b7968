//! The timeline of the fleet: the events of all routers in one order.

pub(crate) mod filter;
pub(crate) mod svg;
pub(crate) mod text;

use base::Event;
use serde::Serialize;

/// A printed event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Row {
    /// The time in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
    /// The hybrid logical time, which orders events within a millisecond.
    pub(crate) stamp: u64,
    /// The name of the process that recorded the event.
    pub(crate) process: String,
    /// The kind of the event.
    pub(crate) kind: String,
    /// The request, if any.
    pub(crate) request: Option<String>,
    /// The workspace, if any.
    pub(crate) workspace: Option<String>,
    /// The runner, if any.
    pub(crate) runner: Option<String>,
    /// Further details.
    pub(crate) detail: String,
}

impl From<&Event> for Row {
    fn from(event: &Event) -> Self {
        Self {
            at_ms: event.at.millis(),
            stamp: event.at.0,
            process: event.process.to_string(),
            kind: event.kind.to_string(),
            request: event.request.map(|request| request.to_string()),
            workspace: event.workspace.as_ref().map(ToString::to_string),
            runner: event.runner.as_ref().map(ToString::to_string),
            detail: event.detail.clone(),
        }
    }
}

/// Sorts the events of several processes by their stamps and removes duplicates.
pub(crate) fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|one, other| (one.at, &one.process).cmp(&(other.at, &other.process)));
    events.dedup();
    events
}
