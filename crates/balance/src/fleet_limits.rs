//! Limits that hold over all routers, which each router uses a part of.

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

use crate::runner::COLD_WINDOW;

/// The time after which all others know a router that one of them knows.
const KNOWN_TIME: Duration = Duration::from_secs(2);
/// The time after which they know it although none of them has told.
const UNTOLD_TIME: Duration = Duration::from_secs(4);

/// The limits that hold over all routers, with the names of the routers that share them.
#[derive(Debug, Clone)]
pub struct FleetLimits {
    /// The name of this router.
    pub router: Name,
    /// The availability zone of this router.
    pub zone: Name,
    /// The names of the other routers, whether they are connected or not; `None` until they are known.
    pub peers: Option<Vec<Name>>,
    /// The routers that have ended, with the time since when that is known; what they have sent may still count.
    pub former: IndexMap<Name, Duration>,
    /// The start of this process; what the process before it has used of its shares is not known.
    pub started: Duration,
    /// The time from which all others know this router; `None` if they have known it since before it started.
    pub joined: Option<Duration>,
    /// The factor on the rate that a cold runner can handle.
    pub cold_factor: f64,
    /// Requests per second that a cold runner may be sent in addition.
    pub cold_constant: f64,
    /// The window of the retry budget.
    pub retry_window: Duration,
    /// Retries per request.
    pub retry_ratio: f64,
    /// Additional retries in a window, over all routers.
    pub retry_constant: f64,
    /// The maximum age of what is known about runners that leave for a request to be sent; `None` for no limit.
    pub max_departures_age: Option<Duration>,
}

impl FleetLimits {
    /// Records that no other router knows this one, if this one doesn't know the others either.
    ///
    /// Until they do, they use its parts of all limits among themselves.
    pub(crate) fn join(&mut self, now: Duration) {
        if self.peers.is_none() {
            self.joined = Some(now + UNTOLD_TIME);
        }
    }

    /// Records that another router knew this one at a time.
    pub(crate) fn confirm(&mut self, at: Duration) {
        self.joined = self.joined.map(|joined| joined.min(at + KNOWN_TIME));
    }

    /// Returns the time from which this process uses its parts of limits.
    pub(crate) fn used_since(&self) -> Duration {
        let is_alone = self.peers.as_ref().is_some_and(Vec::is_empty) && self.former.is_empty();
        self.joined.filter(|_| !is_alone).unwrap_or_default().max(self.started)
    }

    /// Replaces the names of the other routers.
    pub(crate) fn set_peers(&mut self, now: Duration, peers: Vec<Name>) {
        let longest = self.retry_window.max(COLD_WINDOW);
        self.former.retain(|name, since| now < *since + longest && !peers.contains(name));
        let before = self.peers.replace(peers).unwrap_or_default();
        let peers = self.peers.as_deref().unwrap_or_default();
        let ended = before.into_iter().filter(|name| !peers.contains(name));
        self.former.extend(ended.map(|name| (name, now)));
    }

    /// Returns the names of the other routers whose requests may count towards a limit over a window; `None` until the
    /// other routers are known and know this one.
    pub(crate) fn sharing(
        &self,
        now: Duration,
        window: Duration,
    ) -> Option<impl Iterator<Item = &Name> + Clone> {
        let peers = self.peers.as_ref().filter(|_| now >= self.used_since())?;
        let former = self.former.iter().filter(move |(_, since)| now < **since + window);
        Some(peers.iter().chain(former.map(|(name, _)| name)))
    }
}
