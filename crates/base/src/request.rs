//! Ids of requests and of their attempts.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// The id of an accepted request, unique in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u128);

impl Id {
    /// Creates a new id that contains the current wall-clock time.
    #[must_use]
    pub fn generate() -> Self {
        Self(Uuid::now_v7().as_u128())
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", Uuid::from_u128(self.0))
    }
}

/// The id of one attempt of a request, which a runner must return with its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    /// The request.
    pub request: Id,
    /// The number of the attempt, from 1.
    pub number: u32,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}
