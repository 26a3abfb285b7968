//! Settings of the mesh.

use std::net::SocketAddr;
use std::time::Duration;

use base::Name;

use crate::Identity;

/// Interval between direct probes.
const PROBE_PERIOD: Duration = Duration::from_millis(300);
/// Time without an answer after which indirect probes start.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time in which a suspected member of a small fleet can refute the suspicion.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(900);

/// The identity of a router, its address, and the periods and timeouts of its failure detector.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the router.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its region.
    pub region: Name,
    /// The address on which the mesh endpoint listens.
    pub listen: SocketAddr,
    /// The certificate, key and trusted authorities of the router.
    pub identity: Identity,
    /// Interval between direct probes.
    pub probe_period: Duration,
    /// Time without an answer after which indirect probes start.
    pub probe_timeout: Duration,
    /// Time in which a suspected member of a small fleet can refute the suspicion. It grows with the logarithm of the size
    /// of the fleet.
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

    /// Sets the interval between direct probes.
    #[must_use]
    pub const fn with_probe_period(mut self, period: Duration) -> Self {
        self.probe_period = period;
        self
    }

    /// Sets the time without an answer after which indirect probes start.
    #[must_use]
    pub const fn with_probe_timeout(mut self, timeout: Duration) -> Self {
        self.probe_timeout = timeout;
        self
    }

    /// Sets the time in which a suspected member of a small fleet can refute the suspicion.
    #[must_use]
    pub const fn with_suspect_timeout(mut self, timeout: Duration) -> Self {
        self.suspect_timeout = timeout;
        self
    }
}
