//! The addresses that callers may use.

use std::net::SocketAddr;

use rand::seq::SliceRandom;

use crate::Router;

/// Most addresses in one answer.
const ADDRESSES: usize = 64;

/// Returns the addresses of routers that take callers, in random order.
///
/// A router that does not know which keys hold refuses most requests, so it is named only if all are like that.
#[must_use]
pub fn addresses(router: &Router) -> Vec<SocketAddr> {
    let now = router.now();
    let members = router.members.borrow();
    let mut ready: Vec<(SocketAddr, bool)> =
        members.ready(now).map(|member| (member.identity.callers, member.is_current)).collect();
    if router.is_ready() {
        ready.push((router.settings.listen.callers, !router.is_revocation_unknown()));
    }
    let has_current = ready.iter().any(|(_, is_current)| *is_current);
    let usable = ready.into_iter().filter(|(_, is_current)| *is_current || !has_current);
    let mut addresses: Vec<SocketAddr> = usable.map(|(address, _)| address).collect();
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(ADDRESSES);
    addresses
}
