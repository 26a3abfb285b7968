//! A ledger that tasks share.

use std::fmt;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::time;

use crate::Class;
use crate::Key;
use crate::Ledger;
use crate::Limits;

/// Interval between two attempts to take memory, since holdings stall without an event.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The reason why a holding gets no memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refused {
    /// No memory became free in time.
    NoMemory,
    /// The holding was told to give way.
    Evicted,
    /// More memory than the budget has was asked for.
    TooLarge,
}

impl std::error::Error for Refused {}

/// The figures of a budget at one moment, and its counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Figures {
    /// The bytes of all holdings.
    pub held: usize,
    /// The bytes that all holdings may have.
    pub total: usize,
    /// The largest number of bytes that was held.
    pub peak: usize,
    /// The number of holdings that were told to give way.
    pub evicted: u64,
    /// The number of waits for memory that ended without it.
    pub refused: u64,
    /// The number of idle connections that were closed to make room for others.
    pub closed: u64,
}

/// A ledger and its counts.
#[derive(Debug)]
struct State {
    ledger: Ledger,
    peak: usize,
    evicted: u64,
    refused: u64,
    closed: u64,
}

/// What the handles of a budget share.
#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    started: Instant,
    /// Told when memory is released.
    released: Notify,
    /// Told when a holding must give way.
    evicted: Notify,
}

/// A handle of a budget.
#[derive(Debug, Clone)]
pub struct Budget {
    shared: Arc<Shared>,
}

/// The memory of one request, answer or connection, released when dropped.
pub struct Reservation {
    budget: Budget,
    key: Key,
}

impl Budget {
    /// Creates a budget.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let state =
            State { ledger: Ledger::new(limits), peak: 0, evicted: 0, refused: 0, closed: 0 };
        let shared = Shared {
            state: Mutex::new(state),
            started: Instant::now(),
            released: Notify::new(),
            evicted: Notify::new(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns a reservation without memory.
    #[must_use]
    pub fn reservation(&self, owner: u64, class: Class) -> Reservation {
        let key = self.state().ledger.open(self.now(), owner, class);
        Reservation { budget: self.clone(), key }
    }

    /// Returns the figures of this moment.
    #[must_use]
    pub fn figures(&self) -> Figures {
        let state = self.state();
        Figures {
            held: state.ledger.held(),
            total: state.ledger.limits().total,
            peak: state.peak,
            evicted: state.evicted,
            refused: state.refused,
            closed: state.closed,
        }
    }

    /// Tells the holding that has made the least progress to give way, if one is stalled.
    pub fn evict_stalled(&self) {
        let now = self.now();
        let mut state = self.state();
        let is_found = state.ledger.evict_stalled(now).is_some();
        state.evicted += u64::from(is_found);
        drop(state);
        if is_found {
            self.shared.evicted.notify_waiters();
        }
    }

    /// Counts an idle connection that was closed to make room for another.
    pub fn record_closed(&self) {
        self.state().closed += 1;
    }

    /// Waits until a condition holds, which is evaluated now and each time a holding is told to give way.
    pub async fn evicted_where(&self, condition: impl Fn() -> bool) {
        loop {
            let mut evicted = pin!(self.shared.evicted.notified());
            evicted.as_mut().enable();
            if condition() {
                return;
            }
            evicted.await;
        }
    }

    fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reservation {
    /// Takes more memory, if there is any at once.
    #[must_use]
    pub fn try_grow(&self, bytes: usize) -> bool {
        let mut state = self.budget.state();
        let is_taken = state.ledger.grow(self.key, bytes);
        state.peak = state.peak.max(state.ledger.held());
        is_taken
    }

    /// Takes more memory; waits up to `timeout` until there is some, for which others may have to give way.
    ///
    /// # Errors
    /// Returns the reason why there is no memory.
    pub async fn grow(&self, bytes: usize, timeout: Duration) -> Result<(), Refused> {
        if self.try_grow(bytes) {
            return Ok(());
        }
        let result = self.wait_to_grow(bytes, timeout).await;
        let now = self.budget.now();
        let mut state = self.budget.state();
        state.ledger.end_wait(now, self.key);
        state.refused += u64::from(result.is_err());
        result
    }

    async fn wait_to_grow(&self, bytes: usize, timeout: Duration) -> Result<(), Refused> {
        if !self.budget.state().ledger.can_grow(self.key, bytes) {
            return Err(Refused::TooLarge);
        }
        let began = Instant::now();
        loop {
            let mut released = pin!(self.budget.shared.released.notified());
            let mut evicted = pin!(self.budget.shared.evicted.notified());
            released.as_mut().enable();
            evicted.as_mut().enable();
            if self.is_evicted() {
                return Err(Refused::Evicted);
            }
            if self.try_grow(bytes) {
                return Ok(());
            }
            if began.elapsed() >= timeout {
                return Err(Refused::NoMemory);
            }
            self.evict_other();
            tokio::select! {
                () = released => (),
                () = evicted => (),
                () = time::sleep(RETRY_INTERVAL) => (),
            }
        }
    }

    /// Tells another holding to give way to this one, if one must.
    fn evict_other(&self) {
        let now = self.budget.now();
        let mut state = self.budget.state();
        state.ledger.begin_wait(now, self.key);
        let victim = state.ledger.evict_for(now, self.key);
        state.evicted += u64::from(victim.is_some());
        drop(state);
        if victim.is_some() {
            self.budget.shared.evicted.notify_waiters();
        }
    }

    /// Gives memory back.
    pub fn shrink(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.budget.state().ledger.shrink(self.key, bytes);
        self.budget.shared.released.notify_waiters();
    }

    /// Returns the memory of the holding.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.budget.state().ledger.bytes(self.key)
    }

    /// Changes what the holding is for.
    pub fn set_class(&self, class: Class) {
        let now = self.budget.now();
        self.budget.state().ledger.set_class(now, self.key, class);
    }

    /// Records bytes that have arrived or were written.
    pub fn record_progress(&self, bytes: usize) {
        let now = self.budget.now();
        self.budget.state().ledger.record_progress(now, self.key, bytes);
    }

    /// Returns whether the holding was told to give way.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.budget.state().ledger.is_evicted(self.key)
    }

    /// Waits until the holding is told to give way.
    pub async fn evicted(&self) {
        self.budget.evicted_where(|| self.is_evicted()).await;
    }

    /// Runs a future, unless the holding is told to give way first.
    ///
    /// # Errors
    /// Returns [`Refused::Evicted`] if the holding gives way.
    pub async fn unless_evicted<T>(&self, future: impl Future<Output = T>) -> Result<T, Refused> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.evicted() => Err(Refused::Evicted),
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.state().ledger.close(self.key);
        self.budget.shared.released.notify_waiters();
    }
}

impl fmt::Debug for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reservation").field("key", &self.key).finish_non_exhaustive()
    }
}
