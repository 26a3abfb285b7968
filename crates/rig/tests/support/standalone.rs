//! Routers whose settings, keys and instance lists a test creates itself.

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

use super::HANG_TIMEOUT;
use super::REGION;
use super::WORKSPACE;
use super::ZONES;

/// The timeout for an answer to an operator.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);

/// A router that a test starts outside of the fleet's own routers.
#[derive(Debug)]
pub(crate) struct StandaloneRouter {
    pub(crate) name: String,
    pub(crate) caller_address: SocketAddr,
    pub(crate) settings: Value,
    peer_address: SocketAddr,
    zone: String,
    pub(crate) process: Process,
}

/// Creates a certificate authority.
pub(crate) fn authority(name: &str) -> Authority {
    mesh::issue::authority(name).expect("an authority")
}

/// Returns the keys of a router, issued by one authority, with a list of trusted authorities.
pub(crate) fn keys(issuer: &Authority, name: &str, trusted: &[&Authority]) -> Value {
    let identity = mesh::issue::member(issuer, &Name::new(name)).expect("a certificate");
    let trust: Vec<&str> = trusted.iter().map(|one| one.certificate_pem.as_str()).collect();
    json!({ "certificate": identity.certificate_pem, "key": identity.key_pem, "trust": trust })
}

/// Returns the settings of a router that uses a fleet's platform.
pub(crate) fn settings(fleet: &Fleet, name: &str, zone: usize, keys: &Value) -> Value {
    let platform = fleet.platform().address();
    json!({
        "name": name, "zone": ZONES[zone % ZONES.len()], "region": REGION,
        "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "platform": { "log": platform, "instances": platform, "instances_path": "/instances" },
        "peer_keys": keys, "operator_token_sha256": conf::digest(OPERATOR_TOKEN),
    })
}

impl StandaloneRouter {
    /// Starts a router and waits until it is ready.
    pub(crate) fn start(directory: &RunDirectory, settings: Value) -> Self {
        let text = |field: &str| settings[field].as_str().expect("a text").to_owned();
        let (name, zone) = (text("name"), text("zone"));
        let process = launch(directory, &name, &settings);
        let unspecified = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut router = Self {
            name,
            zone,
            settings,
            caller_address: unspecified,
            peer_address: unspecified,
            process,
        };
        router.wait_until_ready();
        router
    }

    /// Kills the router and starts it again on the same ports with its current settings, which may have been changed.
    pub(crate) fn restart(&mut self, directory: &RunDirectory) {
        self.process.kill();
        self.process = launch(directory, &self.name, &self.settings);
        self.wait_until_ready();
    }

    fn wait_until_ready(&mut self) {
        let ready = self.process.wait_until_ready(HANG_TIMEOUT).expect("a ready router");
        self.caller_address = ready.ready;
        self.peer_address = ready.peers.expect("a peer address");
        self.settings["listen"] = json!(self.caller_address);
        self.settings["peer_listen"] = json!(self.peer_address);
    }

    /// Returns the entry of the router for an instance list.
    pub(crate) fn entry(&self) -> Value {
        json!({
            "name": self.name, "callers": self.caller_address, "peers": self.peer_address,
            "zone": self.zone, "region": REGION, "state": "live",
        })
    }

    /// Returns a caller that uses only this router.
    pub(crate) fn caller(&self) -> Caller {
        Caller::new(&format!("{WORKSPACE}-token"), &[self.caller_address])
    }

    /// Sends a request to the router as an operator, or returns `None` if there is no complete answer.
    pub(crate) async fn send_as_operator(
        &self,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<Response<Bytes>> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.caller_address.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .expect("a request");
        exchange::send(self.caller_address, request, OPERATOR_TIMEOUT).await.ok()
    }

    /// Returns the status, or JSON `null` if the router doesn't answer.
    pub(crate) async fn status(&self) -> Value {
        let answer = self.send_as_operator(Method::GET, "/operator/status", "").await;
        answer.and_then(|answer| serde_json::from_slice(answer.body()).ok()).unwrap_or_default()
    }

    /// Returns the names of the members that the router considers alive, sorted.
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

/// Replaces the platform's instance list by these routers.
pub(crate) async fn list(fleet: &Fleet, routers: &[&StandaloneRouter]) {
    let entries: Vec<Value> = routers.iter().map(|router| router.entry()).collect();
    let list = json!({ "instances": entries });
    fleet.platform().control("instances", &list).await.expect("an accepted control request");
}

fn launch(directory: &RunDirectory, name: &str, settings: &Value) -> Process {
    let binary = directory.binary("aspenline").expect("built");
    let launch = Launch::new(name, binary, directory.log(name))
        .args(&["serve", "--settings", "-"])
        .input(&settings.to_string());
    Process::start(&launch).expect("started")
}
