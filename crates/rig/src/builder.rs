//! The builder of a fleet: it describes the parts and starts their processes.

use base::Name;
use error_stack::Report;
use error_stack::ResultExt;
use indexmap::IndexMap;
use mesh::issue::Authority;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::Error;
use crate::FakeProcess;
use crate::Fleet;
use crate::Network;
use crate::RunDirectory;
use crate::ServicePlan;
use crate::WorkspacePlan;
use crate::ZonePlan;

/// The description of a fleet to start.
#[derive(Debug, Clone, Default)]
pub struct Builder {
    pub(crate) zones: Vec<ZonePlan>,
    pub(crate) settings: Map<String, Value>,
    routers: usize,
    services: Vec<ServicePlan>,
    workspaces: Vec<WorkspacePlan>,
    platform_args: Vec<String>,
    is_proxied: bool,
    is_unpublished: bool,
}

impl Builder {
    /// Adds a zone.
    #[must_use]
    pub fn zone(mut self, name: &str, region: &str) -> Self {
        self.zones.push(ZonePlan { name: name.to_owned(), region: region.to_owned() });
        self
    }

    /// Sets the number of routers; they are named `r1`, `r2` and so on, and assigned to the zones in turn.
    #[must_use]
    pub const fn routers(mut self, count: usize) -> Self {
        self.routers = count;
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn service(mut self, service: ServicePlan) -> Self {
        self.services.push(service);
        self
    }

    /// Adds a workspace.
    #[must_use]
    pub fn workspace(mut self, workspace: WorkspacePlan) -> Self {
        self.workspaces.push(workspace);
        self
    }

    /// Adds command-line arguments of the platform fake.
    #[must_use]
    pub fn platform_args<T: AsRef<str>>(mut self, args: &[T]) -> Self {
        self.platform_args.extend(args.iter().map(|arg| arg.as_ref().to_owned()));
        self
    }

    /// Routes all links through a proxy that can cut, delay and stall them.
    #[must_use]
    pub const fn proxied(mut self) -> Self {
        self.is_proxied = true;
        self
    }

    /// Starts the fleet without a configuration; the test publishes the first one.
    #[must_use]
    pub const fn unpublished(mut self) -> Self {
        self.is_unpublished = true;
        self
    }

    /// Sets a field of the settings of all routers, such as `mode`.
    #[must_use]
    pub fn setting(mut self, name: &str, value: Value) -> Self {
        self.settings.insert(name.to_owned(), value);
        self
    }

    /// Starts the platform and the runners, publishes the configuration and starts the routers.
    ///
    /// # Errors
    /// Returns the first failure; processes that have already started are killed.
    pub async fn start(self) -> Result<Fleet, Report<Error>> {
        let directory = RunDirectory::new()?;
        let args = [vec!["platform".to_owned()], self.platform_args.clone()].concat();
        let platform = FakeProcess::start(&directory, "platform", &args)?;
        let mut network = match self.is_proxied {
            true => Some(Network::new(FakeProcess::start(&directory, "proxy", &["proxy"])?)),
            false => None,
        };
        let mut runners = IndexMap::new();
        let mut services = Vec::new();
        for service in &self.services {
            services
                .push(self.start_service(&directory, service, &mut network, &mut runners).await?);
        }
        let config = self.config(&services);
        let workspaces = self.workspaces.iter().map(|workspace| workspace.name().to_owned());
        let mut fleet = Fleet {
            workspaces: workspaces.collect(),
            authority: authority()?,
            platform,
            network,
            runners,
            routers: Vec::new(),
            config,
            zones: self.zones,
            settings: self.settings,
            directory,
        };
        if !self.is_unpublished {
            let config = fleet.config.clone();
            fleet.publish_config(&config).await?;
        }
        fleet.start_routers(self.routers).await?;
        Ok(fleet)
    }

    async fn start_service(
        &self,
        directory: &RunDirectory,
        service: &ServicePlan,
        network: &mut Option<Network>,
        runners: &mut IndexMap<String, FakeProcess>,
    ) -> Result<Value, Report<Error>> {
        let mut configs = Vec::new();
        for (index, runner) in service.runners.iter().enumerate() {
            let name = format!("{}-{}", service.name, index + 1);
            let process = FakeProcess::start(directory, &name, &service.args(runner))?;
            let address = match network {
                Some(network) => network.tcp(&format!("run:{name}"), process.address()).await?,
                None => process.address(),
            };
            let zone_in_turn = self.zones.get(index % self.zones.len().max(1));
            let zone = runner.zone.clone().or_else(|| zone_in_turn.map(|zone| zone.name.clone()));
            let zone = zone.ok_or_else(|| Report::new(Error::Unknown("zone".to_owned())))?;
            configs.push(runner.config(&name, &address.to_string(), &zone));
            runners.insert(name, process);
        }
        Ok(service.config(&configs))
    }

    fn config(&self, services: &[Value]) -> Value {
        let workspaces: Vec<Value> = self.workspaces.iter().map(WorkspacePlan::config).collect();
        let zone = |zone: &ZonePlan| json!({ "name": zone.name, "region": zone.region });
        let zones: Vec<Value> = self.zones.iter().map(zone).collect();
        json!({ "workspaces": workspaces, "services": services, "zones": zones })
    }
}

fn authority() -> Result<Authority, Report<Error>> {
    mesh::issue::authority("fleet").change_context(Error::Keys)
}

/// Returns the keys of a router in the form of its settings.
pub(crate) fn peer_keys(authority: &Authority, name: &str) -> Result<Value, Report<Error>> {
    let identity = mesh::issue::member(authority, &Name::new(name)).change_context(Error::Keys)?;
    Ok(json!({
        "certificate": identity.certificate_pem, "key": identity.key_pem, "trust": identity.trust_pem,
    }))
}
