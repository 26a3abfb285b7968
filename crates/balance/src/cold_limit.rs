//! The limit on the rate of requests to a cold runner.
//!
//! Load pattern: the runners of a zone return to service together while every router has requests waiting for them. The
//! limit holds over all routers, whether they are connected or not, so each router has a fixed share of it and
//! no share is transferred.

use crate::rendezvous;

/// The fraction of the limit that is divided; the rest covers requests in transit and routers that are not known yet.
const USABLE_FRACTION: f64 = 0.7;

/// The limit of a cold runner over all routers, in requests per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit(f64);

impl ColdLimit {
    /// Creates a limit from the rate that a cold runner can handle, times a factor, plus a constant.
    #[must_use]
    pub fn new(rate: f64, factor: f64, constant: f64) -> Self {
        Self(rate * factor + constant)
    }

    /// Returns the share of a router in requests per second; the remainder goes to the routers that rank first.
    #[must_use]
    pub fn share<'a>(
        self,
        runner: u64,
        router: &str,
        others: impl Iterator<Item = &'a str> + Clone,
    ) -> u64 {
        let total = (self.0 * USABLE_FRACTION) as u64;
        let routers = others.clone().count() as u64 + 1;
        let rank = rendezvous::rank(runner, router, others) as u64;
        total / routers + u64::from(rank < total % routers)
    }
}
