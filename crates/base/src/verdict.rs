//! The verdict on whether a failed request may have run on a runner.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// Whether a failed request may have run on a runner.
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
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request has left the fleet.
    NotRun,
    /// A byte of the request may have reached a runner.
    MayHaveRun,
    /// A runner has answered the request.
    Ran,
}

impl Verdict {
    /// Returns the verdict on a request from the verdicts of two of its attempts.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        self.max(other)
    }
}
