//! The status of a rollout in the store.

use std::time::Duration;

use base::Name;

use super::Order;
use super::Phase;
use super::Rollout;
use super::State;
use crate::rendezvous;

/// The time for which a router waits for reports of others before it reads the status topic.
const READ_DELAY: Duration = Duration::from_millis(300);
/// The time after which the next router in rank writes a status that is not known to be written.
const WRITE_DELAY: Duration = Duration::from_millis(400);

/// The status of a rollout, as the status topic holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The state.
    pub state: State,
    /// The version that is rolled out.
    pub to: Name,
    /// The position of the order.
    pub position: u64,
    /// The duration that the order states; `None` if it is invalid.
    pub duration: Option<Duration>,
    /// The time left until the deadline.
    pub left: Duration,
    /// The versions of replaced orders.
    pub abandoned: Vec<Name>,
}

/// What is needed of the status topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// The state of a rollout.
    Read,
    /// A new state of a rollout is to be written.
    Write,
}

impl Status {
    /// Returns the order of a service to which the status belongs.
    pub(super) fn order(&self, service: &Name) -> Order {
        Order {
            position: self.position,
            service: service.clone(),
            to: self.to.clone(),
            duration: self.duration,
        }
    }
}

impl Rollout {
    /// Returns what this router needs of the status topic now.
    pub(super) fn need<'a>(
        &self,
        now: Duration,
        own: &str,
        live: impl Iterator<Item = &'a str>,
    ) -> Option<Need> {
        self.deadline?;
        let Some(target) = self.target() else {
            return (now >= self.known_at + READ_DELAY).then_some(Need::Read);
        };
        if self.written == Some(target) {
            return None;
        }
        let rank = rendezvous::rank(self.order.position, own, live);
        let delay = WRITE_DELAY.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
        (now >= self.target_since.saturating_add(delay)).then_some(Need::Write)
    }

    /// Returns the status to be written, if the topic is not known to hold it.
    pub(super) fn status(&self, now: Duration) -> Option<Status> {
        let state = self.target().filter(|state| self.written != Some(*state))?;
        Some(Status {
            state,
            to: self.order.to.clone(),
            position: self.order.position,
            duration: self.order.duration,
            left: self.deadline?.saturating_sub(now),
            abandoned: self.abandoned.iter().cloned().collect(),
        })
    }

    /// Records that the status topic holds no status of this order.
    pub(super) fn record_unwritten(&mut self, now: Duration) {
        self.written = None;
        self.begin(now);
    }

    /// Records the status of this order that the status topic holds.
    pub(super) fn record_written(&mut self, now: Duration, state: State) {
        match state {
            State::Completed => self.complete(now),
            State::RolledBack => {
                self.written = Some(state);
                self.stop(now, "the status topic says so");
            }
            State::Running => {
                self.written = Some(state);
                self.begin(now);
            }
        }
    }

    /// Continues from a status that no live router knows more of.
    pub(super) fn resume(&mut self, now: Duration, status: &Status) {
        if self.phase == Phase::Unknown {
            // The deadline is stated by another machine's clock, which may differ.
            let left = status.duration.map_or(status.left, |duration| status.left.min(duration));
            let deadline = now + left;
            self.deadline = Some(self.deadline.map_or(deadline, |known| known.min(deadline)));
        }
        self.abandoned.extend(status.abandoned.iter().cloned());
        let deadline = self.deadline.unwrap_or(now);
        let is_lost = self.phase == Phase::Unknown && now >= self.final_at(deadline);
        self.record_written(now, status.state);
        if is_lost {
            self.stop(now, "the evidence was lost when all routers ended");
        }
    }
}
