//! The routing table of the current configuration, which maps requests to routes and API keys to workspaces.

use std::rc::Rc;

use base::Name;
use indexmap::IndexMap;

use crate::Route;
use crate::Service;

/// The access that a request has to its route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// The route needs no key.
    Public,
    /// The key belongs to this workspace.
    Workspace(Name),
}

/// The reason why a request is not admitted to a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Denied {
    /// No route matches host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The version, which only increases.
    pub version: u64,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    hosts: IndexMap<String, Vec<Rc<Route>>>,
    services: IndexMap<Name, Service>,
    keys: IndexMap<String, Name>,
    workspaces: IndexMap<Name, Option<u32>>,
    requires_keys: bool,
}

impl Table {
    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.hosts.entry(route.host.clone()).or_default();
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, Rc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.name.clone(), service);
    }

    /// Requires a key of a workspace for all routes that are not public, also while there is no workspace.
    pub const fn require_keys(&mut self) {
        self.requires_keys = true;
    }

    /// Adds a workspace with its keys; afterwards, only public routes can be used without a key.
    pub fn add_workspace(
        &mut self,
        workspace: &Name,
        keys: impl IntoIterator<Item = String>,
        priority: Option<u32>,
    ) {
        self.require_keys();
        self.workspaces.insert(workspace.clone(), priority);
        self.keys.extend(keys.into_iter().map(|key| (key, workspace.clone())));
    }

    /// Returns the route of the host with the longest prefix of the path.
    ///
    /// # Errors
    /// Returns [`Denied::NoRoute`] if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Result<&Rc<Route>, Denied> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&host).ok_or(Denied::NoRoute)?;
        routes.iter().find(|route| path.starts_with(&route.prefix)).ok_or(Denied::NoRoute)
    }

    /// Returns the access of a request to a route.
    ///
    /// # Errors
    /// Returns [`Denied::UnknownKey`] if the route needs a key and `key` is missing or unknown.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Result<Access, Denied> {
        if !self.requires_keys || route.public {
            return Ok(Access::Public);
        }
        let workspace = key.and_then(|key| self.keys.get(key)).ok_or(Denied::UnknownKey)?;
        Ok(Access::Workspace(workspace.clone()))
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Name> {
        self.workspaces.keys()
    }

    /// Returns the priority of a workspace, which overrides that of a route.
    #[must_use]
    pub fn priority(&self, workspace: &Name) -> Option<u32> {
        self.workspaces.get(workspace).copied().flatten()
    }

    /// Returns a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }
}
