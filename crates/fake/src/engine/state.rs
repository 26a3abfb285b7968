//! The state of the engine: its requests, whether it is warm, and its journal.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::HeaderMap;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::AcquireError;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::engine;
use crate::engine::Settings;
use crate::journal;
use crate::journal::Entry;
use crate::journal::Outcome;
use crate::journal::Report;
use crate::server::Connections;

/// The path of completion requests.
const PATH: &str = "/v1/completions";

/// A load report, which may be stale.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait for a slot.
    pub waiting: u32,
    /// Whether the engine is warm.
    pub warm: bool,
    /// The maximum number of running requests.
    pub slots: u32,
    /// The number of tokens generated since the start.
    pub tokens: u64,
    /// The age of the report in milliseconds.
    pub age_ms: u64,
    /// The sequence number of the report, which increases with each update.
    pub sequence: u64,
}

/// The reason why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The engine is set to refuse the resumption of streams.
    NoResume,
    /// The request makes the engine crash.
    Crash,
}

#[derive(Debug)]
struct Snapshot {
    load: Load,
    at: Instant,
}

#[derive(Debug)]
struct Active {
    attempt: Option<String>,
    cancel: CancellationToken,
}

#[derive(Debug)]
struct State {
    is_cold: bool,
    completed: u32,
    running: u32,
    waiting: u32,
    tokens: u64,
    crashes: u64,
    cancels: u64,
    peak_cold: u32,
    highest_fence: u64,
    refuses_resume: bool,
    entries: Vec<Entry>,
    orders: Vec<journal::Order>,
    active: IndexMap<usize, Active>,
    snapshot: Snapshot,
}

/// A fake model engine.
#[derive(Debug)]
pub(super) struct Engine {
    settings: Settings,
    connections: Arc<Connections>,
    slots: Arc<Semaphore>,
    state: Mutex<State>,
}

impl Engine {
    pub(super) fn new(settings: Settings, connections: Arc<Connections>) -> Self {
        let load = Load {
            running: 0,
            waiting: 0,
            warm: !settings.is_cold,
            slots: settings.slots,
            tokens: 0,
            age_ms: 0,
            sequence: 0,
        };
        let state = State {
            is_cold: settings.is_cold,
            completed: 0,
            running: 0,
            waiting: 0,
            tokens: 0,
            crashes: 0,
            cancels: 0,
            peak_cold: 0,
            highest_fence: 0,
            refuses_resume: false,
            entries: Vec::new(),
            orders: Vec::new(),
            active: IndexMap::new(),
            snapshot: Snapshot { load, at: Instant::now() },
        };
        let slots = Arc::new(Semaphore::new(settings.slots as usize));
        Self { settings, connections, slots, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) const fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(super) fn running(&self) -> u32 {
        self.state().running
    }

    pub(super) fn is_cold(&self) -> bool {
        self.state().is_cold
    }

    /// Admits a request to the queue; a cold engine with too many requests crashes.
    pub(super) fn admit(
        self: &Arc<Self>,
        headers: &HeaderMap,
        body: &[u8],
        resumes: bool,
    ) -> Result<RequestGuard, Refusal> {
        let mut state = self.state();
        let in_flight = state.running + state.waiting + 1;
        let mut entry = Entry::new(PATH, headers, body, in_flight);
        if resumes && state.refuses_resume {
            entry.end(Outcome::Refused);
            state.entries.push(entry);
            return Err(Refusal::NoResume);
        }
        if state.is_cold {
            state.peak_cold = state.peak_cold.max(in_flight);
        }
        if state.is_cold && in_flight > self.settings.cold_slots {
            entry.end(Outcome::Crashed);
            state.entries.push(entry);
            drop(state);
            self.crash();
            return Err(Refusal::Crash);
        }
        let id = state.entries.len();
        let cancel = CancellationToken::new();
        let active = Active { attempt: entry.attempt.clone(), cancel: cancel.clone() };
        state.active.insert(id, active);
        state.entries.push(entry);
        state.waiting += 1;
        Ok(RequestGuard { engine: Arc::clone(self), id, cancel, is_running: false })
    }

    /// Ends all requests, resets all connections and refuses new ones for a time; the engine is cold afterwards.
    pub(super) fn crash(&self) {
        let mut state = self.state();
        state.crashes += 1;
        state.is_cold = true;
        state.completed = 0;
        let active = std::mem::take(&mut state.active);
        for (id, request) in active {
            state.entries[id].end(Outcome::Crashed);
            request.cancel.cancel();
        }
        drop(state);
        self.connections.start_outage(self.settings.crash_downtime);
    }

    /// Cancels the request of an attempt and returns whether there was one.
    pub(super) fn cancel(&self, attempt: &str) -> bool {
        let state = self.state();
        let is_wanted = |active: &&Active| active.attempt.as_deref() == Some(attempt);
        let found = state.active.values().find(is_wanted);
        found.inspect(|active| active.cancel.cancel()).is_some()
    }

    /// Makes the engine cold; requests that already run continue at the slower rate.
    pub(super) fn set_cold(&self) {
        let mut state = self.state();
        state.is_cold = true;
        state.completed = 0;
    }

    /// Makes the engine warm immediately.
    pub(super) fn set_warm(&self) {
        self.state().is_cold = false;
    }

    pub(super) fn stall(&self, is_on: bool) {
        if is_on {
            self.connections.stall();
        }
    }

    pub(super) fn refuse_resume(&self, is_on: bool) {
        self.state().refuses_resume = is_on;
    }

    /// Applies an order, or returns the highest fencing token received if the order is refused.
    pub(super) fn apply_order(&self, order: engine::Order) -> Result<(), u64> {
        let mut state = self.state();
        let is_applied = !self.settings.checks_fencing || order.fence >= state.highest_fence;
        state.highest_fence = state.highest_fence.max(order.fence);
        let engine::Order { order, name, fence } = order;
        state.orders.push(journal::Order { order, name, fence, is_applied });
        if is_applied { Ok(()) } else { Err(state.highest_fence) }
    }

    /// Updates the snapshot from which load reports are answered.
    pub(super) fn refresh(&self) {
        let mut state = self.state();
        let load = Load {
            running: state.running,
            waiting: state.waiting,
            warm: !state.is_cold,
            slots: self.settings.slots,
            tokens: state.tokens,
            age_ms: 0,
            sequence: state.snapshot.load.sequence + 1,
        };
        state.snapshot = Snapshot { load, at: Instant::now() };
    }

    pub(super) fn load(&self) -> Load {
        let state = self.state();
        let age = state.snapshot.at.elapsed().as_millis();
        Load { age_ms: u64::try_from(age).unwrap_or(u64::MAX), ..state.snapshot.load }
    }

    pub(super) fn report(&self) -> Report {
        let state = self.state();
        Report {
            requests: state.entries.clone(),
            orders: state.orders.clone(),
            peak_cold: state.peak_cold,
            crashes: state.crashes,
            cancels: state.cancels,
            raw_connections: self.connections.raw_connections(),
            raw_bytes: self.connections.raw_bytes(),
        }
    }
}

/// The guard of an admitted request; dropping it ends the request.
#[derive(Debug)]
pub(super) struct RequestGuard {
    engine: Arc<Engine>,
    id: usize,
    cancel: CancellationToken,
    is_running: bool,
}

impl RequestGuard {
    pub(super) fn engine(&self) -> &Engine {
        &self.engine
    }

    pub(super) const fn cancel(&self) -> &CancellationToken {
        &self.cancel
    }

    /// Waits for a slot; slots are assigned first come, first served.
    pub(super) async fn slot(&self) -> Result<OwnedSemaphorePermit, AcquireError> {
        Arc::clone(&self.engine.slots).acquire_owned().await
    }

    /// Records that the request runs.
    pub(super) fn start(&mut self) {
        let mut state = self.engine.state();
        state.waiting -= 1;
        state.running += 1;
        drop(state);
        self.is_running = true;
    }

    pub(super) fn count_token(&self) {
        let mut state = self.engine.state();
        state.tokens += 1;
        state.entries[self.id].tokens += 1;
    }

    /// Records that the request is answered, which may make the engine warm.
    pub(super) fn finish(&self) {
        let mut state = self.engine.state();
        if !state.entries[self.id].end(Outcome::Answered) {
            return;
        }
        state.completed += 1;
        if state.completed >= self.engine.settings.warm_after {
            state.is_cold = false;
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        state.active.swap_remove(&self.id);
        if self.is_running {
            state.running -= 1;
        } else {
            state.waiting -= 1;
        }
        if state.entries[self.id].end(Outcome::Cancelled) {
            state.cancels += 1;
        }
    }
}
