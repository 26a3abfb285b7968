//! Answers to callers that ask which routers to connect to.

use std::net::SocketAddr;

use base::Name;
use http::StatusCode;
use serde::Serialize;

use crate::Context;
use crate::LiveRouter;
use crate::Problem;
use crate::Snapshot;

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 4;

/// The address of one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Address {
    address: SocketAddr,
    zone: Name,
}

/// The addresses, with routers of different zones first, and how long they are valid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Answer {
    addresses: Vec<Address>,
    ttl_ms: u64,
}

/// Chooses the addresses for a caller.
///
/// The list of routers is rotated by `rotation`, so that successive callers are spread over the routers.
///
/// # Errors
/// Returns a problem when no router accepts new callers.
pub(crate) fn answer(context: &Context, rotation: u64) -> Result<Answer, Problem> {
    let snapshot = context.snapshot.borrow().clone();
    let addresses = choose(&snapshot, rotation);
    if addresses.is_empty() {
        return Err(Problem::rejected(
            StatusCode::SERVICE_UNAVAILABLE,
            "no router takes new callers",
        )
        .retry_after(std::time::Duration::from_secs(1)));
    }
    Ok(Answer { addresses, ttl_ms: context.settings.limits.drain_ms })
}

fn choose(snapshot: &Snapshot, rotation: u64) -> Vec<Address> {
    let mut usable: Vec<&LiveRouter> =
        snapshot.routers.iter().filter(|router| router.accepts_callers).collect();
    usable.sort_by(|a, b| a.name.cmp(&b.name));
    if usable.is_empty() {
        return Vec::new();
    }
    let start = usize::try_from(rotation % usable.len() as u64).unwrap_or_default();
    usable.rotate_left(start);
    let mut chosen: Vec<&LiveRouter> = Vec::new();
    for router in &usable {
        if chosen.iter().all(|other| other.zone != router.zone) {
            chosen.push(router);
        }
    }
    for router in &usable {
        if !chosen.contains(router) {
            chosen.push(router);
        }
    }
    chosen.truncate(MAX_ADDRESSES);
    chosen
        .into_iter()
        .map(|router| Address { address: router.callers, zone: router.zone.clone() })
        .collect()
}
