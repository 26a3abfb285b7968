//! A fake of the platform: a log service and a list of instances.

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

/// The maximum length of one record in bytes.
const MAX_RECORD_BYTES: usize = 1 << 20;
/// The maximum number of records in one answer.
const MAX_READ_RECORDS: usize = 10_000;

/// The settings of the platform.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How long records are kept.
    pub retention: Duration,
    /// The maximum number of appends in one second.
    pub appends_per_second: u32,
    /// The delay until a change of the list of instances becomes visible.
    pub list_lag: Duration,
}

/// The faults that a test sets; absent fields keep their value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether all calls of the log fail with status 503.
    pub log_down: Option<bool>,
    /// The delay of each call of the log, in milliseconds.
    pub log_delay_ms: Option<u64>,
    /// The delay of each answer that contains records, in milliseconds.
    pub read_delay_ms: Option<u64>,
    /// The number of next appends that take effect but whose connection is closed without an answer.
    pub lose_answers: Option<u32>,
    /// Whether all reads of the list of instances fail with status 503.
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

/// Serves the platform until its listener fails.
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

    /// Waits for the delay of log calls and returns whether the log is available.
    async fn delay_log_call(&self) -> bool {
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
        if !self.delay_log_call().await {
            return Ok(reply::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        if body.len() > MAX_RECORD_BYTES {
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
        let lost_answers = state.faults.lose_answers.unwrap_or_default();
        state.faults.lose_answers = Some(lost_answers.saturating_sub(1));
        drop(state);
        self.changed.notify_waiters();
        if lost_answers > 0 {
            return Err(Abort);
        }
        Ok(reply::json(StatusCode::OK, &json!({ "offset": offset })))
    }

    async fn read(&self, stream: &str, uri: &Uri) -> Reply {
        let from = reply::query(uri, "from").unwrap_or(1u64).max(1);
        let limit = reply::query(uri, "limit").unwrap_or(MAX_READ_RECORDS).min(MAX_READ_RECORDS);
        let wait = Duration::from_millis(reply::query(uri, "wait_ms").unwrap_or_default());
        if !self.delay_log_call().await {
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
                return Ok(self.answer_records(&page).await);
            }
            if Instant::now() >= deadline {
                return Ok(reply::json(StatusCode::OK, &page));
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    /// Answers with a page of records after the delay of reads.
    async fn answer_records(&self, page: &log::Page) -> reply::Answer {
        let delay = self.state().faults.read_delay_ms.unwrap_or_default();
        tokio::time::sleep(Duration::from_millis(delay)).await;
        if self.log_is_down() {
            return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        reply::json(StatusCode::OK, page)
    }

    async fn bounds(&self, stream: &str) -> Reply {
        if !self.delay_log_call().await {
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
        let result = match path {
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
        match result {
            Ok(()) => reply::json(StatusCode::OK, &json!({})),
            Err(answer) => answer,
        }
    }
}
