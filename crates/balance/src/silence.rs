//! The routers that have been silent for so long that others use their places.

use std::collections::VecDeque;
use std::time::Duration;

/// The time after its figures have expired from which on a router counts as silent.
const ROUTER_DELAY: Duration = Duration::from_millis(500);
/// The same for all routers of an availability zone, whose sums are also missing while another router takes over to send
/// them.
const ZONE_DELAY: Duration = Duration::from_millis(3_500);

/// Routers that are published and not heard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Unheard {
    /// Routers of zones of which others are heard.
    pub(crate) of_heard_zones: usize,
    /// Routers of zones of which none is heard.
    pub(crate) of_silent_zones: usize,
}

/// Numbers of routers that were not heard of late, each from its time on, oldest first.
#[derive(Debug, Clone, Default)]
struct History(VecDeque<(Duration, usize)>);

/// How long routers have not been heard.
#[derive(Debug, Clone, Default)]
pub(crate) struct Silence {
    of_heard_zones: History,
    of_silent_zones: History,
}

impl Unheard {
    /// Returns the number of routers.
    pub(crate) const fn count(self) -> usize {
        self.of_heard_zones + self.of_silent_zones
    }
}

impl History {
    /// Records a number and returns the smallest of the last `delay`, or 0 before so much time has passed.
    fn record(&mut self, now: Duration, count: usize, delay: Duration) -> usize {
        self.0.push_back((now, count));
        while self.0.get(1).is_some_and(|(at, _)| *at + delay <= now) {
            self.0.pop_front();
        }
        let is_known = self.0.front().is_some_and(|(at, _)| *at + delay <= now);
        let counts = self.0.iter().map(|(_, count)| *count).filter(|_| is_known);
        counts.min().unwrap_or_default()
    }
}

impl Silence {
    /// Records which routers are not heard, and returns how many of them have been silent for long.
    pub(crate) fn record(&mut self, now: Duration, unheard: Unheard) -> usize {
        let Unheard { of_heard_zones, of_silent_zones } = unheard;
        let routers = self.of_heard_zones.record(now, of_heard_zones, ROUTER_DELAY);
        let of_zones = self.of_silent_zones.record(now, of_silent_zones, ZONE_DELAY);
        routers + of_zones
    }
}
