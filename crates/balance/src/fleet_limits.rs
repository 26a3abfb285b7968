//! Limits that hold over all routers, which each router uses a part of.

use std::time::Duration;

use base::Name;

/// The limits that hold over all routers, with the names of the routers that share them.
#[derive(Debug, Clone)]
pub struct FleetLimits {
    /// The name of this router.
    pub router: Name,
    /// The availability zone of this router.
    pub zone: Name,
    /// The names of the other routers, whether they are connected or not; `None` until they are known.
    pub peers: Option<Vec<Name>>,
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
