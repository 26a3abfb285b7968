//! Routers whose settings, keys and lists a test makes by itself.

use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::Full;
use mesh::issue::Authority;
use rig::Caller;
use rig::Fleet;
use rig::Launch;
use rig::OPERATOR_TOKEN;
use rig::Process;
use rig::RunDirectory;
use rig::exchange;
use serde_json::Value;
use serde_json::json;

use super::HANG;
use super::REGION;
use super::WORKSPACE;
use super::ZONES;

/// How long a router may take to answer an operator.
const ANSWER: Duration = Duration::from_secs(10);

/// A router that runs beside a fleet.
#[derive(Debug)]
pub(crate) struct Own {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) settings: Value,
    peers: SocketAddr,
    zone: String,
    pub(crate) process: Process,
}

/// Makes an authority.
pub(crate) fn authority(name: &str) -> Authority {
    mesh::issue::authority(name).expect("an authority")
}

/// Returns the keys of a router: issued by one authority, trusting some.
pub(crate) fn keys(issuer: &Authority, name: &str, trusted: &[&Authority]) -> Value {
    let identity = mesh::issue::member(issuer, &Name::new(name)).expect("a certificate");
    let trust: Vec<&str> = trusted.iter().map(|one| one.certificate_pem.as_str()).collect();
    json!({ "certificate": identity.certificate_pem, "key": identity.key_pem, "trust": trust })
}

/// Returns the settings of a router of a fleet's platform.
pub(crate) fn settings(fleet: &Fleet, name: &str, zone: usize, keys: &Value) -> Value {
    let platform = fleet.platform().address();
    json!({
        "name": name, "zone": ZONES[zone % ZONES.len()], "region": REGION,
        "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "platform": { "log": platform, "instances": platform, "instances_path": "/instances" },
        "peer_keys": keys, "operator_token_sha256": conf::digest(OPERATOR_TOKEN),
    })
}

impl Own {
    /// Starts a router and waits until it is ready.
    pub(crate) fn start(directory: &RunDirectory, settings: Value) -> Self {
        let text = |field: &str| settings[field].as_str().expect("a text").to_owned();
        let (name, zone) = (text("name"), text("zone"));
        let process = launch(directory, &name, &settings);
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut own = Self { name, zone, settings, callers: unknown, peers: unknown, process };
        own.wait_ready();
        own
    }

    /// Ends the router and starts it again at the same ports with its settings, which may have been changed.
    pub(crate) fn restart(&mut self, directory: &RunDirectory) {
        self.process.kill();
        self.process = launch(directory, &self.name, &self.settings);
        self.wait_ready();
    }

    fn wait_ready(&mut self) {
        let ready = self.process.wait_until_ready(HANG).expect("a ready router");
        self.callers = ready.ready;
        self.peers = ready.peers.expect("an address for routers");
        self.settings["listen"] = json!(self.callers);
        self.settings["peer_listen"] = json!(self.peers);
    }

    /// Returns its entry on a list of instances.
    pub(crate) fn entry(&self) -> Value {
        json!({
            "name": self.name, "callers": self.callers, "peers": self.peers, "zone": self.zone,
            "region": REGION, "state": "live",
        })
    }

    /// Returns a caller that knows this router only.
    pub(crate) fn caller(&self) -> Caller {
        Caller::new(&format!("{WORKSPACE}-token"), &[self.callers])
    }

    /// Sends a request as an operator.
    pub(crate) async fn operate(
        &self,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<Response<Bytes>> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.callers.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .expect("a request");
        exchange::send(self.callers, request, ANSWER).await.ok()
    }

    /// Returns the status, or nothing while it doesn't answer.
    pub(crate) async fn status(&self) -> Value {
        let answer = self.operate(Method::GET, "/operator/status", "").await;
        answer.and_then(|answer| serde_json::from_slice(answer.body()).ok()).unwrap_or_default()
    }

    /// Returns the members that it takes for alive, in order.
    pub(crate) async fn alive(&self) -> Vec<String> {
        let status = self.status().await;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let alive = members.iter().filter(|member| member["state"] == "alive");
        let mut names: Vec<String> =
            alive.filter_map(|member| member["name"].as_str()).map(str::to_owned).collect();
        names.sort();
        names
    }
}

/// Lists these routers as all instances.
pub(crate) async fn list(fleet: &Fleet, routers: &[&Own]) {
    let entries: Vec<Value> = routers.iter().map(|router| router.entry()).collect();
    let list = json!({ "instances": entries });
    fleet.platform().control("instances", &list).await.expect("obeyed");
}

fn launch(directory: &RunDirectory, name: &str, settings: &Value) -> Process {
    let binary = directory.binary("aspenline").expect("built");
    let launch = Launch::new(name, binary, directory.log(name))
        .args(&["serve", "--settings", "-"])
        .input(&settings.to_string());
    Process::start(&launch).expect("started")
}
