//! The faulty network between routers, runners and the platform.

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

/// All links of a fleet.
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
    /// Creates a network without links.
    #[must_use]
    pub fn new(process: FakeProcess) -> Self {
        Self { process, links: IndexMap::new() }
    }

    /// Returns the near end of a TCP link, which is created if it is new.
    ///
    /// # Errors
    /// Returns an error when it can't be created.
    pub async fn tcp(
        &mut self,
        name: &str,
        target: SocketAddr,
    ) -> Result<SocketAddr, Report<Error>> {
        self.link(name, "tcp", target).await
    }

    /// Returns the near end of a UDP link, which is created if it is new.
    ///
    /// # Errors
    /// Returns an error when it can't be created.
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
        if let Some(near) = self.links.get(name) {
            return Ok(*near);
        }
        let order = json!({ "name": name, "kind": kind, "target": target });
        let created: Created =
            exchange::post(self.process.address(), "/control/links", &order).await?;
        self.links.insert(name.to_owned(), created.listen);
        Ok(created.listen)
    }

    /// Changes one link.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] when there is none of this name.
    pub async fn change_link(&self, name: &str, change: Change) -> Result<(), Report<Error>> {
        let answer = self.process.control(&format!("links/{name}"), &change).await?;
        check_changed(&answer, name)
    }

    /// Changes all links whose names begin with a prefix.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] when there is none.
    pub async fn change(&self, prefix: &str, change: Change) -> Result<(), Report<Error>> {
        let answer = self.process.control(&format!("links?prefix={prefix}"), &change).await?;
        check_changed(&answer, prefix)
    }

    /// Returns what has passed over each link.
    ///
    /// # Errors
    /// Returns an error when it can't be read.
    pub async fn traffic(&self) -> Result<Vec<Traffic>, Report<Error>> {
        let links: Links = self.process.get("/control/links").await?;
        Ok(links.links)
    }
}

/// A mistyped name would make a fault that never happens.
fn check_changed(answer: &Value, name: &str) -> Result<(), Report<Error>> {
    let changed = answer["changed"].as_u64().ok_or(Error::Malformed(name.to_owned()));
    match changed.attach("no count of links")? {
        0 => Err(Report::new(Error::Unknown(name.to_owned()))),
        _ => Ok(()),
    }
}
