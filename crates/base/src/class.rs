//! Classes of requests, which decide priority, retries and deadlines.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// The class of a request.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// A model call whose answer a person is waiting for.
    Interactive,
    /// A model call that may wait in the queue for long, but must finish.
    Long,
    /// A call of a plain service that may run more than once.
    Lookup,
    /// A call of a plain service that must run at most once.
    Once,
}

impl Class {
    /// Returns whether a request of this class may be retried although an earlier attempt may have run.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::Once)
    }
}
