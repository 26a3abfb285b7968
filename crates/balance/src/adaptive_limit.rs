//! How much load one engine is given.
//!
//! Load pattern: engines take requests in order of arrival, so whatever waits there can no longer be put in a better
//! order. Too little sent ahead leaves the engine idle; too much makes first tokens late, and too many requests at once
//! make tokens so slow that long answers miss their deadline. Both limits follow what is observed, and need to know
//! nothing of the engine's speed.

use std::time::Duration;

/// Prompt tokens that may wait before the first measurement.
const BACKLOG_BEGIN: f64 = 24_000.0;
/// The lowest limit on waiting prompt tokens.
const BACKLOG_LEAST: f64 = 8_000.0;
/// The highest limit on waiting prompt tokens.
const BACKLOG_MOST: f64 = 120_000.0;
/// The part of the target that the first token may take at an engine.
const FIRST_PART: f64 = 0.6;
/// The factor by which something late lowers a limit.
const LOWER: f64 = 0.93;
/// Shortest time between two reductions of a limit.
const PAUSE: Duration = Duration::from_millis(250);
/// Prompt tokens by which a first token in time raises the limit while requests wait.
const BACKLOG_RAISE: f64 = 150.0;
/// Requests that may run before the first measurement.
const RUNNING_BEGIN: f64 = 64.0;
/// The lowest limit on running requests.
const RUNNING_LEAST: f64 = 32.0;
/// The highest limit on running requests.
const RUNNING_MOST: f64 = 1_024.0;
/// Requests by which an answer in time raises the limit while requests wait.
const RUNNING_RAISE: f64 = 0.1;
/// The time that a token may take, in parts of the time per token that the longest answer has.
const TOKEN_PART: f64 = 1.25;
/// The weight of the newest time per token.
const NEWEST: f64 = 0.1;
/// The time after which the need of the longest answer is forgotten.
const NEED_KEPT: Duration = Duration::from_secs(10);

/// The weight of another router's limits when they arrive, divided by the number of other routers.
const APPROACH: f64 = 0.2;

/// Limits on the load of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadLimits {
    /// The most prompt tokens that may wait.
    pub backlog: u64,
    /// The most requests that may run.
    pub running: u32,
}

/// The limits on the load of one engine of a service, as this router has observed it.
///
/// Load pattern: a router whose limits are lower than those of the others finds no room, since the others fill all
/// engines to their own limits. Each router therefore moves its limits towards those of the others.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    backlog: f64,
    backlog_lowered: Duration,
    running: f64,
    running_lowered: Duration,
    token_time: f64,
    need: f64,
    need_at: Duration,
}

impl Default for AdaptiveLimit {
    fn default() -> Self {
        Self {
            backlog: BACKLOG_BEGIN,
            backlog_lowered: Duration::ZERO,
            running: RUNNING_BEGIN,
            running_lowered: Duration::ZERO,
            token_time: 0.0,
            need: f64::INFINITY,
            need_at: Duration::ZERO,
        }
    }
}

impl AdaptiveLimit {
    /// Returns the limits.
    #[must_use]
    pub const fn limits(&self) -> LoadLimits {
        LoadLimits { backlog: self.backlog as u64, running: self.running as u32 }
    }

    /// Moves towards the limits of one of `routers` other routers.
    pub fn move_towards(&mut self, other: LoadLimits, routers: usize) {
        let weight = APPROACH / routers.max(1) as f64;
        self.backlog += weight * (other.backlog as f64 - self.backlog);
        self.running += weight * (f64::from(other.running) - self.running);
    }

    /// Takes in the time that a request has, and the most tokens of its answer.
    pub fn record_request(&mut self, now: Duration, time: Duration, tokens: u64) {
        if tokens == 0 {
            return;
        }
        let need = time.as_secs_f64() / tokens as f64;
        if need <= self.need || now > self.need_at + NEED_KEPT {
            self.need = need;
            self.need_at = now;
        }
    }

    /// Takes in how long a first token took, against its target.
    pub fn record_first_token(
        &mut self,
        now: Duration,
        took: Duration,
        target: Duration,
        has_waiting: bool,
    ) {
        if took > target.mul_f64(FIRST_PART) {
            if now >= self.backlog_lowered + PAUSE {
                self.backlog = (self.backlog * LOWER).max(BACKLOG_LEAST);
                self.backlog_lowered = now;
            }
        } else if has_waiting {
            self.backlog = (self.backlog + BACKLOG_RAISE).min(BACKLOG_MOST);
        }
    }

    /// Takes in how long each token of an answer took.
    pub fn record_token_time(&mut self, now: Duration, each: Duration, has_waiting: bool) {
        self.token_time += NEWEST * (each.as_secs_f64() - self.token_time);
        if self.token_time > self.need * TOKEN_PART {
            if now >= self.running_lowered + PAUSE {
                self.running = (self.running * LOWER).max(RUNNING_LEAST);
                self.running_lowered = now;
            }
        } else if has_waiting {
            self.running = (self.running + RUNNING_RAISE).min(RUNNING_MOST);
        }
    }
}
