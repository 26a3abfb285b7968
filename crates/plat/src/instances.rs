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

/// One instance of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// The name of the instance.
    pub name: Name,
    /// Where it serves callers.
    pub callers: SocketAddr,
    /// Where it talks to other instances.
    pub peers: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Its region.
    pub region: Name,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

#[derive(Deserialize)]
struct Listing {
    instances: Vec<Item>,
}

#[derive(Deserialize)]
struct Item {
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
    /// Creates a client of the list at a path; it connects when it is first used.
    #[must_use]
    pub fn new(address: SocketAddr, path: &str) -> Self {
        Self { client: Arc::new(Client::new(address)), path: Arc::from(path) }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// Returns an error when the list can't be read or is malformed.
    pub async fn fetch(&self) -> Result<Vec<Instance>, Error> {
        let listing: Listing = self.client.get(self.path.to_string(), CALL_TIMEOUT).await?;
        Ok(listing.instances.into_iter().map(Instance::from).collect())
    }
}

impl From<Item> for Instance {
    fn from(item: Item) -> Self {
        Self {
            name: item.name,
            callers: item.callers,
            peers: item.peers,
            zone: item.zone,
            region: item.region,
            leaving: item.state == State::Leaving,
        }
    }
}
