//! The platform: a log service and a list of instances.

mod instances;
mod log;

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use http::Uri;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::reply;
use crate::reply::Abort;
use crate::reply::Reply;
use crate::server;
use crate::server::Call;
use crate::server::Connections;

pub use instances::Instance;
pub use instances::List;
pub use log::Record;

/// Largest body of one record.
const RECORD_LIMIT: usize = 1 << 20;
/// Most records in one answer.
const READ_LIMIT: usize = 10_000;

/// How the platform behaves.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How long records are kept.
    pub retention: Duration,
    /// Appends taken in one second.
    pub appends_per_second: u32,
    /// How long a change of the list of instances stays unseen.
    pub list_lag: Duration,
}

/// Faults that a test sets; absent fields stay as they are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// All calls of the log fail.
    pub log_down: Option<bool>,
    /// Delay of each call of the log.
    pub log_delay_ms: Option<u64>,
    /// Delay of each answer to a read that holds records.
    pub read_delay_ms: Option<u64>,
    /// How many appends take effect without an answer.
    pub lose_answers: Option<u32>,
    /// All reads of the list of instances fail.
    pub instances_down: Option<bool>,
}

impl Faults {
    fn merge(&mut self, other: Self) {
        self.log_down = other.log_down.or(self.log_down);
        self.log_delay_ms = other.log_delay_ms.or(self.log_delay_ms);
        self.read_delay_ms = other.read_delay_ms.or(self.read_delay_ms);
        self.lose_answers = other.lose_answers.or(self.lose_answers);
        self.instances_down = other.instances_down.or(self.instances_down);
    }
}

#[derive(Debug)]
struct State {
    log: log::Log,
    instances: instances::Registry,
    faults: Faults,
    counters: Counters,
}

#[derive(Debug, Default, Clone, Copy, Serialize)]
struct Counters {
    appends: u64,
    reads: u64,
    bytes: u64,
}

#[derive(Debug)]
struct Platform {
    state: Mutex<State>,
    changed: Notify,
}

/// Serves the platform until the listener breaks.
///
/// # Errors
/// Returns the error of the operating system.
pub async fn run(settings: Settings, listener: TcpListener) -> io::Result<()> {
    let state = State {
        log: log::Log::new(settings.retention, settings.appends_per_second),
        instances: instances::Registry::new(settings.list_lag),
        faults: Faults::default(),
        counters: Counters::default(),
    };
    let platform = Arc::new(Platform { state: Mutex::new(state), changed: Notify::new() });
    let handle = move |call| {
        let platform = Arc::clone(&platform);
        async move { platform.answer(call).await }
    };
    server::run(Arc::new(Connections::default()), listener, handle).await
}

impl Platform {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, call: Call) -> Reply {
        let (parts, body) = call.request.into_parts();
        let segments: Vec<&str> = parts.uri.path().trim_matches('/').split('/').collect();
        match (&parts.method, segments.as_slice()) {
            (&Method::POST, ["streams", stream, "records"]) => {
                let body = reply::read_body(body).await?;
                self.append(stream, &body).await
            }
            (&Method::GET, ["streams", stream, "records"]) => self.read(stream, &parts.uri).await,
            (&Method::GET, ["streams", stream]) => self.bounds(stream).await,
            (&Method::GET, ["views", viewer, "instances"]) => Ok(self.list(Some(viewer))),
            (&Method::GET, ["instances"]) => Ok(self.list(None)),
            (&Method::PUT, ["control", rest @ ..]) => {
                let body = reply::read_body(body).await?;
                Ok(self.control(rest, &body))
            }
            (&Method::GET, ["control", "counters"]) => {
                Ok(reply::json(StatusCode::OK, &self.state().counters))
            }
            _ => Ok(reply::empty(StatusCode::NOT_FOUND)),
        }
    }

    /// Waits for the delay of the log and returns whether it is up.
    async fn log_is_up(&self) -> bool {
        let delay = self.state().faults.log_delay_ms.unwrap_or_default();
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        !self.log_is_down()
    }

    fn log_is_down(&self) -> bool {
        self.state().faults.log_down.unwrap_or_default()
    }

    async fn append(&self, stream: &str, body: &[u8]) -> Reply {
        if !self.log_is_up().await {
            return Ok(reply::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        if body.len() > RECORD_LIMIT {
            return Ok(reply::empty(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let Ok(text) = str::from_utf8(body) else {
            return Ok(reply::empty(StatusCode::BAD_REQUEST));
        };
        let mut state = self.state();
        let Some(offset) = state.log.append(stream, text, Instant::now()) else {
            return Ok(reply::empty(StatusCode::TOO_MANY_REQUESTS));
        };
        state.counters.appends += 1;
        state.counters.bytes += body.len() as u64;
        let lost = state.faults.lose_answers.unwrap_or_default();
        state.faults.lose_answers = Some(lost.saturating_sub(1));
        drop(state);
        self.changed.notify_waiters();
        if lost > 0 {
            return Err(Abort);
        }
        Ok(reply::json(StatusCode::OK, &json!({ "offset": offset })))
    }

    async fn read(&self, stream: &str, uri: &Uri) -> Reply {
        let from = reply::query(uri, "from").unwrap_or(1u64).max(1);
        let limit = reply::query(uri, "limit").unwrap_or(READ_LIMIT).min(READ_LIMIT);
        let wait = Duration::from_millis(reply::query(uri, "wait_ms").unwrap_or_default());
        if !self.log_is_up().await {
            return Ok(reply::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        self.state().counters.reads += 1;
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.log_is_down() {
                return Ok(reply::empty(StatusCode::SERVICE_UNAVAILABLE));
            }
            let page = self.state().log.read(stream, from, limit, Instant::now());
            if page.is_gone() {
                return Ok(reply::json(StatusCode::GONE, &page.bounds()));
            }
            if !page.is_empty() {
                return Ok(self.late(&page).await);
            }
            if Instant::now() >= deadline {
                return Ok(reply::json(StatusCode::OK, &page));
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    /// Answers with records after the delay of reads.
    async fn late(&self, page: &log::Page) -> reply::Answer {
        let delay = self.state().faults.read_delay_ms.unwrap_or_default();
        tokio::time::sleep(Duration::from_millis(delay)).await;
        if self.log_is_down() {
            return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        reply::json(StatusCode::OK, page)
    }

    async fn bounds(&self, stream: &str) -> Reply {
        if !self.log_is_up().await {
            return Ok(reply::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let page = self.state().log.read(stream, u64::MAX, 0, Instant::now());
        Ok(reply::json(StatusCode::OK, &page.bounds()))
    }

    fn list(&self, viewer: Option<&str>) -> reply::Answer {
        let mut state = self.state();
        if state.faults.instances_down.unwrap_or_default() {
            return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        reply::json(StatusCode::OK, &state.instances.list(viewer, Instant::now()))
    }

    fn control(&self, path: &[&str], body: &[u8]) -> reply::Answer {
        let done = match path {
            ["instances"] => reply::parse::<List>(body)
                .map(|list| self.state().instances.set(None, list, Instant::now())),
            ["views", viewer, "instances"] => reply::parse::<List>(body)
                .map(|list| self.state().instances.set(Some(viewer), list, Instant::now())),
            ["faults"] => {
                reply::parse::<Faults>(body).map(|faults| self.state().faults.merge(faults))
            }
            _ => return reply::empty(StatusCode::NOT_FOUND),
        };
        self.changed.notify_waiters();
        match done {
            Ok(()) => reply::json(StatusCode::OK, &json!({})),
            Err(answer) => answer,
        }
    }
}
