//! The routes and services of a configuration.

use std::time::Duration;

use base::Name;

/// Whether requests of a route may be repeated, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// An idempotent request, which may run again after any failure.
    Safe,
    /// A request that is not idempotent and runs at most once.
    Unsafe,
    /// A request that is answered by a stream of events, which must not be repeated.
    Streaming,
    /// A request that is answered by a stream of events, which may continue at another runner.
    Resumable,
}

impl Kind {
    /// Returns whether a request may run a second time.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Streaming | Self::Resumable)
    }
}

/// The share of the requests of a route that a service receives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// The service.
    pub service: Name,
    /// Its weight, relative to the other weights of the route.
    pub weight: u32,
}

/// The handling of requests to a host and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The name of the route.
    pub name: Name,
    /// The host, in lower case.
    pub host: String,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated, and how they are answered.
    pub kind: Kind,
    /// The time within which a request must be answered.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, has its full benefit.
    pub target: Duration,
    /// The maximum number of runners that may run one request.
    pub attempts: u32,
    /// The priority, 0 for the most urgent.
    pub priority: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// The services with their weights.
    pub splits: Vec<Split>,
}

impl Route {
    /// Returns the service for a request, chosen by weight from a hash of its identifier.
    #[must_use]
    pub fn service(&self, hash: u64) -> Option<&Name> {
        let total: u64 = self.splits.iter().map(|split| u64::from(split.weight)).sum();
        let mut point = hash.checked_rem(total)?;
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if point < weight {
                return Some(&split.service);
            }
            point -= weight;
        }
        None
    }
}

/// The published limits of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The memory capacity in tokens.
    pub memory: u64,
    /// The number of tokens in one event of an answer.
    pub event_tokens: u32,
}

/// A group of runners that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: Name,
    /// The maximum number of connections that one runner accepts from all routers together.
    pub connections: u32,
    /// How long a runner stays cold after its start.
    pub cold: Duration,
    /// Requests per second that a cold runner can handle.
    pub cold_rate: f64,
    /// The model engines behind the service, if there are any.
    pub engine: Option<Engine>,
}
