//! A router process on a fake platform with a store and runners.
#![allow(dead_code, reason = "each test file uses some of these items")]

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use fake::endpoint::Endpoint;
use fake::store::Store;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;

/// The maximum time for which a test waits for a condition.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// The host of all routes.
pub(crate) const HOST: &str = "walls.example";
/// An API key of the configuration.
pub(crate) const API_KEY: &str = "key-1";

/// A fake platform: its store and a directory for the settings of routers.
pub(crate) struct Platform {
    pub(crate) store: Store,
    directory: PathBuf,
}

/// A router process, killed when dropped.
pub(crate) struct Router {
    child: Child,
    reader: Option<JoinHandle<()>>,
    lines: Arc<Mutex<Vec<String>>>,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) directory: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) peers: SocketAddr,
}

/// An answer as a caller receives it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The part of the body that was received.
    pub(crate) body: Bytes,
    /// Whether the body was received to its end.
    pub(crate) is_complete: bool,
}

/// Returns a configuration with public safe and unsafe routes of a ledger, and routes of engines that need a key.
pub(crate) fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 3_000, "target_latency_ms": 1_000, "priority": 1, "service": service,
            "max_attempts": 2, "public": service == "ledger", "sticky": false,
            "stream_resume": name == "stream", "gap_aim_ms": 500,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("safe", "safe", "ledger"),
            route("unsafe", "unsafe", "ledger"),
            route("keyed", "safe", "engines"),
            route("stream", "streaming", "engines"),
            route("once/stream", "streaming", "engines"),
        ],
        "services": [
            { "name": "ledger", "health_path": "/healthz", "max_conns": 100, "protocol": "h1",
              "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0 },
            { "name": "engines", "health_path": "/healthz", "max_conns": 100, "protocol": "h1",
              "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0 },
        ],
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 10_000,
                    "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
        "tenants": [{ "name": "wall", "api_keys": [API_KEY, "key-2"], "priority": 1 }],
    })
}

impl Platform {
    /// Starts a store without a configuration; `test` names a directory for settings.
    pub(crate) async fn start(test: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        fs::create_dir_all(&directory).expect("a directory for settings");
        Self { store: Store::start().await.expect("a store"), directory }
    }

    pub(crate) fn configure(&self, configuration: &Value) {
        self.store.put("keyed.op", "config", configuration.to_string().as_bytes());
    }

    pub(crate) fn list_runner(
        &self,
        endpoint: &Endpoint,
        service: &str,
        state: &str,
        sequence: u64,
    ) {
        let record = endpoint.record(service, state, sequence);
        self.store.put("keyed.servers", endpoint.id(), &record);
    }

    /// Starts runners of a service and lists them.
    pub(crate) async fn runners(&self, service: &str, count: usize) -> Vec<Endpoint> {
        let mut runners = Vec::new();
        for number in 0..count {
            let runner = Endpoint::start(&format!("{service}-{number}")).await.expect("a runner");
            self.list_runner(&runner, service, "ready", 1);
            runners.push(runner);
        }
        runners
    }

    pub(crate) fn settings(&self, name: &str) -> Value {
        self.settings_in(name, "north")
    }

    /// Returns the settings of a router in a zone.
    pub(crate) fn settings_in(&self, name: &str, zone: &str) -> Value {
        json!({
            "name": name, "zone": zone,
            "listen": { "callers": "127.0.0.1:0", "ready": "127.0.0.1:0",
                        "directory": "127.0.0.1:0", "metrics": "127.0.0.1:0" },
            "peers": "127.0.0.1:0", "store": self.store.address().to_string(),
            "share": 1.0, "grace_s": 4.0,
            "bounds": { "cold_factor": 1.5, "cold_constant": 5, "retry_ratio": 0.2,
                        "retry_constant": 50, "retry_window_s": 10, "revocation_ms": 1_500,
                        "leaving_ms": 2_000 },
        })
    }

    /// Returns the command that runs a router with these settings.
    pub(crate) fn command(&self, name: &str, settings: &str) -> Command {
        let path = self.directory.join(format!("{name}.json"));
        fs::write(&path, settings).expect("a settings file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_aspenline"));
        command.arg("platform").env("ASPENLINE_SETTINGS", path);
        command
    }

    /// Starts a router and waits until it listens.
    pub(crate) async fn router(&self, name: &str) -> Router {
        self.router_in(name, "north").await
    }

    /// Starts a router in a zone and waits until it listens.
    pub(crate) async fn router_in(&self, name: &str, zone: &str) -> Router {
        self.router_with(name, &self.settings_in(name, zone)).await
    }

    /// Starts a router with these settings and waits until it listens.
    pub(crate) async fn router_with(&self, name: &str, settings: &Value) -> Router {
        let mut command = self.command(name, &settings.to_string());
        let mut child = command.stdout(Stdio::piped()).spawn().expect("the router starts");
        let output = child.stdout.take().expect("standard output is piped");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let shared_lines = Arc::clone(&lines);
        let read = move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                shared_lines.lock().expect("no reader panics").push(line);
            }
        };
        let reader = thread::Builder::new().spawn(read).expect("a thread");
        let started = wait_for(|| find(&lines, "started")).await;
        let text = started["outcome"].as_str().expect("addresses").to_owned();
        Router {
            child,
            reader: Some(reader),
            lines,
            callers: address(&text, "callers"),
            ready: address(&text, "ready"),
            directory: address(&text, "directory"),
            metrics: address(&text, "metrics"),
            peers: address(&text, "peers"),
        }
    }
}

impl Router {
    /// Returns the first log line of an event.
    pub(crate) fn first_line(&self, event: &str) -> Option<Value> {
        find(&self.lines, event)
    }

    /// Returns the last log line of an event.
    pub(crate) fn last(&self, event: &str) -> Option<String> {
        let wanted = format!("\"event\":\"{event}\"");
        let lines = self.lines.lock().expect("no reader panics");
        lines.iter().rfind(|line| line.contains(&wanted)).cloned()
    }

    /// Returns all log lines of an event.
    pub(crate) fn lines_of(&self, event: &str) -> Vec<String> {
        let wanted = format!("\"event\":\"{event}\"");
        let lines = self.lines.lock().expect("no reader panics");
        lines.iter().filter(|line| line.contains(&wanted)).cloned().collect()
    }

    /// Returns the number of log lines of an event.
    pub(crate) fn count(&self, event: &str) -> usize {
        let wanted = format!("\"event\":\"{event}\"");
        let lines = self.lines.lock().expect("no reader panics");
        lines.iter().filter(|line| line.contains(&wanted)).count()
    }

    /// Waits until the router has adopted a configuration and knows at least this many runners.
    pub(crate) async fn wait_for_runners(&self, runners: usize) {
        wait_for(|| {
            (self.count("runner") >= runners && self.count("configuration_adopted") > 0)
                .then_some(())
        })
        .await;
    }

    /// Returns the largest amount of memory that the process has had, in KiB.
    pub(crate) fn peak_memory_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let value = line.and_then(|line| line.split_whitespace().next());
        value.and_then(|value| value.parse().ok()).expect("a number of KiB")
    }

    /// Returns the number of open file descriptors of the process.
    pub(crate) fn open_descriptors(&self) -> usize {
        let entries = fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        entries.expect("the process runs").count()
    }

    /// Returns whether the process has not exited.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the status of the process can be read").is_none()
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: rustix::process::Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        let id = rustix::process::Pid::from_raw(id).expect("a process id");
        rustix::process::kill_process(id, signal).expect("the process runs");
    }

    /// Suspends the process, and waits until it has stopped.
    pub(crate) async fn suspend(&self) {
        self.signal(rustix::process::Signal::STOP);
        wait_for(|| {
            let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
            status.expect("the process exists").contains("State:\tT").then_some(())
        })
        .await;
    }

    /// Sets the maximum number of file descriptors of the process; without a value, that of the test applies.
    pub(crate) fn limit_descriptors(&self, limit: Option<u64>) {
        let own = rustix::process::getrlimit(rustix::process::Resource::Nofile);
        let current = limit.or(own.current);
        let limits = rustix::process::Rlimit { current, maximum: own.maximum };
        let id = i32::try_from(self.child.id()).expect("a process id");
        let id = rustix::process::Pid::from_raw(id);
        rustix::process::prlimit(id, rustix::process::Resource::Nofile, limits)
            .expect("the process runs");
    }

    /// Waits until the process exits, and returns its exit code.
    pub(crate) async fn wait_for_exit(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if let Some(status) =
                self.child.try_wait().expect("the status of the process can be read")
            {
                return status.code();
            }
            time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the process has not exited in time");
    }

    /// Sends a request on a new connection.
    pub(crate) async fn call(&self, request: Request<Full<Bytes>>) -> Answer {
        call(self.callers, request).await
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        if let Some(reader) = self.reader.take() {
            drop(reader.join());
        }
    }
}

/// Returns a builder with the headers of a caller's request.
pub(crate) fn request(method: &str, path: &str, id: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("request-id", id)
        .header("deadline-ms", "3000")
}

/// Returns a request without a body.
pub(crate) fn get(path: &str, id: &str) -> Request<Full<Bytes>> {
    request("GET", path, id).body(Full::default()).expect("a request")
}

/// Returns a request with an API key.
pub(crate) fn request_with_key(method: &str, path: &str, id: &str) -> Request<Full<Bytes>> {
    request(method, path, id).header("api-key", API_KEY).body(Full::default()).expect("a request")
}

/// The reason why a call has no answer.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The router does not accept connections.
    NotConnected,
    /// The connection ended without an answer.
    NoAnswer,
}

/// Sends a request on a new connection, which must be answered.
pub(crate) async fn call(address: SocketAddr, request: Request<Full<Bytes>>) -> Answer {
    try_call(address, request).await.expect("an answer")
}

/// Sends a request on a new connection.
pub(crate) async fn try_call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Answer, CallError> {
    let stream = TcpStream::connect(address).await.map_err(|_| CallError::NotConnected)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| CallError::NoAnswer)?;
    let mut tasks = JoinSet::new();
    tasks.spawn(connection);
    let response = time::timeout(WAIT_TIMEOUT, sender.send_request(request)).await;
    let response = response.expect("an answer in time").map_err(|_| CallError::NoAnswer)?;
    let (head, mut body) = response.into_parts();
    let mut received = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => received.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    let body = Bytes::from(received);
    Ok(Answer { status: head.status, headers: head.headers, body, is_complete })
}

/// Waits until a condition returns a value.
pub(crate) async fn wait_for<T>(mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "the condition was not met in time");
        time::sleep(Duration::from_millis(10)).await;
    }
}

fn find(lines: &Mutex<Vec<String>>, event: &str) -> Option<Value> {
    let wanted = format!("\"event\":\"{event}\"");
    let lines = lines.lock().expect("no reader panics");
    let line = lines.iter().find(|line| line.contains(&wanted))?;
    serde_json::from_str(line).ok()
}

/// Returns the address of a listener from the line that states all of them.
pub(crate) fn address(text: &str, name: &str) -> SocketAddr {
    let (_, rest) = text.split_once(&format!("{name}: ")).expect("an address");
    let end = rest.find([',', ' ', '}']).unwrap_or(rest.len());
    rest[..end].parse().expect("an address")
}
