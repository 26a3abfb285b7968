//! A hybrid logical clock, which orders events over instances whose wall clocks differ.

use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

/// Number of low bits of a stamp that count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// A hybrid logical time: milliseconds since the Unix epoch in the high 48 bits, a counter in the low 16.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Creates the first stamp of a millisecond.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis << COUNTER_BITS)
    }

    /// Returns the milliseconds since the Unix epoch.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.millis(), self.0 & ((1 << COUNTER_BITS) - 1))
    }
}

/// Issues strictly increasing stamps, also above the observed stamps of other processes.
#[derive(Debug, Default)]
pub struct Clock {
    last: Mutex<Stamp>,
}

impl Clock {
    /// Returns a stamp larger than all stamps issued and observed before.
    pub fn now(&self) -> Stamp {
        self.advance(Stamp(0))
    }

    /// Records the stamp of a received message and returns a larger one; all later stamps are larger too.
    pub fn observe(&self, stamp: Stamp) -> Stamp {
        self.advance(stamp)
    }

    fn advance(&self, floor: Stamp) -> Stamp {
        let wall = Stamp::from_millis(wall_millis());
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let next = Stamp(wall.max(Stamp(last.max(floor).0 + 1)).0);
        *last = next;
        next
    }
}

fn wall_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
