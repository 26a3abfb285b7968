//! The task that appends entries, several in one record.
//!
//! Appends follow each other at a pace that slows down while the log refuses them for coming too fast.

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

/// Appends that may be under way at once, so that a silent connection does not hold up all.
const FLIGHTS: usize = 4;
/// How long a first entry waits for others.
const COMMIT_DELAY: Duration = Duration::from_millis(2);
/// The shortest time from one append to the next.
const SHORTEST_PACE: Duration = Duration::from_millis(25);
/// The longest time from one append to the next.
const LONGEST_PACE: Duration = Duration::from_millis(400);

/// The factor of that time after an append that was not refused.
const SPEED_UP: f64 = 0.98;

/// The time from one append to the next.
struct Pace {
    period: Duration,
    last: Instant,
}

impl Pace {
    fn new() -> Self {
        Self { period: SHORTEST_PACE, last: Instant::now() }
    }

    async fn wait(&mut self) {
        let due = (Instant::now() + COMMIT_DELAY).max(self.last + self.period);
        tokio::time::sleep_until(due.into()).await;
        self.last = Instant::now();
    }

    fn adapt(&mut self, result: Result<u64, Error>) {
        let period = match result {
            Err(Error::Unavailable { .. }) => self.period * 2,
            _ => self.period.mul_f64(SPEED_UP),
        };
        self.period = period.clamp(SHORTEST_PACE, LONGEST_PACE);
    }
}

/// Appends queued entries for ever.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut pace = Pace::new();
    let mut flights = JoinSet::new();
    loop {
        tokio::select! {
            () = until_due(&shared), if flights.len() < FLIGHTS => {
                pace.wait().await;
                let batch = take(&shared);
                if !batch.is_empty() {
                    flights.spawn(append(shared.clone(), batch));
                }
            }
            Some(Ok(result)) = flights.join_next(), if !flights.is_empty() => pace.adapt(result),
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
        state.settle(batch, result);
    }
    shared.queued.notify_one();
    shared.settled.notify_waiters();
    result
}
