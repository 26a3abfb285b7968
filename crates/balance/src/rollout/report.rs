//! What routers tell each other of a rollout.

use std::time::Duration;

use base::Name;
use serde::Deserialize;
use serde::Serialize;

use super::Figures;
use super::Order;
use super::Phase;
use super::Rollout;
use super::State;

/// The state of a rollout at a router, or at the routers of a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The position of the order.
    pub position: u64,
    /// The service.
    pub service: Name,
    /// The version that is rolled out.
    pub to: Name,
    /// The duration that the order states, in milliseconds; `None` if it is invalid.
    pub duration_ms: Option<u64>,
    /// The time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// What the sender knows of the state.
    pub phase: Phase,
    /// The state that the status topic holds, as far as the sender knows.
    pub written: Option<State>,
    /// The versions of replaced orders.
    pub abandoned: Vec<Name>,
    /// Whether no requests are left at old runners.
    pub is_drained: bool,
    /// Whether the rollout is to be written as completed, which may happen at any moment.
    pub is_completing: bool,
    /// The cumulative evidence.
    pub figures: Figures,
}

impl Report {
    /// Returns the order that is reported.
    pub(super) fn order(&self) -> Order {
        Order {
            position: self.position,
            service: self.service.clone(),
            to: self.to.clone(),
            duration: self.duration_ms.map(Duration::from_millis),
        }
    }
}

impl Rollout {
    /// Returns the report of this router, or of its zone.
    pub(super) fn report(&self, now: Duration, is_of_zone: bool) -> Option<Report> {
        let left = self.deadline?.saturating_sub(now);
        let is_open = self.phase == Phase::Running;
        let figures = match is_of_zone {
            _ if !is_open => Figures::default(),
            true => self.evidence.zone(),
            false => self.evidence.own().clone(),
        };
        Some(Report {
            position: self.order.position,
            service: self.order.service.clone(),
            to: self.order.to.clone(),
            duration_ms: self.order.duration.map(millis),
            left_ms: millis(left),
            phase: self.phase,
            written: self.written,
            abandoned: self.abandoned.iter().cloned().collect(),
            is_drained: if is_of_zone { self.is_zone_drained } else { self.is_drained },
            is_completing: self.wants_completion,
            figures,
        })
    }
}

/// Returns a duration in whole milliseconds.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
