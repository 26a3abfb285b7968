//! The directory of router addresses for callers.

use std::net::SocketAddr;

use rand::seq::SliceRandom;

use crate::Router;

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Minimum number of addresses in one answer, if that many routers are ready.
const MIN_ADDRESSES: usize = 3;

/// A router that accepts callers.
struct Candidate {
    address: SocketAddr,
    /// The processors of its instance, possibly a fraction of one.
    share: f64,
    /// The number of its requests in the last second.
    requests: f64,
    is_current: bool,
}

/// Returns the addresses of routers that accept callers, in random order.
///
/// A router that does not know which keys are valid refuses most requests, so it is listed only if this holds for all.
/// An overloaded router is not listed unless all are, since a caller keeps using an address as long as it is listed.
#[must_use]
pub fn addresses(router: &Router) -> Vec<SocketAddr> {
    let now = router.now();
    let members = router.members.borrow();
    let mut ready: Vec<Candidate> = members
        .ready(now)
        .map(|member| Candidate {
            address: member.identity.callers,
            share: f64::from(member.identity.share_milli) / 1_000.0,
            requests: f64::from(member.status.requests),
            is_current: member.status.is_current,
        })
        .collect();
    if router.is_ready() {
        ready.push(Candidate {
            address: router.settings.listen.callers,
            share: router.settings.share,
            requests: f64::from(router.recent_requests()),
            is_current: !router.is_revocation_unknown(),
        });
    }
    draw(ready)
}

/// Draws addresses at random, each with a probability proportional to the share of its instance.
fn draw(mut ready: Vec<Candidate>) -> Vec<SocketAddr> {
    if ready.iter().any(|candidate| candidate.is_current) {
        ready.retain(|candidate| candidate.is_current);
    }
    let mean =
        sum(&ready, |candidate| candidate.requests) / sum(&ready, |candidate| candidate.share);
    let is_overloaded =
        |candidate: &Candidate| balance::is_overloaded(candidate.requests, candidate.share, mean);
    if !ready.iter().all(is_overloaded) {
        ready.retain(|candidate| !is_overloaded(candidate));
    }
    let largest = ready.iter().map(|candidate| candidate.share).fold(0.0, f64::max);
    ready.shuffle(&mut rand::rng());
    let is_drawn = |candidate: &Candidate| rand::random::<f64>() * largest <= candidate.share;
    let (mut chosen, others): (Vec<Candidate>, Vec<Candidate>) =
        ready.into_iter().partition(is_drawn);
    chosen.extend(others.into_iter().take(MIN_ADDRESSES.saturating_sub(chosen.len())));
    chosen.truncate(MAX_ADDRESSES);
    chosen.into_iter().map(|candidate| candidate.address).collect()
}

fn sum(candidates: &[Candidate], value: impl Fn(&Candidate) -> f64) -> f64 {
    candidates.iter().map(value).sum()
}
