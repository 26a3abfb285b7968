//! The load that routers have placed on runners.

use std::time::Duration;

use indexmap::IndexMap;

use crate::Origin;

/// The time after which reported figures expire.
const EXPIRY: Duration = Duration::from_millis(1_500);

/// The load placed on a runner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens of requests whose first generated token has not arrived.
    pub backlog: u64,
    /// Tokens that all these requests occupy in memory when they end.
    pub memory: u64,
}

impl Load {
    /// Adds another load.
    pub const fn add(&mut self, other: Self) {
        self.running += other.running;
        self.backlog += other.backlog;
        self.memory += other.memory;
    }

    /// Subtracts a load that was added before.
    pub const fn remove(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.backlog = self.backlog.saturating_sub(other.backlog);
        self.memory = self.memory.saturating_sub(other.memory);
    }
}

/// The load that other routers have placed on one runner.
///
/// The sums are kept, since a choice among many runners needs them for each request.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    reported: IndexMap<Origin, (Duration, Load)>,
    sum: Load,
    /// The sum over the running requests of the times, in milliseconds, at which they were reported.
    reported_ms: u64,
    /// The earliest time at which figures that are part of the sum expire.
    expires_at: Option<Duration>,
}

impl PeerLoads {
    /// Records the newest figures of an origin, which it reported at `at`.
    pub fn put(&mut self, origin: &Origin, at: Duration, load: Load) {
        let previous = if load == Load::default() {
            self.reported.swap_remove(origin)
        } else {
            self.reported.insert(origin.clone(), (at, load))
        };
        if let Some((at, load)) = previous {
            self.sum.remove(load);
            self.reported_ms = self.reported_ms.saturating_sub(reported_ms(at, load));
        }
        self.sum.add(load);
        self.reported_ms += reported_ms(at, load);
        if load != Load::default() {
            let expires_at = at + EXPIRY;
            self.expires_at =
                Some(self.expires_at.map_or(expires_at, |known| known.min(expires_at)));
        }
    }

    /// Returns the sum over all routers; figures that have expired count until [`PeerLoads::remove_expired`].
    #[must_use]
    pub const fn sum(&self) -> Load {
        self.sum
    }

    /// Returns the sum over the running requests of the times, in milliseconds, at which they were reported.
    pub(crate) const fn reported_ms(&self) -> u64 {
        self.reported_ms
    }

    /// Returns the sum over the routers that report their own figures.
    #[must_use]
    pub fn sum_of_routers(&self) -> Load {
        sum(self.reported.iter().filter(|(origin, _)| origin.is_router()))
    }

    /// Removes figures that have expired.
    pub fn remove_expired(&mut self, now: Duration) {
        if self.expires_at.is_none_or(|expires_at| now < expires_at) {
            return;
        }
        self.reported.retain(|_, (at, _)| now < *at + EXPIRY);
        self.expires_at = self.reported.values().map(|(at, _)| *at + EXPIRY).min();
        self.sum = sum(self.reported.iter());
        self.reported_ms = self.reported.values().map(|(at, load)| reported_ms(*at, *load)).sum();
    }
}

/// Returns the time of a report in milliseconds, once for each running request.
fn reported_ms(at: Duration, load: Load) -> u64 {
    let at_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
    at_ms.saturating_mul(u64::from(load.running))
}

fn sum<'a>(reported: impl Iterator<Item = (&'a Origin, &'a (Duration, Load))>) -> Load {
    let mut sum = Load::default();
    for (_, (_, load)) in reported {
        sum.add(*load);
    }
    sum
}
