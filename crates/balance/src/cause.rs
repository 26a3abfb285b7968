//! Possible causes of runner crashes, and what is known about them.

use std::fmt;
use std::iter;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Prompt;

/// A possible cause of a runner's crash: something that a request holds and that other requests may hold as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// The entire content of a request, by its digest.
    Content(u64),
    /// A part of a prompt that requests of other sessions share, by its identifier.
    Part(u64),
}

impl Cause {
    /// Returns the possible causes that a request holds.
    #[must_use]
    pub fn of(content: u64, prompt: Option<&Prompt>) -> Vec<Self> {
        let parts = prompt.map_or(&[][..], Prompt::shared_parts);
        iter::once(Self::Content(content))
            .chain(parts.iter().map(|part| Self::Part(part.id)))
            .collect()
    }

    /// Returns a key by which routers are ranked for this cause.
    pub(crate) const fn key(self) -> u64 {
        match self {
            Self::Content(digest) => digest,
            Self::Part(id) => !id,
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(digest) => write!(f, "content {digest:x}"),
            Self::Part(id) => write!(f, "part {id:x}"),
        }
    }
}

/// A runner's crash under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// The digest of the runner's incarnation, by which the same crash is recognised at several routers.
    pub incarnation: u32,
    /// The time at which the connection broke.
    pub at: Duration,
}

/// What a router knows about a possible cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// The possible cause.
    pub cause: Cause,
    /// The crashes of runners under requests that hold it, oldest first.
    pub crashes: Vec<Crash>,
    /// The time of the last answer to such a request.
    pub answered: Option<Duration>,
    /// Whether the cause is quarantined, so that its crashes count for longer.
    pub is_quarantined: bool,
}
