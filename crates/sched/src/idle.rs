//! The allowance of idle time for slots that are closed to long requests.

use std::time::Duration;

/// Fraction of the usable slot time that may be idle while long requests wait.
const IDLE_FRACTION: f64 = 0.02;
/// Usable time whose idle fraction is the largest allowance.
const MAX_SAVED_TIME: Duration = Duration::from_secs(60);

/// An allowance of idle slot time, which grows while requests wait.
#[derive(Debug)]
pub(crate) struct Allowance {
    last: Duration,
    /// The allowance in slot seconds; `None` until the slots are known.
    left: Option<f64>,
    idle: u32,
    usable: u32,
}

impl Allowance {
    pub(crate) const fn new(now: Duration) -> Self {
        Self { last: now, left: None, idle: 0, usable: 0 }
    }

    /// Accounts for the time since the last call by the previous slots, then stores the new ones.
    ///
    /// `idle` counts the free slots that are closed to waiting long requests.
    pub(crate) fn advance(&mut self, idle: u32, usable: u32, now: Duration) {
        let slots = usable.max(self.usable);
        let saved = f64::from(slots) * MAX_SAVED_TIME.as_secs_f64() * IDLE_FRACTION;
        let span = now.saturating_sub(self.last).as_secs_f64();
        let earned = span * f64::from(self.usable) * IDLE_FRACTION;
        let spent = span * f64::from(self.idle);
        if slots > 0 {
            self.left = Some((self.left.unwrap_or(saved) + earned - spent).min(saved));
        }
        self.last = now;
        self.idle = idle;
        self.usable = usable;
    }

    /// Returns whether closed slots may be idle now.
    pub(crate) fn allows(&self) -> bool {
        self.left.is_none_or(|left| left > 0.0)
    }
}
