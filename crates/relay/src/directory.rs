//! The addresses that callers may use.

use std::net::SocketAddr;

use rand::seq::SliceRandom;

use crate::Router;

/// Most addresses in one answer.
const ADDRESSES: usize = 64;

/// Returns the addresses of routers that take callers, in random order.
#[must_use]
pub fn addresses(router: &Router) -> Vec<SocketAddr> {
    let now = router.now();
    let members = router.members.borrow();
    let mut addresses: Vec<SocketAddr> =
        members.ready(now).map(|member| member.identity.callers).collect();
    if router.is_ready() {
        addresses.push(router.settings.listen.callers);
    }
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(ADDRESSES);
    addresses
}
