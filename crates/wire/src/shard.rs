//! Identifiers of shards, which are groups of runners of one service in one region, and of their terms.

use std::fmt;

use base::Name;
use base::Stamp;
use serde::Deserialize;
use serde::Serialize;

/// The identifier of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The service.
    pub service: Name,
    /// The region of the shard's runners.
    pub region: Name,
    /// The number of the shard within its service and region.
    pub index: u16,
}

impl Key {
    /// Creates the key of a shard.
    #[must_use]
    pub fn new(service: &str, region: &str, index: u16) -> Self {
        Self { service: Name::new(service), region: Name::new(region), index }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.service, self.region, self.index)
    }
}

/// The term of a dispatcher: the hybrid logical time at which it took over its shard.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub Stamp);

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
