//! How long requests had places at engines in use of late.

use std::time::Duration;

use crate::decay::Decay;

/// A sum over the places in use, with exponential decay, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PlaceTime {
    at: Duration,
    running: u32,
    sum: Decay,
}

impl PlaceTime {
    /// Adds the time since the last call, for which a number of requests was running.
    pub(crate) fn add(&mut self, now: Duration, running: u32) {
        let time = now.saturating_sub(self.at).as_secs_f64();
        (self.at, self.running) = (now, running);
        self.sum.add(now, time * f64::from(running));
    }

    /// Adds the same where what is running becomes known an interval of reports later; a rise is taken to have come with the
    /// report before.
    pub(crate) fn add_reported(&mut self, now: Duration, running: u32, interval: Duration) {
        let rise = f64::from(running.saturating_sub(self.running));
        self.add(now, running);
        self.sum.add(now, rise * interval.as_secs_f64());
    }

    /// Keeps a fraction of the sum.
    pub(crate) const fn scale(&mut self, fraction: f64) {
        self.sum.scale(fraction);
    }

    /// Returns the sum.
    pub(crate) fn value(&self, now: Duration) -> f64 {
        self.sum.value(now)
    }
}
