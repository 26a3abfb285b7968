//! The state of the fleet that the control thread publishes to the traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Name;
use conf::Configuration;
use indexmap::IndexSet;

/// A live router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveRouter {
    /// The name of the router.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The address that callers connect to.
    pub callers: SocketAddr,
    /// Whether new callers may be directed to it.
    pub accepts_callers: bool,
}

/// The state of the fleet as known to this router.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The configuration in force, with its version.
    pub configuration: Option<Arc<Configuration>>,
    /// The version in force, a log offset; zero means none.
    pub version: u64,
    /// The live routers.
    pub routers: Vec<LiveRouter>,
    /// Zones and instances that are out of service by order of an operator, and runners that are leaving.
    pub out_of_service: IndexSet<Name>,
    /// Whether this router is shutting down.
    pub leaving: bool,
}
