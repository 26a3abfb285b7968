//! A running fleet.

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
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::Builder;
use crate::Caller;
use crate::Change;
use crate::Error;
use crate::Listed;
use crate::Network;
use crate::Part;
use crate::Router;
use crate::Space;
use crate::ZonePlan;
use crate::builder;
use crate::exchange;
use crate::plan;

/// The token of the operators of each fleet.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// The stream of the log that holds configurations.
const CONFIG_STREAM: &str = "config";
/// Most addresses in one answer of a router.
const ADDRESSES: usize = 4;
/// Time between two looks at something that is waited for.
const POLL: Duration = Duration::from_millis(50);
/// How long an operator waits for an answer.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);

/// A running fleet with everything around it; dropping it ends all processes.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) routers: Vec<Router>,
    pub(crate) runners: IndexMap<String, Part>,
    pub(crate) network: Option<Network>,
    pub(crate) platform: Part,
    pub(crate) authority: Authority,
    pub(crate) config: Value,
    pub(crate) zones: Vec<ZonePlan>,
    pub(crate) settings: Map<String, Value>,
    pub(crate) workspaces: Vec<String>,
    /// The last field, so that the directory goes after the processes.
    pub(crate) space: Space,
}

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct LogRecord {
    offset: u64,
    body: String,
}

#[derive(Deserialize)]
struct Page {
    first: u64,
    records: Vec<LogRecord>,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

impl Fleet {
    /// Starts the description of a fleet.
    #[must_use]
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns the platform.
    #[must_use]
    pub const fn platform(&self) -> &Part {
        &self.platform
    }

    /// Returns a runner.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] when there is none of this name.
    pub fn runner(&mut self, name: &str) -> Result<&mut Part, Report<Error>> {
        self.runners.get_mut(name).ok_or_else(|| Report::new(Error::Unknown(name.to_owned())))
    }

    /// Returns all runners by name.
    #[must_use]
    pub const fn runners(&self) -> &IndexMap<String, Part> {
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

    /// Ends a router at once.
    pub fn kill(&mut self, index: usize) {
        self.routers[index].process.kill();
    }

    /// Stops a router until it is woken.
    ///
    /// # Errors
    /// Returns [`Error::Ended`] when it has ended.
    pub fn pause(&mut self, index: usize) -> Result<(), Report<Error>> {
        self.routers[index].process.pause()
    }

    /// Lets a paused router go on.
    ///
    /// # Errors
    /// Returns [`Error::Ended`] when it has ended.
    pub fn wake(&mut self, index: usize) -> Result<(), Report<Error>> {
        self.routers[index].process.wake()
    }

    /// Asks a router to end.
    ///
    /// # Errors
    /// Returns [`Error::Ended`] when it has ended.
    pub fn terminate(&mut self, index: usize) -> Result<(), Report<Error>> {
        self.routers[index].process.terminate()
    }

    /// Waits until a router has ended and returns how.
    ///
    /// # Errors
    /// Returns [`Error::NotEnded`] when it takes too long.
    pub fn wait(&mut self, index: usize, timeout: Duration) -> Result<ExitStatus, Report<Error>> {
        self.routers[index].process.wait(timeout)
    }

    /// Ends a router if it runs, and starts it again at the same ports.
    ///
    /// # Errors
    /// Returns an error when it doesn't start.
    pub fn restart(&mut self, index: usize) -> Result<(), Report<Error>> {
        self.routers[index].restart()
    }

    /// Adds routers, which go to the zones in turn.
    ///
    /// # Errors
    /// Returns an error when one doesn't start.
    pub async fn start_routers(&mut self, count: usize) -> Result<(), Report<Error>> {
        let first = self.routers.len();
        for _ in 0..count {
            let settings = self.router_settings(self.routers.len()).await?;
            self.routers.push(Router::start(&self.space, settings)?);
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

    /// Changes how the platform lists a router.
    ///
    /// # Errors
    /// Returns an error when the platform doesn't take the list.
    pub async fn list(&mut self, index: usize, listed: Listed) -> Result<(), Report<Error>> {
        self.routers[index].listed = listed;
        self.update_lists().await
    }

    /// Brings the platform's lists in line with the routers.
    async fn update_lists(&mut self) -> Result<(), Report<Error>> {
        let own = self.routers.iter().filter_map(|router| router.entry(router.peers()));
        let list = json!({ "instances": own.collect::<Vec<Value>>() });
        let _: Value = self.platform.control("instances", &list).await?;
        for viewer in 0..self.routers.len() {
            let Some(list) = self.view(viewer).await? else { continue };
            let path = format!("views/{}/instances", self.routers[viewer].name());
            let _: Value = self.platform.control(&path, &list).await?;
        }
        Ok(())
    }

    /// Returns the list that a router is to see if its links are led through the network.
    async fn view(&mut self, viewer: usize) -> Result<Option<Value>, Report<Error>> {
        let Some(network) = &mut self.network else { return Ok(None) };
        let mut entries = Vec::new();
        for (index, router) in self.routers.iter().enumerate() {
            let peers = if index == viewer {
                router.peers()
            } else {
                let name = peer_link(self.routers[viewer].name(), router.name());
                network.udp(&name, router.peers()).await?
            };
            entries.extend(router.entry(peers));
        }
        Ok(Some(json!({ "instances": entries })))
    }

    /// Returns the network.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] when the links aren't led through one.
    pub fn network(&self) -> Result<&Network, Report<Error>> {
        self.network.as_ref().ok_or_else(|| Report::new(Error::Unknown("network".to_owned())))
    }

    /// Cuts all links whose names begin with a prefix: `peer:r1:`, `plat:r1` or `run:chat-1`.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] when there is none.
    pub async fn cut(&self, prefix: &str) -> Result<(), Report<Error>> {
        self.network()?.change(prefix, Change { cut: Some(true), ..Change::default() }).await
    }

    /// Takes all cuts and delays away; connections that were silenced stay silent.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] when there are no links.
    pub async fn heal(&self) -> Result<(), Report<Error>> {
        let change = Change {
            cut: Some(false),
            cut_to: Some(false),
            cut_back: Some(false),
            delay_ms: Some(0),
            silent: None,
        };
        self.network()?.change("", change).await
    }

    /// Cuts all links between these routers and the others, but none to the platform or runners.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] when the links aren't led through a network.
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

    /// Returns the configuration that the fleet was started with.
    #[must_use]
    pub const fn config(&self) -> &Value {
        &self.config
    }

    /// Publishes a configuration on top of the one in force and returns its version.
    ///
    /// # Errors
    /// Returns an error when the log can't be read or written.
    pub async fn publish_config(&mut self, config: &Value) -> Result<u64, Report<Error>> {
        let page = self.page(CONFIG_STREAM).await?;
        let is_trimmed = page.first > 1;
        let mut chain = if is_trimmed { conf::Chain::trimmed() } else { conf::Chain::new() };
        for record in &page.records {
            chain.feed(record.offset, &record.body);
        }
        let change = json!({ "base": chain.number(), "text": config.to_string() });
        let path = format!("/streams/{CONFIG_STREAM}/records");
        let appended: Appended = exchange::post(self.platform.address(), &path, &change).await?;
        self.config = config.clone();
        Ok(conf::Version::number_at(appended.offset))
    }

    /// Returns the bodies of all retained records of a stream of the log.
    ///
    /// # Errors
    /// Returns an error when the log can't be read.
    pub async fn records(&self, stream: &str) -> Result<Vec<String>, Report<Error>> {
        let page = self.page(stream).await?;
        Ok(page.records.into_iter().map(|record| record.body).collect())
    }

    /// Reads all retained records of a stream.
    async fn page(&self, stream: &str) -> Result<Page, Report<Error>> {
        let bounds: Value = self.platform.get(&format!("/streams/{stream}")).await?;
        let path = format!("/streams/{stream}/records?from={}", bounds["first"]);
        self.platform.get(&path).await
    }

    /// Returns the journals of all runners by name; a runner that doesn't answer is an error.
    ///
    /// # Errors
    /// Returns the first error.
    pub async fn journals(&self) -> Result<IndexMap<String, journal::Report>, Report<Error>> {
        let mut journals = IndexMap::new();
        for (name, runner) in &self.runners {
            journals.insert(name.clone(), runner.journal().await?);
        }
        Ok(journals)
    }

    /// Returns a caller of a workspace that knows all routers.
    #[must_use]
    pub fn caller(&self, workspace: &str) -> Caller {
        let routers: Vec<SocketAddr> = self.routers.iter().map(Router::callers).collect();
        Caller::new(&plan::token(workspace), &routers)
    }

    /// Returns a caller of a workspace that knows one router.
    #[must_use]
    pub fn caller_of(&self, workspace: &str, router: usize) -> Caller {
        Caller::new(&plan::token(workspace), &[self.routers[router].callers()])
    }

    /// Sends a request to a router as an operator.
    ///
    /// # Errors
    /// Returns [`Error::NoAnswer`] when no whole answer comes in time; a refusal is an answer.
    pub async fn operate(
        &self,
        router: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<Response<Bytes>, Report<Error>> {
        let address = self.routers[router].callers();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .change_context_lazy(|| Error::Malformed(path.to_owned()))?;
        exchange::send(address, request, OPERATOR_TIMEOUT).await
    }

    /// Waits until each listed, running router hands out as many addresses as it can.
    ///
    /// # Errors
    /// Returns [`Error::Timeout`] with the last answers when that takes too long.
    pub async fn settle(&mut self, timeout: Duration) -> Result<(), Report<Error>> {
        let deadline = Instant::now() + timeout;
        loop {
            let open = self.unsettled().await?;
            if open.is_empty() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(Report::new(Error::Timeout("a settled fleet".to_owned()))
                    .attach(open.join("; ")));
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Returns what is missing at each router.
    async fn unsettled(&mut self) -> Result<Vec<String>, Report<Error>> {
        let workspace = self.workspaces.first();
        let workspace =
            workspace.ok_or_else(|| Report::new(Error::Unknown("workspace".to_owned())))?;
        let caller = Caller::new(&plan::token(workspace), &[]);
        let mut live = Vec::new();
        for router in &mut self.routers {
            if router.listed == Listed::Live && router.process.is_running() {
                live.push((router.name().to_owned(), router.callers()));
            }
        }
        let wanted = live.len().min(ADDRESSES);
        let mut open = Vec::new();
        for (name, address) in &live {
            match caller.addresses_at(*address, "").await {
                Ok(found) if found.addresses.len() >= wanted => {}
                Ok(found) => open.push(format!("{name}: {} addresses", found.addresses.len())),
                Err(error) => open.push(format!("{name}: {error}")),
            }
        }
        Ok(open)
    }
}

fn peer_link(from: &str, to: &str) -> String {
    format!("peer:{from}:{to}")
}
