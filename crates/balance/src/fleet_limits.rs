//! Limits that hold over all routers, which each router uses a part of.

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

use crate::runner::COLD_WINDOW;

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
    /// other routers are known.
    pub(crate) fn sharing(
        &self,
        now: Duration,
        window: Duration,
    ) -> Option<impl Iterator<Item = &Name> + Clone> {
        let peers = self.peers.as_ref()?;
        let former = self.former.iter().filter(move |(_, since)| now < **since + window);
        Some(peers.iter().chain(former.map(|(name, _)| name)))
    }
}
