//! Loads of many calls whose order is determined by a seed.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::Call;
use crate::Caller;
use crate::Mix;
use crate::Record;

/// The maximum number of concurrent calls of an open stream; at this number it waits for one to end.
const MAX_CONCURRENT_CALLS: usize = 4096;
/// The minimum and maximum delay before a closed-loop caller calls again after a failed call.
const RETRY_DELAY_RANGE: [Duration; 2] = [Duration::from_millis(20), Duration::from_secs(2)];
/// The default maximum number of calls of each stream.
const DEFAULT_CALL_LIMIT: u64 = 100_000;

/// The arrival process of calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Arrival {
    /// Open loop: calls start at random times, independent of earlier calls.
    Open {
        /// The mean number of calls a second.
        per_second: f64,
    },
    /// Closed loop: each caller starts a call when its last one has ended.
    Closed {
        /// The number of concurrent callers.
        callers: u32,
    },
}

/// A stream of calls of one workspace.
#[derive(Debug, Clone)]
pub struct Stream {
    workspace: String,
    caller: Caller,
    arrival: Arrival,
    mix: Arc<Mix>,
}

impl Stream {
    /// Creates a stream of calls of a workspace.
    #[must_use]
    pub fn new(workspace: &str, caller: Caller, arrival: Arrival, mix: Mix) -> Self {
        Self { workspace: workspace.to_owned(), caller, arrival, mix: Arc::new(mix) }
    }
}

/// A set of streams of calls, bounded in time and number.
#[derive(Debug, Clone)]
pub struct Load {
    seed: u64,
    duration: Duration,
    limit: u64,
    streams: Vec<Stream>,
}

/// The state that all calls of one stream share.
#[derive(Debug, Clone)]
struct StreamRun {
    stream: Stream,
    begin: Instant,
    duration: Duration,
    limit: u64,
    calls_created: Arc<AtomicU64>,
}

impl Load {
    /// Creates a load whose calls start within a duration.
    #[must_use]
    pub const fn new(seed: u64, duration: Duration) -> Self {
        Self { seed, duration, limit: DEFAULT_CALL_LIMIT, streams: Vec::new() }
    }

    /// Sets the maximum number of calls of each stream.
    #[must_use]
    pub const fn max_calls(mut self, calls: u64) -> Self {
        self.limit = calls;
        self
    }

    /// Adds a stream of calls.
    #[must_use]
    pub fn stream(mut self, stream: Stream) -> Self {
        self.streams.push(stream);
        self
    }

    /// Sends all calls, waits for all answers and returns the records, sorted by start time.
    pub async fn run(self) -> Vec<Record> {
        let begin = Instant::now();
        let mut tasks = JoinSet::new();
        for (index, stream) in (0u64..).zip(self.streams) {
            let seed = self.seed.wrapping_add(index << 32);
            let (duration, limit) = (self.duration, self.limit);
            let calls_created = Arc::new(AtomicU64::new(0));
            let arrival = stream.arrival;
            let run = StreamRun { stream, begin, duration, limit, calls_created };
            match arrival {
                Arrival::Open { per_second } => drop(tasks.spawn(run_open(run, seed, per_second))),
                Arrival::Closed { callers } => {
                    for caller in 0..u64::from(callers) {
                        tasks.spawn(run_closed(run.clone(), seed.wrapping_add(caller)));
                    }
                }
            }
        }
        let mut records = tasks.join_all().await.concat();
        records.sort_by_key(|record| record.started);
        records
    }
}

impl StreamRun {
    /// Creates the next call, or returns `None` if the maximum number of calls is reached.
    fn next_call(&self, random: &mut StdRng) -> Option<Call> {
        let number = self.calls_created.fetch_add(1, Ordering::Relaxed);
        if number < self.limit { self.stream.mix.create_call(random, number) } else { None }
    }

    async fn call(&self, call: &Call) -> Record {
        let started = self.begin.elapsed();
        let answer = self.stream.caller.call(call).await;
        Record::new(&self.stream.workspace, started, call, &answer)
    }
}

async fn run_open(run: StreamRun, seed: u64, per_second: f64) -> Vec<Record> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut records = Vec::new();
    let mut tasks = JoinSet::new();
    let mut at = Duration::ZERO;
    loop {
        at += next_arrival_delay(&mut random, per_second);
        if at >= run.duration {
            break;
        }
        let Some(call) = run.next_call(&mut random) else { break };
        tokio::time::sleep_until(run.begin + at).await;
        while let Some(record) = tasks.try_join_next() {
            records.extend(record);
        }
        if tasks.len() >= MAX_CONCURRENT_CALLS {
            records.extend(tasks.join_next().await.and_then(Result::ok));
        }
        let run = run.clone();
        tasks.spawn(async move { run.call(&call).await });
    }
    records.extend(tasks.join_all().await);
    records
}

/// Returns an exponentially distributed delay, as between the calls of independent callers (a Poisson process).
fn next_arrival_delay(random: &mut StdRng, per_second: f64) -> Duration {
    let uniform: f64 = random.random();
    let seconds = -(1.0 - uniform).ln() / per_second.max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::from_secs(u64::from(u32::MAX)))
}

async fn run_closed(run: StreamRun, seed: u64) -> Vec<Record> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut records = Vec::new();
    while run.begin.elapsed() < run.duration {
        let Some(call) = run.next_call(&mut random) else { break };
        let record = run.call(&call).await;
        let delay = record
            .retry_after
            .unwrap_or_default()
            .clamp(RETRY_DELAY_RANGE[0], RETRY_DELAY_RANGE[1]);
        let is_success = record.is_success;
        records.push(record);
        if !is_success {
            tokio::time::sleep(delay).await;
        }
    }
    records
}
