//! A pool of idle connections to runners.

use std::time::Duration;

use balance::Key;
use conn::Connection;
use indexmap::IndexMap;

/// Maximum number of idle connections per runner.
const MAX_IDLE: usize = 24;
/// How long an idle connection is kept if the runner states no time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the time stated by the runner for which an idle connection is kept.
const STATED_FRACTION: f64 = 0.6;
/// Maximum idle time of a connection that carries a request which must not run twice.
const MAX_UNSAFE_IDLE: Duration = Duration::from_millis(1_500);

/// An idle connection.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    limit: Duration,
}

/// The idle connections of each runner.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: IndexMap<Key, Vec<Idle>>,
    max_idle: usize,
}

impl Pool {
    /// Creates a pool of at most `max_idle` connections.
    pub(crate) fn new(max_idle: usize) -> Self {
        Self { idle: IndexMap::default(), max_idle }
    }

    /// Takes the most recently used connection to a runner.
    pub(crate) fn take(&mut self, runner: Key, is_idempotent: bool) -> Option<Connection> {
        let idle = self.idle.get_mut(&runner)?;
        idle.retain(|entry| entry.connection.idle() < entry.limit);
        let newest = idle.last()?;
        if !is_idempotent && newest.connection.idle() > MAX_UNSAFE_IDLE {
            return None;
        }
        idle.pop().map(|entry| entry.connection)
    }

    /// Stores a connection for a fraction of the time `stated` by the runner, or for the default time.
    pub(crate) fn put(&mut self, runner: Key, connection: Connection, stated: Option<Duration>) {
        let count: usize = self.idle.values().map(Vec::len).sum();
        let idle = self.idle.entry(runner).or_default();
        if connection.is_closed() || idle.len() >= MAX_IDLE || count >= self.max_idle {
            return;
        }
        let limit =
            stated.map_or(IDLE_TIMEOUT, |time| time.mul_f64(STATED_FRACTION).min(IDLE_TIMEOUT * 2));
        idle.push(Idle { connection, limit });
    }

    /// Closes the connections to a runner, since they may be unresponsive like the one that failed.
    pub(crate) fn discard(&mut self, runner: Key) {
        self.idle.swap_remove(&runner);
    }

    /// Closes all connections that were idle for too long.
    pub(crate) fn remove_expired(&mut self) {
        for idle in self.idle.values_mut() {
            idle.retain(|entry| entry.connection.idle() < entry.limit);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
