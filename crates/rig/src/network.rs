//! The fault-injecting proxy between routers, runners and the platform.

use std::net::SocketAddr;

use error_stack::Report;
use error_stack::ResultExt;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::Error;
use crate::FakeProcess;
use crate::exchange;

pub use fake::proxy::Change;
pub use fake::proxy::Traffic;

/// The proxied links of a fleet.
#[derive(Debug)]
pub struct Network {
    process: FakeProcess,
    links: IndexMap<String, SocketAddr>,
}

#[derive(Deserialize)]
struct Created {
    listen: SocketAddr,
}

#[derive(Deserialize)]
struct Links {
    links: Vec<Traffic>,
}

impl Network {
    /// Creates a network without links from a running proxy.
    #[must_use]
    pub fn new(process: FakeProcess) -> Self {
        Self { process, links: IndexMap::new() }
    }

    /// Returns the listening address of a TCP link, which is created if it doesn't exist.
    ///
    /// # Errors
    /// Returns an error if it can't be created.
    pub async fn tcp(
        &mut self,
        name: &str,
        target: SocketAddr,
    ) -> Result<SocketAddr, Report<Error>> {
        self.link(name, "tcp", target).await
    }

    /// Returns the listening address of a UDP link, which is created if it doesn't exist.
    ///
    /// # Errors
    /// Returns an error if it can't be created.
    pub async fn udp(
        &mut self,
        name: &str,
        target: SocketAddr,
    ) -> Result<SocketAddr, Report<Error>> {
        self.link(name, "udp", target).await
    }

    async fn link(
        &mut self,
        name: &str,
        kind: &str,
        target: SocketAddr,
    ) -> Result<SocketAddr, Report<Error>> {
        if let Some(address) = self.links.get(name) {
            return Ok(*address);
        }
        let request = json!({ "name": name, "kind": kind, "target": target });
        let created: Created =
            exchange::post(self.process.address(), "/control/links", &request).await?;
        self.links.insert(name.to_owned(), created.listen);
        Ok(created.listen)
    }

    /// Changes the faults of one link.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] if no link has this name.
    pub async fn change_link(&self, name: &str, change: Change) -> Result<(), Report<Error>> {
        let answer = self.process.control(&format!("links/{name}"), &change).await?;
        check_changed(&answer, name)
    }

    /// Changes the faults of all links whose names start with a prefix.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] if there is no such link.
    pub async fn change(&self, prefix: &str, change: Change) -> Result<(), Report<Error>> {
        let answer = self.process.control(&format!("links?prefix={prefix}"), &change).await?;
        check_changed(&answer, prefix)
    }

    /// Returns the traffic counters of each link.
    ///
    /// # Errors
    /// Returns an error if they can't be read.
    pub async fn traffic(&self) -> Result<Vec<Traffic>, Report<Error>> {
        let links: Links = self.process.get("/control/links").await?;
        Ok(links.links)
    }
}

/// Fails if no link was changed: with a mistyped name, the fault would silently never happen.
fn check_changed(answer: &Value, name: &str) -> Result<(), Report<Error>> {
    let changed = answer["changed"].as_u64().ok_or(Error::Malformed(name.to_owned()));
    match changed.attach("the answer has no number of changed links")? {
        0 => Err(Report::new(Error::Unknown(name.to_owned()))),
        _ => Ok(()),
    }
}
