//! The platform's list of instances.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Name;
use serde::Deserialize;

use crate::Error;
use crate::client::CALL_TIMEOUT;
use crate::client::Client;

/// A client of the instance list, cheap to clone.
#[derive(Debug, Clone)]
pub struct Instances {
    client: Arc<Client>,
    path: Arc<str>,
}

/// The contents of the instance list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The instances that run routers.
    pub instances: Vec<Instance>,
    /// The runners whose instances the platform is about to remove.
    pub leaving_runners: Vec<Name>,
}

/// One instance of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// The name of the instance.
    pub name: Name,
    /// The address at which it serves callers.
    pub callers: SocketAddr,
    /// The address at which it communicates with other instances.
    pub peers: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Its region.
    pub region: Name,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

#[derive(Deserialize)]
struct Document {
    instances: Vec<ListedInstance>,
    #[serde(default)]
    runners: Vec<ListedRunner>,
}

#[derive(Deserialize)]
struct ListedRunner {
    name: Name,
    state: State,
}

#[derive(Deserialize)]
struct ListedInstance {
    name: Name,
    callers: SocketAddr,
    peers: SocketAddr,
    zone: Name,
    region: Name,
    state: State,
}

#[derive(Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
enum State {
    Live,
    Leaving,
}

impl Instances {
    /// Creates a client of the list at `path`; it connects on first use.
    #[must_use]
    pub fn new(address: SocketAddr, path: &str) -> Self {
        Self { client: Arc::new(Client::new(address)), path: Arc::from(path) }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// Returns an error if the list can't be read or is malformed.
    pub async fn fetch(&self) -> Result<Listing, Error> {
        let document: Document = self.client.get(self.path.to_string(), CALL_TIMEOUT).await?;
        let leaving = document.runners.into_iter().filter(|runner| runner.state == State::Leaving);
        Ok(Listing {
            instances: document.instances.into_iter().map(Instance::from).collect(),
            leaving_runners: leaving.map(|runner| runner.name).collect(),
        })
    }
}

impl From<ListedInstance> for Instance {
    fn from(listed: ListedInstance) -> Self {
        Self {
            name: listed.name,
            callers: listed.callers,
            peers: listed.peers,
            zone: listed.zone,
            region: listed.region,
            leaving: listed.state == State::Leaving,
        }
    }
}
