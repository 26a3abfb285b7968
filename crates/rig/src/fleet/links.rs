//! The links between the routers of a fleet, and the instance lists through which they find each other.

use error_stack::Report;
use serde_json::Value;
use serde_json::json;

use crate::Change;
use crate::Error;
use crate::Fleet;
use crate::Network;

impl Fleet {
    /// Updates the platform's instance lists from the current routers.
    ///
    /// Behind a proxy, each router has its own list: a common list would contain addresses that bypass the links.
    pub(super) async fn update_lists(&mut self) -> Result<(), Report<Error>> {
        if self.network.is_none() {
            let entries =
                self.routers.iter().filter_map(|router| router.list_entry(router.peer_address()));
            let list = json!({ "instances": entries.collect::<Vec<Value>>() });
            return self.platform.control("instances", &list).await.map(|_| ());
        }
        for viewer in 0..self.routers.len() {
            let Some(list) = self.view(viewer).await? else { continue };
            let path = format!("views/{}/instances", self.routers[viewer].name());
            self.platform.control(&path, &list).await?;
        }
        Ok(())
    }

    /// Returns the instance list for a router whose links are routed through the proxy.
    async fn view(&mut self, viewer: usize) -> Result<Option<Value>, Report<Error>> {
        let Some(network) = &mut self.network else { return Ok(None) };
        let mut entries = Vec::new();
        for (index, router) in self.routers.iter().enumerate() {
            let peers = if index == viewer {
                router.peer_address()
            } else {
                let name = peer_link(self.routers[viewer].name(), router.name());
                network.udp(&name, router.peer_address()).await?
            };
            entries.extend(router.list_entry(peers));
        }
        Ok(Some(json!({ "instances": entries })))
    }

    /// Returns the proxied network.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] if the links are not proxied.
    pub fn network(&self) -> Result<&Network, Report<Error>> {
        self.network.as_ref().ok_or_else(|| Report::new(Error::Unknown("network".to_owned())))
    }

    /// Cuts all links whose names begin with a prefix: `peer:r1:`, `plat:r1` or `run:chat-1`.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] if no link matches or the links are not proxied.
    pub async fn cut(&self, prefix: &str) -> Result<(), Report<Error>> {
        self.network()?.change(prefix, Change { cut: Some(true), ..Change::default() }).await
    }

    /// Removes all cuts and delays; connections that were stalled stay stalled.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] if there are no links or they are not proxied.
    pub async fn clear_network_faults(&self) -> Result<(), Report<Error>> {
        let change = Change {
            cut: Some(false),
            cut_to_target: Some(false),
            cut_to_client: Some(false),
            delay_ms: Some(0),
            stall: None,
        };
        self.network()?.change("", change).await
    }

    /// Cuts all links between these routers and the others, but no links to the platform or to runners.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] if the links are not proxied.
    pub async fn isolate(&self, routers: &[usize]) -> Result<(), Report<Error>> {
        let change = Change { cut: Some(true), ..Change::default() };
        let network = self.network()?;
        for (from, near) in self.routers.iter().enumerate() {
            for (to, far) in self.routers.iter().enumerate() {
                if routers.contains(&from) != routers.contains(&to) {
                    network.change_link(&peer_link(near.name(), far.name()), change).await?;
                }
            }
        }
        Ok(())
    }
}

fn peer_link(from: &str, to: &str) -> String {
    format!("peer:{from}:{to}")
}
