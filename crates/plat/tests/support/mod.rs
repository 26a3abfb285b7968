//! A fake log service that runs in the test process and can be given faults.

#![allow(dead_code, reason = "each test uses only a part of the module")]

use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// The faults of the service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Faults {
    /// All calls get 503.
    pub(crate) down: bool,
    /// All calls take this long.
    pub(crate) delay: Duration,
    /// Number of appends that take effect but whose connections close without an answer.
    pub(crate) lose_answers: u32,
    /// Number of appends that have no effect and whose connections close without an answer.
    pub(crate) lose_appends: u32,
    /// Number of appends whose connections close without an answer and that take effect when
    /// [`Server::apply_held_appends`] is called.
    pub(crate) hold_appends: u32,
    /// Offset from which on reads return no records.
    pub(crate) hide_from: Option<u64>,
    /// Maximum number of appends per second; the service answers 429 to more.
    pub(crate) appends_per_second: Option<u32>,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    records: Vec<(u64, u64, String)>,
    first: u64,
    next: u64,
    held: Vec<String>,
    appends: u64,
    throttled: u64,
    refusals: u64,
    connections: u64,
    stalled_before: u64,
    window: Option<(Instant, u32)>,
}

/// The fake service. Dropping it ends its tasks.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }
}

impl Server {
    /// Starts a service with one empty stream.
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State { first: 1, next: 1, ..State::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Notify::new() });
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, shared.clone()));
        Self { address, shared, _tasks: tasks }
    }

    /// Changes the faults.
    pub(crate) fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.state().faults);
        self.shared.changed.notify_waiters();
    }

    /// Leaves all requests on open connections unanswered; new connections work.
    pub(crate) fn stall_open_connections(&self) {
        let mut state = self.shared.state();
        state.stalled_before = state.connections;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Appends a record, as another client would.
    pub(crate) fn append(&self, body: &str) -> u64 {
        let offset = self.shared.state().append(body);
        self.shared.changed.notify_waiters();
        offset
    }

    /// Applies the held appends.
    pub(crate) fn apply_held_appends(&self) {
        let mut state = self.shared.state();
        let held = std::mem::take(&mut state.held);
        held.iter().for_each(|body| {
            state.append(body);
        });
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Removes all records before an offset, and skips the offsets before it that are not written yet.
    pub(crate) fn retain_from(&self, first: u64) {
        let mut state = self.shared.state();
        state.records.retain(|record| record.0 >= first);
        state.first = first;
        state.next = state.next.max(first);
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Removes all records and starts again at offset 1.
    pub(crate) fn restart_empty(&self) {
        let mut state = self.shared.state();
        state.records.clear();
        state.first = 1;
        state.next = 1;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns the bodies of the retained records.
    pub(crate) fn bodies(&self) -> Vec<String> {
        self.shared.state().records.iter().map(|record| record.2.clone()).collect()
    }

    /// Returns the number of appends that took effect.
    pub(crate) fn appends(&self) -> u64 {
        self.shared.state().appends
    }

    /// Returns the number of appends that were answered with 429.
    pub(crate) fn throttled(&self) -> u64 {
        self.shared.state().throttled
    }

    /// Returns the number of appends that were answered with 503.
    pub(crate) fn refusals(&self) -> u64 {
        self.shared.state().refusals
    }

    /// Returns the number of connections accepted so far.
    pub(crate) fn connections(&self) -> u64 {
        self.shared.state().connections
    }

    /// Returns the number of held appends.
    pub(crate) fn held(&self) -> usize {
        self.shared.state().held.len()
    }
}

impl State {
    fn append(&mut self, body: &str) -> u64 {
        let offset = self.next;
        self.records.push((offset, now_ms(), body.to_owned()));
        self.next += 1;
        self.appends += 1;
        offset
    }

    fn page(&self, from: u64, limit: usize) -> serde_json::Value {
        let end = self.faults.hide_from.unwrap_or(u64::MAX);
        let records: Vec<_> = self
            .records
            .iter()
            .filter(|record| record.0 >= from && record.0 < end)
            .take(limit)
            .map(|(offset, time_ms, body)| {
                serde_json::json!({"offset": offset, "time_ms": time_ms, "body": body})
            })
            .collect();
        serde_json::json!({"records": records, "next": self.next, "first": self.first})
    }

    fn is_throttled(&mut self) -> bool {
        let Some(limit) = self.faults.appends_per_second else { return false };
        let now = Instant::now();
        let (start, count) = match self.window {
            Some((start, count)) if now - start < Duration::from_secs(1) => (start, count),
            _ => (now, 0),
        };
        self.window = Some((start, count + 1));
        let throttled = count >= limit;
        self.throttled += u64::from(throttled);
        throttled
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let number = shared.state().connections;
        shared.state().connections += 1;
        connections.spawn(serve(stream, number, shared.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(stream: TcpStream, number: u64, shared: Arc<Shared>) {
    let service = service_fn(move |request| answer(request, number, shared.clone()));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if connection.await.is_err() {
        log::debug!("fake log: a connection failed");
    }
}

async fn answer(
    request: Request<Incoming>,
    number: u64,
    shared: Arc<Shared>,
) -> Result<Response<Full<Bytes>>, io::Error> {
    let append = request.method() == Method::POST;
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let body = request.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    let delay = shared.state().faults.delay;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let response = if append {
        handle_append(&shared, number, &String::from_utf8_lossy(&body)).await?
    } else if path.ends_with("/records") {
        read(&shared, number, &query).await
    } else {
        span(&shared, number).await
    };
    if is_stalled(&shared, number) {
        pending::<Infallible>().await;
    }
    Ok(response)
}

fn is_stalled(shared: &Shared, number: u64) -> bool {
    number < shared.state().stalled_before
}

async fn handle_append(
    shared: &Shared,
    number: u64,
    body: &str,
) -> Result<Response<Full<Bytes>>, io::Error> {
    if is_stalled(shared, number) {
        pending::<Infallible>().await;
    }
    let mut state = shared.state();
    if state.faults.down {
        state.refusals += 1;
        return Ok(respond(503, "{}"));
    }
    if state.is_throttled() {
        return Ok(respond(429, "{}"));
    }
    if state.faults.lose_appends > 0 {
        state.faults.lose_appends -= 1;
        return Err(io::Error::other("append lost"));
    }
    if state.faults.hold_appends > 0 {
        state.faults.hold_appends -= 1;
        state.held.push(body.to_owned());
        return Err(io::Error::other("append held"));
    }
    let offset = state.append(body);
    let lost = state.faults.lose_answers > 0;
    state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
    drop(state);
    shared.changed.notify_waiters();
    if lost {
        return Err(io::Error::other("answer lost"));
    }
    Ok(respond(200, &format!("{{\"offset\":{offset}}}")))
}

async fn read(shared: &Shared, number: u64, query: &str) -> Response<Full<Bytes>> {
    let from = parameter(query, "from").unwrap_or(1);
    let limit = usize::try_from(parameter(query, "limit").unwrap_or(100)).expect("a small limit");
    let wait = Duration::from_millis(parameter(query, "wait_ms").unwrap_or(0));
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let changed = shared.changed.notified();
        if is_stalled(shared, number) {
            pending::<Infallible>().await;
        }
        let page = {
            let state = shared.state();
            if state.faults.down {
                return respond(503, "{}");
            }
            if from < state.first {
                let span = serde_json::json!({"first": state.first, "next": state.next});
                return respond(410, &span.to_string());
            }
            state.page(from, limit)
        };
        let empty = page["records"].as_array().is_some_and(Vec::is_empty);
        if !empty || tokio::time::timeout_at(deadline, changed).await.is_err() {
            return respond(200, &page.to_string());
        }
    }
}

async fn span(shared: &Shared, number: u64) -> Response<Full<Bytes>> {
    if is_stalled(shared, number) {
        pending::<Infallible>().await;
    }
    let state = shared.state();
    if state.faults.down {
        return respond(503, "{}");
    }
    let span = serde_json::json!({"first": state.first, "next": state.next});
    respond(200, &span.to_string())
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    pair.parse().ok()
}

fn respond(status: u16, body: &str) -> Response<Full<Bytes>> {
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    Response::builder().status(status).body(body).expect("a valid response")
}

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
