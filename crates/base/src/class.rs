//! Classes of requests, which decide priority, retries and deadlines.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// How a request is served.
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
    /// A model call that a person waits for.
    Interactive,
    /// A model call that may wait, but must finish.
    Long,
    /// A call of a plain service that may be repeated.
    Lookup,
    /// A call of a plain service that must run at most once.
    Once,
}

impl Class {
    /// Returns whether a request of this class may be sent again after it may have run.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::Once)
    }
}
