//! Time since the start of the process, which includes the time while the machine is suspended.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A monotonic clock that includes suspended time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Duration,
}

impl Clock {
    /// Starts a clock up to 60 seconds after zero, so that zero is always in the past.
    #[must_use]
    pub fn start() -> Self {
        Self { started: since_boot().saturating_sub(Duration::from_secs(60)) }
    }

    /// Returns the time of this clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        since_boot().saturating_sub(self.started)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
