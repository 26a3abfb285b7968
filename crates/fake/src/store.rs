//! A fake of the platform's store that follows its published calls: append to, read and list keyed topics.

use std::convert::Infallible;
use std::fmt::Write as _;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time;

/// The interval at which a waiting read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum size of a page of records, in bytes, unless its first record is larger.
pub const PAGE_BYTES: usize = 1_024 << 10;
/// Maximum number of items of a page of newest records.
pub const PAGE_ITEMS: usize = 500;

/// How long a slow store takes to begin with an answer.
pub const SLOW_DELAY: Duration = Duration::from_millis(300);

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FaultMode {
    /// Answers each call.
    #[default]
    Normal,
    /// Refuses each call with status 503.
    Unavailable,
    /// Never answers.
    Unresponsive,
    /// Answers each call after [`SLOW_DELAY`].
    Slow,
    /// Becomes [`FaultMode::Withholding`] once a page ends before the end of its topic.
    OnePage,
    /// Never answers reads of records that exist.
    Withholding,
}

/// Marks an answer whose page ends before the end of its topic.
#[derive(Debug, Clone, Copy)]
struct CutShort;

/// One topic, with a single partition.
#[derive(Debug, Clone, Default)]
struct Topic {
    first: u64,
    records: Vec<Bytes>,
}

#[derive(Debug, Default)]
struct State {
    fault_mode: FaultMode,
    /// The number of times that the store was restored from a copy.
    era: u32,
    topics: IndexMap<String, Topic>,
    /// How much later the next append is done, which gets no answer.
    late_by: Option<Duration>,
    late_appends: JoinSet<()>,
}

/// A copy of a store's topics, from which it can be restored.
#[derive(Debug, Clone)]
pub struct Backup {
    topics: IndexMap<String, Topic>,
}

/// A running fake store, which stops when it is dropped.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    _tasks: JoinSet<()>,
}

/// Another address of a store, which closes when it is dropped.
#[derive(Debug)]
pub struct Entrance {
    address: SocketAddr,
    fault_mode: Arc<Mutex<FaultMode>>,
    _tasks: JoinSet<()>,
}

impl Entrance {
    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault mode of later calls to this address.
    pub fn set_fault_mode(&self, fault_mode: FaultMode) {
        *self.fault_mode.lock().unwrap_or_else(PoisonError::into_inner) = fault_mode;
    }
}

impl Store {
    /// Starts a store on a free port.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, Arc::clone(&state), None));
        Ok(Self { address, state, _tasks: tasks })
    }

    /// Returns the address that the store listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault mode of later calls.
    pub fn set_fault_mode(&self, fault_mode: FaultMode) {
        lock(&self.state).fault_mode = fault_mode;
    }

    /// Opens another address of the store, with a fault mode of its own, for routers that the store treats differently.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub async fn open_entrance(&self) -> io::Result<Entrance> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fault_mode = Arc::new(Mutex::new(FaultMode::Normal));
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, Arc::clone(&self.state), Some(Arc::clone(&fault_mode))));
        Ok(Entrance { address, fault_mode, _tasks: tasks })
    }

    /// Appends a record that sets the value of a key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).expect("the key is shorter than 256 bytes")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        lock(&self.state).append(topic, Bytes::from(record));
    }

    /// Appends a record that removes a key.
    pub fn remove(&self, topic: &str, key: &str) {
        self.put(topic, key, &[]);
    }

    /// Leaves the next append of a caller without an answer, and does it this much later.
    pub fn delay_next_append(&self, late_by: Duration) {
        lock(&self.state).late_by = Some(late_by);
    }

    /// Returns whether all delayed appends are done.
    #[must_use]
    pub fn has_done_late_appends(&self) -> bool {
        let mut state = lock(&self.state);
        while state.late_appends.try_join_next().is_some() {}
        state.late_by.is_none() && state.late_appends.is_empty()
    }

    /// Compacts a topic: only the newest record of each key remains readable.
    pub fn compact(&self, topic: &str) {
        let mut state = lock(&self.state);
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.first = topic.records.len() as u64;
    }

    /// Returns a copy of all topics.
    #[must_use]
    pub fn back_up(&self) -> Backup {
        Backup { topics: lock(&self.state).topics.clone() }
    }

    /// Replaces all topics by a copy, which begins a new era; what was written since is gone.
    pub fn restore(&self, backup: &Backup) {
        let mut state = lock(&self.state);
        state.topics = backup.topics.clone();
        state.era += 1;
    }

    /// Returns the number of keys with a prefix that have a value.
    #[must_use]
    pub fn count_keys(&self, topic: &str, prefix: &str) -> usize {
        let state = lock(&self.state);
        let newest = state.topics.get(topic).map(Topic::newest).unwrap_or_default();
        newest.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// Returns the newest value of a key.
    #[must_use]
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = lock(&self.state);
        let (_, value) = state.topics.get(topic)?.newest().swap_remove(key)?;
        Some(value.to_vec())
    }
}

impl State {
    fn append(&mut self, topic: &str, record: Bytes) -> u64 {
        let topic = self.topics.entry(topic.to_owned()).or_default();
        topic.records.push(record);
        topic.records.len() as u64
    }
}

impl Topic {
    /// Returns the newest value of each key that has one, with its offset.
    fn newest(&self) -> IndexMap<String, (u64, Bytes)> {
        let mut newest = IndexMap::new();
        for (offset, record) in self.records.iter().enumerate() {
            let (key, value) = split_record(record);
            if value.is_empty() {
                newest.shift_remove(&key);
            } else {
                newest.insert(key, (offset as u64, value));
            }
        }
        newest
    }
}

fn split_record(record: &Bytes) -> (String, Bytes) {
    let length = record.first().map_or(0, |length| usize::from(*length));
    let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
    (key, record.slice(1 + length..))
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Accepts connections; `fault_mode` replaces that of the store.
async fn accept(
    listener: TcpListener,
    state: Arc<Mutex<State>>,
    fault_mode: Option<Arc<Mutex<FaultMode>>>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let (state, fault_mode) = (Arc::clone(&state), fault_mode.clone());
                let service = service_fn(move |request| {
                    let (state, fault_mode) = (Arc::clone(&state), fault_mode.clone());
                    async move {
                        let mode = exchange_mode(&state, fault_mode.as_deref(), None);
                        let response = answer(&state, mode, request).await;
                        if mode == FaultMode::OnePage
                            && response.extensions().get::<CutShort>().is_some()
                        {
                            let next = Some(FaultMode::Withholding);
                            exchange_mode(&state, fault_mode.as_deref(), next);
                        }
                        Ok::<_, Infallible>(response)
                    }
                });
                connections.spawn(async move {
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    drop(connection.await);
                });
            }
            Some(_) = connections.join_next() => (),
        }
    }
}

/// Returns the fault mode of an address, and sets that of later calls if there is a `next` one.
fn exchange_mode(
    state: &Mutex<State>,
    own: Option<&Mutex<FaultMode>>,
    next: Option<FaultMode>,
) -> FaultMode {
    let exchange = |mode: &mut FaultMode| std::mem::replace(mode, next.unwrap_or(*mode));
    match own {
        Some(own) => exchange(&mut own.lock().unwrap_or_else(PoisonError::into_inner)),
        None => exchange(&mut lock(state).fault_mode),
    }
}

/// Answers a call; each answer states the era in which it was made.
async fn answer(
    state: &Arc<Mutex<State>>,
    fault_mode: FaultMode,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let mut response = answer_call(state, fault_mode, request).await;
    let era = HeaderValue::from(lock(state).era);
    response.headers_mut().insert("store-era", era);
    response
}

async fn answer_call(
    state: &Arc<Mutex<State>>,
    fault_mode: FaultMode,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match fault_mode {
        FaultMode::Normal | FaultMode::OnePage | FaultMode::Withholding => (),
        FaultMode::Unavailable => return status(StatusCode::SERVICE_UNAVAILABLE),
        FaultMode::Unresponsive => return pending().await,
        FaultMode::Slow => time::sleep(SLOW_DELAY).await,
    }
    let query = Query::parse(request.uri().query().unwrap_or_default());
    match request.uri().path() {
        "/log-append" => match request.into_body().collect().await {
            Ok(body) => {
                let body = body.to_bytes();
                if is_late(state, &query, &body) {
                    return pending().await;
                }
                append(state, &query, &body)
            }
            Err(_) => status(StatusCode::BAD_REQUEST),
        },
        "/log-read" => match read(state, &query).await {
            (_, has_records) if has_records && fault_mode == FaultMode::Withholding => {
                pending().await
            }
            (page, _) => page,
        },
        "/log-newest" => newest(state, &query),
        _ => status(StatusCode::NOT_FOUND),
    }
}

/// Returns whether an append is to be done later, and has it done then.
fn is_late(state: &Arc<Mutex<State>>, query: &Query, body: &Bytes) -> bool {
    let Some(late_by) = lock(state).late_by.take() else { return false };
    let (owned, query, body) = (Arc::clone(state), query.clone(), body.clone());
    lock(state).late_appends.spawn(async move {
        time::sleep(late_by).await;
        append(&owned, &query, &body);
    });
    true
}

fn append(state: &Mutex<State>, query: &Query, body: &Bytes) -> Response<Full<Bytes>> {
    let mut state = lock(state);
    let present = state.topics.get(&query.topic).map_or(0, |topic| topic.records.len() as u64);
    if query.at.is_some_and(|at| at != present) {
        let mut response = json_body(&json!({ "end": present }));
        *response.status_mut() = StatusCode::PRECONDITION_FAILED;
        return response;
    }
    let mut remaining = body.clone();
    let mut end = 0;
    let mut count = 0;
    while remaining.len() >= 4 {
        let length =
            u32::from_be_bytes([remaining[0], remaining[1], remaining[2], remaining[3]]) as usize;
        if remaining.len() < 4 + length {
            return status(StatusCode::BAD_REQUEST);
        }
        end = state.append(&query.topic, remaining.slice(4..4 + length));
        remaining = remaining.slice(4 + length..);
        count += 1;
    }
    json_body(&json!({ "offset": end - count, "end": end }))
}

/// Reads records and returns the answer with whether it has any.
async fn read(state: &Mutex<State>, query: &Query) -> (Response<Full<Bytes>>, bool) {
    let until = time::Instant::now() + query.wait;
    loop {
        if let Some(answer) = try_read(state, query) {
            let has_records = answer.status() == StatusCode::OK;
            return (answer, has_records);
        }
        if time::Instant::now() >= until {
            return (page_body(state, query, &[]), false);
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

fn try_read(state: &Mutex<State>, query: &Query) -> Option<Response<Full<Bytes>>> {
    let records = {
        let state = lock(state);
        let topic = state.topics.get(&query.topic)?;
        let end = topic.records.len() as u64;
        if query.from < topic.first || query.from > end {
            return Some(status(StatusCode::GONE));
        }
        topic.records.get(usize::try_from(query.from).ok()?..)?.to_vec()
    };
    (!records.is_empty()).then(|| page_body(state, query, &records))
}

fn page_body(state: &Mutex<State>, query: &Query, records: &[Bytes]) -> Response<Full<Bytes>> {
    let state = lock(state);
    let topic = state.topics.get(&query.topic);
    let (end, first) = topic.map_or((0, 0), |topic| (topic.records.len() as u64, topic.first));
    let mut body = Vec::new();
    body.extend_from_slice(&end.to_be_bytes());
    body.extend_from_slice(&first.to_be_bytes());
    for (number, record) in records.iter().enumerate() {
        if number > 0 && body.len() + 4 + record.len() > PAGE_BYTES {
            let mut response = Response::new(Full::new(Bytes::from(body)));
            response.extensions_mut().insert(CutShort);
            return response;
        }
        let length = u32::try_from(record.len()).expect("the record is shorter than 4 GiB");
        body.extend_from_slice(&length.to_be_bytes());
        body.extend_from_slice(record);
    }
    Response::new(Full::new(Bytes::from(body)))
}

fn newest(state: &Mutex<State>, query: &Query) -> Response<Full<Bytes>> {
    let state = lock(state);
    let topic = state.topics.get(&query.topic);
    let mut newest = topic.map(Topic::newest).unwrap_or_default();
    newest.sort_unstable_keys();
    newest.retain(|key, _| *key > query.after);
    let has_more = newest.len() > PAGE_ITEMS;
    let items = newest.iter().take(PAGE_ITEMS).map(|(key, (offset, value))| {
        json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
    });
    let items: Vec<serde_json::Value> = items.collect();
    let end = topic.map_or(0, |topic| topic.records.len());
    json_body(&json!({ "items": items, "has_more": has_more, "end": end }))
}

fn json_body(value: &serde_json::Value) -> Response<Full<Bytes>> {
    let mut text = String::new();
    write!(text, "{value}").expect("writing to a string never fails");
    Response::new(Full::new(Bytes::from(text)))
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// The query parameters of the calls.
#[derive(Debug, Clone, Default)]
struct Query {
    topic: String,
    from: u64,
    /// The key after which a page of newest records begins.
    after: String,
    wait: Duration,
    /// The offset at which the topic must end for an append.
    at: Option<u64>,
}

impl Query {
    fn parse(text: &str) -> Self {
        let mut query = Self::default();
        for (name, value) in text.split('&').filter_map(|part| part.split_once('=')) {
            match name {
                "topic" => value.clone_into(&mut query.topic),
                "after" => value.clone_into(&mut query.after),
                "at" => query.at = value.parse().ok(),
                "from" => query.from = value.parse().unwrap_or_default(),
                "wait_ms" => query.wait = Duration::from_millis(value.parse().unwrap_or_default()),
                _ => (),
            }
        }
        query
    }
}
