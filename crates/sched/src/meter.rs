//! Measures utilisation while requests wait, and the gap between backlogged workspaces.

use std::time::Duration;

use base::Cost;

/// Slot time and largest gap since the start of a dispatcher.
#[derive(Debug)]
pub(crate) struct Meter {
    last: Duration,
    used: f64,
    usable: f64,
    pub(crate) largest_gap: Cost,
    pub(crate) gap: Cost,
    slots: SlotUsage,
}

/// The use of slots from one poll to the next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct SlotUsage {
    pub(crate) used: u32,
    pub(crate) usable: u32,
    pub(crate) backlogged: bool,
}

impl Meter {
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            last: now,
            used: 0.0,
            usable: 0.0,
            largest_gap: Cost::ZERO,
            gap: Cost::ZERO,
            slots: SlotUsage::default(),
        }
    }

    /// Accounts for the time since the last call by the previous slots, then stores the new ones.
    pub(crate) fn advance(&mut self, slots: SlotUsage, now: Duration) {
        let span = now.saturating_sub(self.last).as_secs_f64();
        if self.slots.backlogged {
            self.used += span * f64::from(self.slots.used.min(self.slots.usable));
            self.usable += span * f64::from(self.slots.usable);
        }
        self.last = now;
        self.slots = slots;
    }

    pub(crate) fn observe_gap(&mut self, gap: Cost) {
        self.gap = gap;
        self.largest_gap = self.largest_gap.max(gap);
    }

    /// Returns the used fraction of the usable slot time while requests waited, if any waited.
    pub(crate) fn utilisation(&self) -> Option<f64> {
        (self.usable > 0.0).then(|| self.used / self.usable)
    }
}
