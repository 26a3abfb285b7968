//! How many prompt tokens may wait at one engine.
//!
//! Load pattern: engines take requests in order of arrival, so whatever waits there can no longer be put in a better
//! order. Too little sent ahead leaves the engine idle; too much makes first tokens late. The limit follows the time
//! that first tokens take, and needs to know nothing of the engine's speed.

use std::time::Duration;

/// Tokens that may wait before the first measurement.
const BEGIN: f64 = 24_000.0;
/// The lowest limit, in tokens.
const LEAST: f64 = 6_000.0;
/// The highest limit, in tokens.
const MOST: f64 = 120_000.0;
/// The part of the target that the first token may take at an engine.
const PART: f64 = 0.6;
/// The factor by which a late first token lowers the limit.
const LOWER: f64 = 0.9;
/// Shortest time between two reductions.
const PAUSE: Duration = Duration::from_millis(200);
/// Tokens by which a first token in time raises the limit while requests wait.
const RAISE: f64 = 150.0;

/// The limit on the prompt tokens that wait at one engine of a service.
#[derive(Debug, Clone)]
pub struct Pace {
    limit: f64,
    lowered: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self { limit: BEGIN, lowered: Duration::ZERO }
    }
}

impl Pace {
    /// Returns the limit in tokens.
    #[must_use]
    pub const fn limit(&self) -> u64 {
        self.limit as u64
    }

    /// Takes in how long a first token took, against its target.
    pub fn first_token(
        &mut self,
        now: Duration,
        took: Duration,
        target: Duration,
        has_waiting: bool,
    ) {
        if took > target.mul_f64(PART) {
            if now >= self.lowered + PAUSE {
                self.limit = (self.limit * LOWER).max(LEAST);
                self.lowered = now;
            }
        } else if has_waiting {
            self.limit = (self.limit + RAISE).min(MOST);
        }
    }
}
