//! How many requests a router may send to a cold runner in a second.
//!
//! Load pattern: a zone's runners come back together, and every router has requests waiting for them. The limit holds
//! over all routers, in touch or not, so each router has a fixed part of it and no part moves.

use crate::rendezvous;

/// The part of the limit that is given out, for requests on their way and routers that are not known yet.
const MARGIN: f64 = 0.7;

/// The limit of a cold runner over all routers, in requests a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit(f64);

impl ColdLimit {
    /// Creates the limit from the rate that a runner bears, a tolerated factor and a tolerated constant.
    #[must_use]
    pub fn new(rate: f64, factor: f64, constant: f64) -> Self {
        Self(rate * factor + constant)
    }

    /// Returns the part of a router in requests a second; the remainder goes to the routers that rank first.
    #[must_use]
    pub fn share<'a>(
        self,
        runner: u64,
        router: &str,
        others: impl Iterator<Item = &'a str> + Clone,
    ) -> u64 {
        let total = (self.0 * MARGIN) as u64;
        let routers = others.clone().count() as u64 + 1;
        let rank = rendezvous::rank(runner, router, others) as u64;
        total / routers + u64::from(rank < total % routers)
    }
}
