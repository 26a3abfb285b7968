//! The state of one runner, as known to this router.

use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Health;
use crate::Load;
use crate::Pace;
use crate::PeerLoads;
use crate::PrefixCache;
use crate::RateLimit;
use crate::Start;
use crate::Stock;
use crate::Window;
use crate::rendezvous;
use crate::rollout::Role;

slotmap::new_key_type! {
    /// The key of a runner in the registry.
    pub struct Key;
}

/// The window over which the number of requests to a cold runner is limited.
pub(crate) const COLD_WINDOW: Duration = Duration::from_secs(1);

/// The state that a runner publishes in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// The unique identifier of the instance.
    pub id: Name,
    /// The start of this incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The position of its record in the store's topic.
    pub position: u64,
    /// The sequence number, which increases with each registration of this incarnation.
    pub sequence: u64,
    /// The service to which the runner belongs.
    pub service: Name,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// The version of the service that it runs, if it states one.
    pub version: Option<Name>,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is draining before it leaves.
    pub is_draining: bool,
    /// The remaining time for which it can handle only few requests.
    pub cold_left: Duration,
}

impl Registration {
    /// Returns the name that routers give this start of the runner to each other.
    #[must_use]
    pub fn start(&self) -> Start {
        Start::new(self.id.as_str(), self.started_ms)
    }

    /// Returns a digest of the identifier and the start, which tells incarnations apart.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "the low half of the hash is the digest")]
    pub fn incarnation(&self) -> u32 {
        xxh3_64_with_seed(self.id.as_str().as_bytes(), self.started_ms) as u32
    }
}

/// A runner with its state and load.
#[derive(Debug, Clone)]
pub struct Runner {
    /// The newest registration.
    pub registration: Registration,
    digest: u32,
    /// The time until which it can handle only few requests.
    pub cold_until: Duration,
    /// The circuit breaker, based on the results of requests.
    pub health: Health,
    /// The time until which it wants no requests of this router.
    pub(crate) paused_until: Option<Duration>,
    /// How long work takes there.
    pub pace: Pace,
    /// The rate of requests that it takes from all routers together.
    pub rate_limit: RateLimit,
    /// The credits of this router for requests to it while that rate is limited.
    pub credits: Stock,
    /// The prompt parts that it is assumed to hold.
    pub prefix_cache: PrefixCache,
    /// The load that this router has placed on it.
    pub own_load: Load,
    /// The load that other routers have placed on it.
    pub peer_loads: PeerLoads,
    /// The requests that were sent while it was cold.
    pub cold_sent: Window,
    /// The requests that it receives during a rollout.
    pub(crate) role: Role,
}

impl Runner {
    /// Creates a runner without load.
    #[must_use]
    pub fn new(now: Duration, registration: Registration) -> Self {
        let mut runner = Self {
            digest: rendezvous::digest(registration.id.as_str()),
            registration,
            cold_until: Duration::ZERO,
            health: Health::default(),
            paused_until: None,
            pace: Pace::default(),
            rate_limit: RateLimit::default(),
            credits: Stock::default(),
            prefix_cache: PrefixCache::default(),
            own_load: Load::default(),
            peer_loads: PeerLoads::default(),
            cold_sent: Window::new(COLD_WINDOW),
            role: Role::default(),
        };
        runner.extend_cold_period(now);
        runner
    }

    /// Returns the digest that stands for its identifier in what routers tell each other.
    #[must_use]
    pub const fn digest(&self) -> u32 {
        self.digest
    }

    /// Replaces the registration by a newer one of the same incarnation; a draining runner stays draining.
    pub fn update(&mut self, now: Duration, registration: &Registration) {
        let is_draining = self.registration.is_draining || registration.is_draining;
        self.registration = Registration { is_draining, ..registration.clone() };
        self.extend_cold_period(now);
    }

    fn extend_cold_period(&mut self, now: Duration) {
        if self.registration.cold_left > Duration::ZERO {
            let until = now.saturating_add(self.registration.cold_left);
            self.cold_until = self.cold_until.max(until);
        }
    }

    /// Records that the runner leaves; returns `false` if that was known.
    pub(crate) const fn record_leaving(&mut self) -> bool {
        let is_new = !self.registration.is_draining;
        self.registration.is_draining = true;
        is_new
    }

    /// Records that the runner wants no requests of this router until a time; a known later time is kept.
    pub fn pause(&mut self, until: Duration) {
        self.paused_until = self.paused_until.max(Some(until));
    }

    /// Returns whether the runner wants no requests of this router.
    #[must_use]
    pub fn is_paused(&self, now: Duration) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns whether this router may send requests to the runner now.
    pub(crate) fn may_be_sent(&self, now: Duration) -> bool {
        self.health.is_usable(now) && !self.is_paused(now)
    }

    /// Returns whether the rate of requests to it is limited.
    pub(crate) fn is_limited(&self, now: Duration) -> bool {
        self.rate_limit.per_second(now).is_some()
    }

    /// Returns whether the limit on its rate allows one more request of this router.
    pub(crate) fn has_credit(&self, now: Duration) -> bool {
        self.rate_limit.per_second(now).is_none() || self.credits.count(now) > 0
    }

    /// Returns whether requests wait at this router for credits to use it.
    pub(crate) fn lacks_credits(&self, now: Duration) -> bool {
        self.credits.is_lacking(now) && self.rate_limit.per_second(now).is_some()
    }

    /// Returns whether the runner can handle only few requests.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns the load that all routers have placed on the runner.
    #[must_use]
    pub const fn load(&self) -> Load {
        let mut load = self.own_load;
        load.add(self.peer_loads.sum());
        load
    }
}
