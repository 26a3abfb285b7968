//! What traffic threads know of the fleet, published by the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Name;
use conf::Configuration;
use indexmap::IndexSet;

/// A router that callers may be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveRouter {
    /// The router.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Whether new callers may be sent there.
    pub accepts_callers: bool,
}

/// The state of the fleet as this router sees it.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The configuration in force, with its version.
    pub configuration: Option<Arc<Configuration>>,
    /// The version in force, a log offset; zero means none.
    pub version: u64,
    /// The routers that are alive.
    pub routers: Vec<LiveRouter>,
    /// Zones and instances that operators have taken out.
    pub out_of_service: IndexSet<Name>,
    /// Whether this router is shutting down.
    pub leaving: bool,
}
