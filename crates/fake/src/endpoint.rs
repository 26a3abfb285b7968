//! A fake runner that follows the published behaviour of the users' platform and can be set to misbehave.

mod answer;
mod raw;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time;

/// The number of events in a complete stream.
pub const STREAM_EVENTS: u32 = 8;
/// The time for which a runner that has crashed closes all connections.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// The time from a rejection that is written again to the answer.
const REPEATED_BEFORE: Duration = Duration::from_millis(60);

/// The pause of a runner that is slow but sound.
pub const PAUSE: Duration = Duration::from_millis(1_700);
/// The delay of the answers of a runner that is slow as a whole.
pub const SLOW_ANSWER: Duration = Duration::from_millis(300);
/// The time between two events of a slow stream.
pub const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(250);
/// The start of a runner that its record states, in milliseconds since the Unix epoch.
pub const FIRST_START_MS: u64 = 1_700_000_000_000;

/// How a runner misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FaultMode {
    /// Answers each request completely.
    #[default]
    Normal,
    /// Refuses each request with status 503 and the header `not-executed`.
    Busy,
    /// Executes each request and closes the connection without an answer.
    Disconnected,
    /// Ends each stream in the middle of the event with this number.
    TruncatedAt(u32),
    /// Answers with the id of another request.
    WrongRequestId,
    /// Answers without the header `response-seal`.
    MissingSeal,
    /// Executes each request and never answers.
    Unresponsive,
    /// Answers each request with status 500.
    InternalError,
    /// Executes each request and sends the head of its answer without an end.
    EndlessHead,
    /// Executes each request and sends the body of its answer without an end.
    EndlessBody,
    /// Refuses each request and sends a byte of the body now and then, without an end.
    EndlessRejection,
    /// Sends a second copy of each answer on its connection, when the next request has arrived.
    LateCopies,
    /// Sends a rejection of an unnamed earlier request on a kept connection, when the next request has arrived.
    LateRejections,
    /// Rejects the first request on each connection, and writes that rejection again when a later one has arrived, some
    /// time before its answer.
    RepeatedRejections,
    /// Sends streams that end with their connection, complete.
    Unframed,
    /// Sends streams that end with their connection, in the middle of the event with this number; without any data if
    /// it is 0.
    UnframedTruncatedAt(u32),
    /// Sends a stream without a length, and the head and text of an error in place of the event with this number.
    ErrorAt(u32),
    /// Answers each request with a plain text in place of a stream.
    PlainText,
    /// Sends bytes that are no response.
    Garbage,
    /// Sends a byte now and then, without an end, in place of the event with this number.
    StalledAt(u32),
    /// Pauses for [`PAUSE`] before the event with this number, then goes on to the end.
    PausedAt(u32),
    /// Executes each request and writes these bytes as its answer.
    Written(Written),
    /// Answers each request completely, [`SLOW_ANSWER`] later.
    SlowAnswer,
    /// Sends complete streams with [`SLOW_EVENT_INTERVAL`] between two events.
    SlowStream,
}

/// The bytes that a runner writes as an answer, whether they are one or not; `{id}` stands for the id of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Written {
    /// What is written once.
    pub begin: &'static str,
    /// What is written again and again afterwards, until the caller closes; nothing if it is empty.
    pub repeated: &'static str,
    /// What ends the connection, if nothing is repeated.
    pub end: End,
}

/// What a runner does with the connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It closes the connection.
    Close,
    /// It resets the connection a moment later.
    Reset,
    /// It resets the connection at once.
    ResetAtOnce,
    /// It keeps the connection open, without a further byte.
    Hold,
}

/// A request that the runner has received.
#[derive(Debug, Clone)]
pub struct RecordedRequest {
    /// The time of its arrival.
    pub at: Instant,
    /// Method, path and query.
    pub line: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the runner executed it.
    pub is_executed: bool,
}

#[derive(Debug, Default)]
struct State {
    fault_mode: FaultMode,
    added_headers: Vec<(&'static str, &'static str)>,
    /// The size of the bodies of plain answers, in bytes.
    answer_bytes: Option<usize>,
    requests: Vec<RecordedRequest>,
    /// The prompt part that crashes the runner.
    crashing_part: Option<&'static str>,
    /// The version that the record states, if it is not the first one.
    version: Option<&'static str>,
    partial_fault: Option<PartialFault>,
    crashes: u32,
}

/// A fault of some of the requests.
#[derive(Debug, Clone, Copy)]
struct PartialFault {
    fault_mode: FaultMode,
    path: &'static str,
    /// One in this many requests of the path has the fault.
    every: u32,
    /// The number of requests of the path so far.
    requests: u32,
}

/// A running fake runner, which stops when it is dropped.
#[derive(Debug)]
pub struct Endpoint {
    id: String,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    _tasks: JoinSet<()>,
}

/// What the tasks of a runner share.
#[derive(Debug, Clone)]
struct Shared {
    id: String,
    state: Arc<Mutex<State>>,
    crashed: Arc<Notify>,
}

impl Endpoint {
    /// Starts a runner with an id on a free port.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub async fn start(id: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let mut tasks = JoinSet::new();
        let crashed = Arc::new(Notify::new());
        let shared = Shared { id: id.to_owned(), state: Arc::clone(&state), crashed };
        tasks.spawn(accept(shared, listener));
        Ok(Self { id: id.to_owned(), address, state, _tasks: tasks })
    }

    /// Returns the id of the runner.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the address that the runner listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault mode of later requests.
    pub fn set_fault_mode(&self, fault_mode: FaultMode) {
        lock(&self.state).fault_mode = fault_mode;
    }

    /// Sets the fault mode of one in `every` later requests whose path begins with `path`.
    pub fn set_partial_fault(&self, fault_mode: FaultMode, path: &'static str, every: u32) {
        let fault = PartialFault { fault_mode, path, every, requests: 0 };
        lock(&self.state).partial_fault = Some(fault);
    }

    /// Sets the version that later records state.
    pub fn set_version(&self, version: &'static str) {
        lock(&self.state).version = Some(version);
    }

    /// Sets the prompt part that crashes the runner when it begins to write an answer on it.
    ///
    /// A crash breaks all connections, and new ones are closed for a while.
    pub fn set_crashing_part(&self, part: &'static str) {
        lock(&self.state).crashing_part = Some(part);
    }

    /// Returns the number of crashes so far.
    #[must_use]
    pub fn crash_count(&self) -> u32 {
        lock(&self.state).crashes
    }

    /// Sets headers that all later answers have, whatever their status.
    pub fn set_added_headers(&self, headers: &[(&'static str, &'static str)]) {
        lock(&self.state).added_headers = headers.to_vec();
    }

    /// Sets the size of the bodies of later plain answers to requests whose path contains `/large/`, in bytes.
    pub fn set_answer_bytes(&self, bytes: usize) {
        lock(&self.state).answer_bytes = Some(bytes);
    }

    /// Returns all requests received so far, oldest first.
    #[must_use]
    pub fn requests(&self) -> Vec<RecordedRequest> {
        lock(&self.state).requests.clone()
    }

    /// Returns the number of requests executed so far.
    #[must_use]
    pub fn execution_count(&self) -> usize {
        lock(&self.state).requests.iter().filter(|request| request.is_executed).count()
    }

    /// Returns the record that the runner publishes in the store, as JSON.
    #[must_use]
    pub fn record(&self, service: &str, state: &str, sequence: u64) -> Vec<u8> {
        self.record_of_start(service, state, sequence, FIRST_START_MS)
    }

    /// Returns the record of a runner that started at a time, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn record_of_start(
        &self,
        service: &str,
        state: &str,
        sequence: u64,
        started_ms: u64,
    ) -> Vec<u8> {
        let version = lock(&self.state).version.unwrap_or("v1");
        let record = serde_json::json!({
            "service": service, "address": self.address.to_string(), "zone": "north",
            "version": version, "slots": 16, "state": state, "cold_left_ms": 0,
            "seq": sequence, "born": started_ms,
        });
        record.to_string().into_bytes()
    }
}

impl State {
    /// Returns the fault mode of the next request of a path.
    fn next_fault_mode(&mut self, path: &str) -> FaultMode {
        let fault = self.partial_fault.as_mut().filter(|fault| path.starts_with(fault.path));
        let Some(fault) = fault else { return self.fault_mode };
        fault.requests += 1;
        if fault.requests % fault.every == 0 { fault.fault_mode } else { self.fault_mode }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(shared: Shared, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve(shared.clone(), stream));
            }
            Some(_) = connections.join_next() => (),
            () = shared.crashed.notified() => {
                connections.shutdown().await;
                drop(time::timeout(DOWN_TIME, close_all(&listener)).await);
            }
        }
    }
}

/// Closes each connection that is opened.
async fn close_all(listener: &TcpListener) {
    loop {
        drop(listener.accept().await);
    }
}

async fn serve(shared: Shared, mut stream: TcpStream) {
    let fault_mode = lock(&shared.state).fault_mode;
    if raw::is_needed(fault_mode) {
        drop(serve_raw(&shared, &mut stream, fault_mode).await);
        return;
    }
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { answer::answer_with_added_headers(&shared, request).await }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    drop(connection.await);
}

/// Answers one request without an HTTP library and closes the connection.
async fn serve_raw(
    shared: &Shared,
    stream: &mut TcpStream,
    fault_mode: FaultMode,
) -> io::Result<()> {
    match fault_mode {
        FaultMode::LateCopies | FaultMode::LateRejections => {
            return serve_with_late_answers(shared, stream, fault_mode).await;
        }
        FaultMode::RepeatedRejections => {
            return serve_with_repeated_rejections(shared, stream).await;
        }
        _ => (),
    }
    let head = raw::read_head(stream).await?;
    let is_executed = fault_mode != FaultMode::EndlessRejection;
    record_raw(shared, &head, is_executed);
    raw::answer(stream, &head, fault_mode).await?;
    match fault_mode {
        FaultMode::Written(written) => raw::end(stream, written.end).await,
        _ => stream.shutdown().await,
    }
}

/// Answers requests, each after a late answer to the one before.
async fn serve_with_late_answers(
    shared: &Shared,
    stream: &mut TcpStream,
    fault_mode: FaultMode,
) -> io::Result<()> {
    let mut before = String::new();
    loop {
        let head = raw::read_head(stream).await?;
        record_raw(shared, &head, true);
        let answer = raw::plain_answer(&head);
        stream.write_all(format!("{before}{answer}").as_bytes()).await?;
        before = match fault_mode {
            FaultMode::LateRejections => raw::UNNAMED_REJECTION.to_owned(),
            _ => answer,
        };
    }
}

/// Rejects the first request, and writes the rejection again before each later answer.
async fn serve_with_repeated_rejections(shared: &Shared, stream: &mut TcpStream) -> io::Result<()> {
    let head = raw::read_head(stream).await?;
    record_raw(shared, &head, false);
    let rejection = raw::rejection(&head);
    stream.write_all(rejection.as_bytes()).await?;
    loop {
        let head = raw::read_head(stream).await?;
        stream.write_all(rejection.as_bytes()).await?;
        record_raw(shared, &head, true);
        time::sleep(REPEATED_BEFORE).await;
        stream.write_all(raw::plain_answer(&head).as_bytes()).await?;
    }
}

fn record_raw(shared: &Shared, head: &raw::Head, is_executed: bool) {
    let (line, headers) = (head.line.clone(), HeaderMap::new());
    let (at, body) = (Instant::now(), Bytes::new());
    let request = RecordedRequest { at, line, headers, body, is_executed };
    lock(&shared.state).requests.push(request);
}

/// Returns the text of the event with this number.
#[must_use]
pub fn event_text(number: u32) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}
