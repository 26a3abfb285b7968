//! A router process of a fleet.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use error_stack::Report;
use serde_json::Value;
use serde_json::json;
use strum::Display;

use crate::Error;
use crate::Launch;
use crate::Process;
use crate::RunDirectory;

/// The binary of routers.
const BINARY: &str = "aspenline";
/// The timeout for the start of a router.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The state of an instance in the platform's instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The platform is going to remove the instance.
    Leaving,
    /// The instance is not on the list.
    Absent,
}

/// A router process with its settings and addresses.
#[derive(Debug)]
pub struct Router {
    name: String,
    zone: String,
    region: String,
    settings: Value,
    binary: PathBuf,
    log: PathBuf,
    callers: SocketAddr,
    peers: SocketAddr,
    pub(crate) state: InstanceState,
    /// The process.
    pub process: Process,
}

impl Router {
    /// Starts a router whose settings leave the choice of its ports to the system.
    pub(crate) fn start(directory: &RunDirectory, settings: Value) -> Result<Self, Report<Error>> {
        let text = |field: &str| settings[field].as_str().unwrap_or_default().to_owned();
        let (name, zone, region) = (text("name"), text("zone"), text("region"));
        let (binary, log) = (directory.binary(BINARY)?, directory.log(&name));
        let process = Process::start(&launch(&name, &binary, &log, &settings))?;
        let unspecified = SocketAddr::from(([127, 0, 0, 1], 0));
        let state = InstanceState::Live;
        let (callers, peers) = (unspecified, unspecified);
        Ok(Self { name, zone, region, settings, binary, log, callers, peers, state, process })
    }

    /// Waits until the router is ready and writes its ports to the settings for later starts.
    pub(crate) fn wait_ready(&mut self) -> Result<(), Report<Error>> {
        let ready = self.process.wait_until_ready(START_TIMEOUT)?;
        let missing = || {
            Report::new(Error::NotReady(self.name.clone()))
                .attach("the router reported no address for peers")
        };
        self.peers = ready.peers.ok_or_else(missing)?;
        self.callers = ready.ready;
        self.settings["listen"] = json!(self.callers);
        self.settings["peer_listen"] = json!(self.peers);
        Ok(())
    }

    /// Kills the process if it runs, and starts it again with the same settings and ports.
    pub(crate) fn restart(&mut self) -> Result<(), Report<Error>> {
        self.process.kill();
        self.process =
            Process::start(&launch(&self.name, &self.binary, &self.log, &self.settings))?;
        self.wait_ready()
    }

    /// Returns the name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the zone.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Returns the address for callers.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address for other routers.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the entry for an instance list, with the peer address that the reader of the list is to use.
    pub(crate) fn list_entry(&self, peers: SocketAddr) -> Option<Value> {
        let entry = json!({
            "name": self.name, "callers": self.callers, "peers": peers, "zone": self.zone,
            "region": self.region, "state": self.state.to_string(),
        });
        (self.state != InstanceState::Absent).then_some(entry)
    }
}

fn launch(name: &str, binary: &std::path::Path, log: &std::path::Path, settings: &Value) -> Launch {
    let launch = Launch::new(name, binary.to_owned(), log.to_owned());
    launch.args(&["serve", "--settings", "-"]).input(&settings.to_string())
}
