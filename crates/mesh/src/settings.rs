//! Settings of the mesh.

use std::net::SocketAddr;
use std::time::Duration;

use base::Name;

use crate::Identity;

/// Time from one direct probe to the next.
const PROBE_PERIOD: Duration = Duration::from_millis(300);
/// Time without an answer after which a probe takes other ways.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time in which a suspected member of a small fleet can refute.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(900);

/// Who a router is, where it listens and how fast it judges others.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the router.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its region.
    pub region: Name,
    /// Where the mesh endpoint listens.
    pub listen: SocketAddr,
    /// The keys of the router.
    pub identity: Identity,
    /// Time from one direct probe to the next.
    pub probe_period: Duration,
    /// Time without an answer after which a probe takes other ways.
    pub probe_timeout: Duration,
    /// Time in which a suspected member of a small fleet can refute; grows with the logarithm of the size.
    pub suspect_timeout: Duration,
}

impl Settings {
    /// Creates settings with default times.
    #[must_use]
    pub const fn new(
        name: Name,
        zone: Name,
        region: Name,
        listen: SocketAddr,
        identity: Identity,
    ) -> Self {
        Self {
            name,
            zone,
            region,
            listen,
            identity,
            probe_period: PROBE_PERIOD,
            probe_timeout: PROBE_TIMEOUT,
            suspect_timeout: SUSPECT_TIMEOUT,
        }
    }

    /// Sets the time from one direct probe to the next.
    #[must_use]
    pub const fn with_probe_period(mut self, period: Duration) -> Self {
        self.probe_period = period;
        self
    }

    /// Sets the time without an answer after which a probe takes other ways.
    #[must_use]
    pub const fn with_probe_timeout(mut self, timeout: Duration) -> Self {
        self.probe_timeout = timeout;
        self
    }

    /// Sets the time in which a suspected member can refute.
    #[must_use]
    pub const fn with_suspect_timeout(mut self, timeout: Duration) -> Self {
        self.suspect_timeout = timeout;
        self
    }
}
