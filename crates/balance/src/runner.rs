//! One runner as this router knows it.

use std::net::SocketAddr;
use std::time::Duration;

use base::Name;

use crate::Health;
use crate::Load;
use crate::PeerLoads;
use crate::PrefixCache;
use crate::Window;

slotmap::new_key_type! {
    /// A runner in the registry.
    pub struct Key;
}

/// The time over which requests to a cold runner are limited.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// What a runner says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// The id of the instance, which appears once.
    pub id: Name,
    /// The start of this incarnation, in milliseconds of the Unix time.
    pub started_ms: u64,
    /// A number that rises with each entry of this incarnation.
    pub sequence: u64,
    /// The service that it serves.
    pub service: Name,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// How much longer it bears only few requests.
    pub cold_left: Duration,
}

/// A runner with its state and load.
#[derive(Debug, Clone)]
pub struct Runner {
    /// The newest that it has said of itself.
    pub registration: Registration,
    /// Until when it bears only few requests.
    pub cold_until: Duration,
    /// The results of requests.
    pub health: Health,
    /// Prompt parts in its memory.
    pub prefix_cache: PrefixCache,
    /// Load that this router has placed.
    pub own_load: Load,
    /// Load that other routers have placed.
    pub peer_loads: PeerLoads,
    /// Requests sent while it was cold.
    pub cold_sent: Window,
}

impl Runner {
    /// Creates a runner without load.
    #[must_use]
    pub fn new(now: Duration, registration: Registration) -> Self {
        let mut runner = Self {
            registration,
            cold_until: Duration::ZERO,
            health: Health::default(),
            prefix_cache: PrefixCache::default(),
            own_load: Load::default(),
            peer_loads: PeerLoads::default(),
            cold_sent: Window::new(COLD_WINDOW),
        };
        runner.warm_up(now);
        runner
    }

    /// Takes in a newer entry of the same incarnation; a runner that drains goes on draining.
    pub fn update(&mut self, now: Duration, registration: &Registration) {
        let is_draining = self.registration.is_draining || registration.is_draining;
        self.registration = Registration { is_draining, ..registration.clone() };
        self.warm_up(now);
    }

    fn warm_up(&mut self, now: Duration) {
        if self.registration.cold_left > Duration::ZERO {
            self.cold_until = self.cold_until.max(now + self.registration.cold_left);
        }
    }

    /// Returns whether it bears only few requests.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns the load that all routers have placed.
    #[must_use]
    pub fn load(&self, now: Duration) -> Load {
        let mut load = self.own_load;
        load.add(self.peer_loads.sum(now));
        load
    }
}
