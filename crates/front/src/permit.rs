//! Permits to use a granted runner, each released exactly once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Attempt;
use base::Cost;
use base::Name;
use wire::Done;
use wire::Outcome;
use wire::Shard;

use crate::Context;
use crate::Order;

/// The right of one attempt to use a granted runner, released when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    context: Arc<Context>,
    shard: Shard,
    attempt: Attempt,
    runner: Name,
    address: SocketAddr,
    used: Arc<AtomicU64>,
    first_token: Option<Duration>,
    outcome: Outcome,
}

impl Permit {
    /// Creates the permit of a granted slot; dropped without [`Permit::release`], it counts as cancelled.
    pub(crate) fn new(
        context: Arc<Context>,
        shard: Shard,
        attempt: Attempt,
        runner: Name,
        address: SocketAddr,
        used: Arc<AtomicU64>,
    ) -> Self {
        Self {
            context,
            shard,
            attempt,
            runner,
            address,
            used,
            first_token: None,
            outcome: Outcome::Cancelled,
        }
    }

    /// Returns the attempt.
    pub(crate) const fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the runner.
    pub(crate) const fn runner(&self) -> &Name {
        &self.runner
    }

    /// Returns the address of the runner.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records the work used so far.
    pub(crate) fn record_usage(&self, used: Cost) {
        self.used.store(used.0, Ordering::Relaxed);
    }

    /// Records the time to the first token.
    pub(crate) fn record_first_token(&mut self, after: Duration) {
        self.first_token.get_or_insert(after);
    }

    /// Releases the slot with this outcome.
    pub(crate) fn release(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.context.send_order(Order::Done(Done {
            shard: self.shard.clone(),
            request: self.attempt.request,
            attempt: self.attempt.number,
            used: Cost(self.used.load(Ordering::Relaxed)),
            outcome: self.outcome,
            first_token_ms: self
                .first_token
                .map(|after| u32::try_from(after.as_millis()).unwrap_or(u32::MAX)),
        }));
    }
}
