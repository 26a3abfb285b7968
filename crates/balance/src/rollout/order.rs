//! The operator's order to roll a version out, and its state.

use std::time::Duration;

use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::era;

/// The longest duration of a rollout.
const MAX_DURATION: Duration = Duration::from_secs(24 * 60 * 60);

/// An order to replace the runners of a service by those of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The position of its record in the operator's topic.
    pub position: u64,
    /// The service.
    pub service: Name,
    /// The version that is rolled out.
    pub to: Name,
    /// The time from the order to its deadline; `None` if the stated one is invalid.
    pub duration: Option<Duration>,
}

impl Order {
    /// Returns the duration that an order states in seconds; `None` if it is not positive, no number or over a day.
    #[must_use]
    pub fn duration_of(seconds: f64) -> Option<Duration> {
        let duration = Duration::try_from_secs_f64(seconds).ok()?;
        (!duration.is_zero() && duration <= MAX_DURATION).then_some(duration)
    }

    /// Returns whether another record states the same order.
    ///
    /// A store that was restored from an older copy has the record at the same offset of another era.
    #[must_use]
    pub fn is_same(&self, position: u64, to: &str) -> bool {
        era::offset(self.position) == era::offset(position) && self.to.as_str() == to
    }
}

/// The state of a rollout, as the status topic names it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Both versions serve.
    Running,
    /// The new version serves alone.
    Completed,
    /// The old version serves alone.
    RolledBack,
}
