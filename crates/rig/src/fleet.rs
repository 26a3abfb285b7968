//! A running fleet.

mod config;
mod links;
mod readiness;

use std::net::SocketAddr;
use std::process::ExitStatus;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use fake::journal;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::Full;
use indexmap::IndexMap;
use mesh::issue::Authority;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::Builder;
use crate::Caller;
use crate::Error;
use crate::FakeProcess;
use crate::InstanceState;
use crate::Network;
use crate::Router;
use crate::RunDirectory;
use crate::ZonePlan;
use crate::builder;
use crate::exchange;
use crate::plan;

/// The operator token of every fleet.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// The timeout for an answer to an operator.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);

/// A running fleet with its runners, platform and network; dropping it kills all processes.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) routers: Vec<Router>,
    pub(crate) runners: IndexMap<String, FakeProcess>,
    pub(crate) network: Option<Network>,
    pub(crate) platform: FakeProcess,
    pub(crate) authority: Authority,
    pub(crate) config: Value,
    pub(crate) zones: Vec<ZonePlan>,
    pub(crate) settings: Map<String, Value>,
    pub(crate) workspaces: Vec<String>,
    /// Kept as the last field, so that the directory is removed after the processes have ended.
    pub(crate) directory: RunDirectory,
}

impl Fleet {
    /// Returns a builder of a fleet.
    #[must_use]
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns the platform fake.
    #[must_use]
    pub const fn platform(&self) -> &FakeProcess {
        &self.platform
    }

    /// Returns a runner.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] if no runner has this name.
    pub fn runner(&mut self, name: &str) -> Result<&mut FakeProcess, Report<Error>> {
        self.runners.get_mut(name).ok_or_else(|| Report::new(Error::Unknown(name.to_owned())))
    }

    /// Returns all runners by name.
    #[must_use]
    pub const fn runners(&self) -> &IndexMap<String, FakeProcess> {
        &self.runners
    }

    /// Returns the number of routers.
    #[must_use]
    pub const fn router_count(&self) -> usize {
        self.routers.len()
    }

    /// Returns a router; the first one has index 0 and the name `r1`.
    #[must_use]
    pub fn router(&self, index: usize) -> &Router {
        &self.routers[index]
    }

    /// Kills a router.
    pub fn kill(&mut self, index: usize) {
        self.routers[index].process.kill();
    }

    /// Pauses a router until it is resumed.
    ///
    /// # Errors
    /// Returns [`Error::Ended`] if it has ended.
    pub fn pause(&mut self, index: usize) -> Result<(), Report<Error>> {
        self.routers[index].process.pause()
    }

    /// Resumes a paused router.
    ///
    /// # Errors
    /// Returns [`Error::Ended`] if it has ended.
    pub fn resume(&mut self, index: usize) -> Result<(), Report<Error>> {
        self.routers[index].process.resume()
    }

    /// Requests an orderly shutdown of a router.
    ///
    /// # Errors
    /// Returns [`Error::Ended`] if it has ended.
    pub fn terminate(&mut self, index: usize) -> Result<(), Report<Error>> {
        self.routers[index].process.terminate()
    }

    /// Waits until a router has ended and returns its exit status.
    ///
    /// # Errors
    /// Returns [`Error::NotEnded`] if it doesn't end before the timeout.
    pub fn wait(&mut self, index: usize, timeout: Duration) -> Result<ExitStatus, Report<Error>> {
        self.routers[index].process.wait(timeout)
    }

    /// Kills a router if it runs, and starts it again on the same ports.
    ///
    /// # Errors
    /// Returns an error if it doesn't become ready.
    pub fn restart(&mut self, index: usize) -> Result<(), Report<Error>> {
        self.routers[index].restart()
    }

    /// Starts further routers, which are assigned to the zones in turn.
    ///
    /// # Errors
    /// Returns an error if one of them doesn't become ready.
    pub async fn start_routers(&mut self, count: usize) -> Result<(), Report<Error>> {
        let first = self.routers.len();
        for _ in 0..count {
            let settings = self.router_settings(self.routers.len()).await?;
            self.routers.push(Router::start(&self.directory, settings)?);
        }
        for router in &mut self.routers[first..] {
            router.wait_ready()?;
        }
        self.update_lists().await
    }

    async fn router_settings(&mut self, index: usize) -> Result<Value, Report<Error>> {
        let name = format!("r{}", index + 1);
        let zone = self.zones.get(index % self.zones.len().max(1));
        let zone = zone.ok_or_else(|| Report::new(Error::Unknown("zone".to_owned())))?;
        let platform = match &mut self.network {
            Some(network) => network.tcp(&format!("plat:{name}"), self.platform.address()).await?,
            None => self.platform.address(),
        };
        let mut settings = json!({
            "name": name, "zone": zone.name, "region": zone.region,
            "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
            "platform": {
                "log": platform, "instances": platform,
                "instances_path": format!("/views/{name}/instances"),
            },
            "peer_keys": builder::peer_keys(&self.authority, &name)?,
            "operator_token_sha256": conf::digest(OPERATOR_TOKEN),
        });
        for (field, value) in &self.settings {
            settings[field] = value.clone();
        }
        Ok(settings)
    }

    /// Changes the state of a router in the platform's instance list.
    ///
    /// # Errors
    /// Returns an error if the platform refuses the list.
    pub async fn set_instance_state(
        &mut self,
        index: usize,
        state: InstanceState,
    ) -> Result<(), Report<Error>> {
        self.routers[index].state = state;
        self.update_lists().await
    }

    /// Returns the journals of all runners by name.
    ///
    /// # Errors
    /// Returns the first error; a runner that doesn't answer is an error.
    pub async fn journals(&self) -> Result<IndexMap<String, journal::Report>, Report<Error>> {
        let mut journals = IndexMap::new();
        for (name, runner) in &self.runners {
            journals.insert(name.clone(), runner.journal().await?);
        }
        Ok(journals)
    }

    /// Returns a caller of a workspace that can use all routers.
    #[must_use]
    pub fn caller(&self, workspace: &str) -> Caller {
        let routers: Vec<SocketAddr> = self.routers.iter().map(Router::caller_address).collect();
        Caller::new(&plan::token(workspace), &routers)
    }

    /// Returns a caller of a workspace that uses a single router.
    #[must_use]
    pub fn caller_of(&self, workspace: &str, router: usize) -> Caller {
        Caller::new(&plan::token(workspace), &[self.routers[router].caller_address()])
    }

    /// Sends an operator's request to a router.
    ///
    /// # Errors
    /// Returns [`Error::NoAnswer`] if no complete answer arrives before the timeout; a refusal is an answer.
    pub async fn send_as_operator(
        &self,
        router: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<Response<Bytes>, Report<Error>> {
        let address = self.routers[router].caller_address();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .change_context_lazy(|| Error::Malformed(path.to_owned()))?;
        exchange::send(address, request, OPERATOR_TIMEOUT).await
    }
}
