//! A fake plain service, which answers lookups and executes calls.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::request::Parts;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::engine::Load;
use crate::journal::Entry;
use crate::journal::Outcome;
use crate::journal::Report;
use crate::reply;
use crate::reply::Abort;
use crate::reply::Answer;
use crate::reply::Reply;
use crate::server;
use crate::server::Call;
use crate::server::Connections;

/// How long connections are refused in an outage.
const OUTAGE_TIME: Duration = Duration::from_millis(500);
/// The header with the id of the attempt.
const ATTEMPT_HEADER: &str = "x-attempt-id";

/// The settings of the service.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// The time that one call takes.
    pub service_time: Duration,
    /// The maximum number of calls that run at the same time.
    pub slots: u32,
    /// The time between two updates of the load report.
    pub report_interval: Duration,
}

/// A crash before or after the execution of the next call; lookups are not executed.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Crash {
    before_run: bool,
    after_run: bool,
}

/// A fault of the next answer: a delay, or the id of a wrong attempt.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct AnswerFault {
    delay_ms: u64,
    wrong_attempt: bool,
}

#[derive(Debug, Deserialize)]
struct Switch {
    on: bool,
}

#[derive(Debug, Default)]
struct State {
    executions: u64,
    running: u32,
    waiting: u32,
    served: u64,
    crashes: u64,
    cancels: u64,
    crash: Crash,
    answer_fault: Option<AnswerFault>,
    last_attempt: Option<HeaderValue>,
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Snapshot {
    load: Load,
    at: Instant,
}

#[derive(Debug)]
struct Service {
    settings: Settings,
    connections: Arc<Connections>,
    slots: Semaphore,
    state: Mutex<State>,
    snapshot: Mutex<Snapshot>,
}

/// Serves the plain service until its listener fails.
///
/// # Errors
/// Returns the error of the operating system.
pub async fn run(settings: Settings, listener: TcpListener) -> io::Result<()> {
    let connections = Arc::new(Connections::default());
    let state = State::default();
    let load = state.load(settings.slots, 0);
    let service = Arc::new(Service {
        settings,
        connections: Arc::clone(&connections),
        slots: Semaphore::new(settings.slots as usize),
        state: Mutex::new(state),
        snapshot: Mutex::new(Snapshot { load, at: Instant::now() }),
    });
    let handler = Arc::clone(&service);
    let handle = move |call| {
        let service = Arc::clone(&handler);
        async move { service.answer(call).await }
    };
    tokio::select! {
        served = server::run(connections, listener, handle) => served,
        () = service.refresh() => Ok(()),
    }
}

impl State {
    const fn load(&self, slots: u32, sequence: u64) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting,
            warm: true,
            slots,
            tokens: self.served,
            age_ms: 0,
            sequence,
        }
    }
}

impl Service {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn snapshot(&self) -> MutexGuard<'_, Snapshot> {
        self.snapshot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn refresh(&self) {
        let mut interval = tokio::time::interval(self.settings.report_interval);
        loop {
            interval.tick().await;
            let sequence = self.snapshot().load.sequence + 1;
            let load = self.state().load(self.settings.slots, sequence);
            *self.snapshot() = Snapshot { load, at: Instant::now() };
        }
    }

    async fn answer(&self, call: Call) -> Reply {
        let (parts, body) = call.request.into_parts();
        let bytes = reply::read_body(body).await?;
        if let Some(name) = parts.uri.path().strip_prefix("/control/") {
            return Ok(self.control(name, &bytes));
        }
        if parts.uri.path() == "/load" {
            return Ok(reply::json(StatusCode::OK, &self.load()));
        }
        self.run(&parts, &bytes).await
    }

    fn load(&self) -> Load {
        let snapshot = self.snapshot();
        let age = snapshot.at.elapsed().as_millis();
        Load { age_ms: u64::try_from(age).unwrap_or(u64::MAX), ..snapshot.load }
    }

    async fn run(&self, parts: &Parts, bytes: &[u8]) -> Reply {
        let mut guard = self.admit(parts, bytes);
        let _permit = self.slots.acquire().await.map_err(|_| Abort)?;
        guard.start();
        if parts.method == Method::GET {
            tokio::time::sleep(self.settings.service_time).await;
            let lookup = json!({ "path": parts.uri.path() });
            let answer = self.finish(parts, reply::json(StatusCode::OK, &lookup)).await;
            guard.end(Outcome::Answered);
            return Ok(answer);
        }
        let crash = std::mem::take(&mut self.state().crash);
        if crash.before_run {
            return Err(guard.crash());
        }
        let execution = guard.execute();
        if crash.after_run {
            return Err(guard.crash());
        }
        tokio::time::sleep(self.settings.service_time).await;
        let echo = String::from_utf8_lossy(bytes);
        let result = json!({ "execution": execution, "echo": echo });
        let answer = self.finish(parts, reply::json(StatusCode::OK, &result)).await;
        guard.end(Outcome::Answered);
        Ok(answer)
    }

    /// Adds the id of the attempt to the answer and applies the fault that is set for the next answer.
    async fn finish(&self, parts: &Parts, mut answer: Answer) -> Answer {
        let fault = self.state().answer_fault.take().unwrap_or_default();
        if fault.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
        }
        let own = parts.headers.get(ATTEMPT_HEADER).cloned();
        let other = self.state().last_attempt.clone().filter(|other| Some(other) != own.as_ref());
        let wrong = other.unwrap_or_else(|| HeaderValue::from_static("other.1"));
        let echoed = if fault.wrong_attempt { Some(wrong) } else { own.clone() };
        if let Some(attempt) = echoed {
            answer.headers_mut().insert(ATTEMPT_HEADER, attempt);
        }
        if own.is_some() {
            self.state().last_attempt = own;
        }
        answer
    }

    fn admit(&self, parts: &Parts, bytes: &[u8]) -> CallGuard<'_> {
        let mut state = self.state();
        let in_flight = state.running + state.waiting + 1;
        let id = state.entries.len();
        state.entries.push(Entry::new(parts.uri.path(), &parts.headers, bytes, in_flight));
        state.waiting += 1;
        CallGuard { service: self, id, is_running: false }
    }

    fn control(&self, name: &str, bytes: &[u8]) -> Answer {
        let result = match name {
            "journal" => return reply::json(StatusCode::OK, &self.report()),
            "silent" => reply::parse::<Switch>(bytes).map(|switch| {
                if switch.on {
                    self.connections.stall();
                }
            }),
            "fall" => {
                self.state().crashes += 1;
                self.connections.start_outage(OUTAGE_TIME);
                Ok(())
            }
            "crash" => reply::parse::<Crash>(bytes).map(|crash| self.state().crash = crash),
            "late" => reply::parse::<AnswerFault>(bytes)
                .map(|fault| self.state().answer_fault = Some(fault)),
            _ => return reply::empty(StatusCode::NOT_FOUND),
        };
        match result {
            Ok(()) => reply::json(StatusCode::OK, &json!({})),
            Err(answer) => answer,
        }
    }

    fn report(&self) -> Report {
        let state = self.state();
        Report {
            requests: state.entries.clone(),
            orders: Vec::new(),
            peak_cold: 0,
            crashes: state.crashes,
            cancels: state.cancels,
            raw_connections: self.connections.raw_connections(),
            raw_bytes: self.connections.raw_bytes(),
        }
    }
}

/// The guard of an admitted call; dropping it ends the call.
#[derive(Debug)]
struct CallGuard<'a> {
    service: &'a Service,
    id: usize,
    is_running: bool,
}

impl CallGuard<'_> {
    fn start(&mut self) {
        let mut state = self.service.state();
        state.waiting -= 1;
        state.running += 1;
        drop(state);
        self.is_running = true;
    }

    /// Executes the call and returns the number of the execution.
    fn execute(&self) -> u64 {
        let mut state = self.service.state();
        state.executions += 1;
        let execution = state.executions;
        state.entries[self.id].execution = Some(execution);
        execution
    }

    /// Records that the service crashed at this call.
    fn crash(&self) -> Abort {
        self.end(Outcome::Crashed);
        self.service.state().crashes += 1;
        Abort
    }

    fn end(&self, outcome: Outcome) {
        self.service.state().entries[self.id].end(outcome);
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.service.state();
        if self.is_running {
            state.running -= 1;
            state.served += 1;
        } else {
            state.waiting -= 1;
        }
        if state.entries[self.id].end(Outcome::Cancelled) {
            state.cancels += 1;
        }
    }
}
