//! The task that appends entries to the log, several in one record (group commit).
//!
//! The interval between appends grows while the log refuses them because of their rate.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use plat::Error;
use tokio::task::JoinSet;

use crate::Entry;
use crate::entry;
use crate::queue::Pending;
use crate::state::Shared;

/// Maximum number of concurrent appends; more than one, so that an unresponsive connection does not delay all of them.
const MAX_CONCURRENT_APPENDS: usize = 4;
/// How long the first entry of a record waits for others.
const COMMIT_DELAY: Duration = Duration::from_millis(2);
/// Minimum interval between appends.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum interval between appends.
const MAX_APPEND_INTERVAL: Duration = Duration::from_millis(400);
/// Factor by which the interval changes after an append that was not refused.
const INTERVAL_DECREASE_FACTOR: f64 = 0.98;

/// The adaptive interval between appends.
struct AppendInterval {
    period: Duration,
    last: Instant,
}

impl AppendInterval {
    fn new() -> Self {
        Self { period: MIN_APPEND_INTERVAL, last: Instant::now() }
    }

    async fn wait(&mut self) {
        let due = (Instant::now() + COMMIT_DELAY).max(self.last + self.period);
        tokio::time::sleep_until(due.into()).await;
        self.last = Instant::now();
    }

    fn adapt(&mut self, result: Result<u64, Error>) {
        let period = match result {
            Err(Error::Unavailable { .. }) => self.period * 2,
            _ => self.period.mul_f64(INTERVAL_DECREASE_FACTOR),
        };
        self.period = period.clamp(MIN_APPEND_INTERVAL, MAX_APPEND_INTERVAL);
    }
}

/// Appends queued entries until the task is cancelled.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut interval = AppendInterval::new();
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            () = until_due(&shared), if tasks.len() < MAX_CONCURRENT_APPENDS => {
                interval.wait().await;
                let batch = take(&shared);
                if !batch.is_empty() {
                    tasks.spawn(append(shared.clone(), batch));
                }
            }
            Some(Ok(result)) = tasks.join_next(), if !tasks.is_empty() => interval.adapt(result),
        }
    }
}

async fn until_due(shared: &Shared) {
    loop {
        let now = Instant::now();
        let due = shared.state().queue.due(now);
        if due.is_some_and(|due| due <= now) {
            return;
        }
        tokio::select! {
            () = shared.queued.notified() => (),
            () = sleep_until(due) => (),
        }
    }
}

async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => pending().await,
    }
}

fn take(shared: &Shared) -> Vec<Pending> {
    let mut state = shared.state();
    let batch = state.queue.take(Instant::now());
    state.in_flight += batch.len();
    batch
}

async fn append(shared: Arc<Shared>, batch: Vec<Pending>) -> Result<u64, Error> {
    let entries: Vec<Entry> = batch.iter().map(|pending| pending.entry.clone()).collect();
    let body = entry::encode(&entries);
    let result = shared.log.append(&shared.settings.stream, &body).await;
    {
        let mut state = shared.state();
        state.in_flight -= batch.len();
        state.handle_append_result(batch, result);
    }
    shared.queued.notify_one();
    shared.append_finished.notify_waiters();
    result
}
