//! Routes and services of a configuration.

use std::time::Duration;

use base::Name;

/// What may be done twice with requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Idempotent: may run again after any failure.
    Safe,
    /// Not idempotent: runs at most once.
    Unsafe,
    /// Answered as a stream of events that may not be repeated.
    Streaming,
    /// Answered as a stream of events that may go on at another runner.
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

/// A service's part of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// The service.
    pub service: Name,
    /// Its part, relative to the other weights of the route.
    pub weight: u32,
}

/// How requests to a host and path are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The name of the route.
    pub name: Name,
    /// The host, in lower case.
    pub host: String,
    /// The prefix of the paths, which begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// How long a request may be kept waiting for its answer.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, has its full benefit.
    pub target: Duration,
    /// The most runners that may run one request.
    pub attempts: u32,
    /// The priority, 0 for the most urgent.
    pub priority: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// The services, each with its part.
    pub splits: Vec<Split>,
}

impl Route {
    /// Returns the service for a request, chosen by weight from a hash of its id.
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

/// The published limits of a service's model engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into memory.
    pub memory: u64,
    /// Tokens that one event of an answer holds.
    pub event_tokens: u32,
}

/// A group of runners that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: Name,
    /// Connections that one runner accepts from all routers together.
    pub connections: u32,
    /// How long a runner stays cold after its start.
    pub cold: Duration,
    /// Requests a second that a cold runner bears.
    pub cold_rate: f64,
    /// The model engines behind the service, if there are any.
    pub engine: Option<Engine>,
}
