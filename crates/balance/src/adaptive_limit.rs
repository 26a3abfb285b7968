//! Adaptive limits on the load of one model engine.
//!
//! Load pattern: engines process requests in order of arrival, so requests that wait there can no longer be reordered.
//! Too small a backlog leaves the engine idle, and too large a backlog delays first tokens. Too many concurrent
//! requests slow token generation down until long answers miss their deadline. Both limits follow the measured latency,
//! so the engine's speed need not be known.

use std::time::Duration;

/// The initial limit on waiting prompt tokens.
const INITIAL_BACKLOG: f64 = 24_000.0;
/// The lowest limit on waiting prompt tokens.
const MIN_BACKLOG: f64 = 8_000.0;
/// The highest limit on waiting prompt tokens.
const MAX_BACKLOG: f64 = 120_000.0;
/// The fraction of the target that a first token may take at an engine.
const FIRST_TOKEN_FRACTION: f64 = 0.6;
/// The factor by which a late token lowers a limit.
const DECREASE_FACTOR: f64 = 0.93;
/// The shortest interval between two decreases of a limit.
const DECREASE_INTERVAL: Duration = Duration::from_millis(250);
/// The prompt tokens by which a first token in time raises the limit while requests wait.
const BACKLOG_INCREASE: f64 = 150.0;
/// The initial limit on running requests.
const INITIAL_RUNNING: f64 = 64.0;
/// The lowest limit on running requests.
const MIN_RUNNING: f64 = 32.0;
/// The highest limit on running requests.
const MAX_RUNNING: f64 = 1_024.0;
/// The number of requests by which an answer in time raises the limit while requests wait.
const RUNNING_INCREASE: f64 = 0.1;
/// The time that a token may take, relative to the time per token that the longest answer allows.
const TOKEN_TIME_RATIO: f64 = 1.25;
/// The weight of the newest time per token.
const NEWEST_WEIGHT: f64 = 0.1;
/// The time after which the shortest required time per token, that of the longest answer, expires.
const REQUIRED_TIME_EXPIRY: Duration = Duration::from_secs(10);

/// The weight of the limits of all other routers, when those of each have arrived once.
const PEER_WEIGHT: f64 = 0.2;

/// Limits on the load of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadLimits {
    /// The maximum number of waiting prompt tokens.
    pub backlog: u64,
    /// The maximum number of running requests.
    pub running: u32,
}

/// The limits on the load of one engine of a service, derived from the latency that this router has measured.
///
/// Load pattern: a router with lower limits than the others finds no capacity, because the others fill all engines up
/// to their own limits. Each router therefore moves its limits towards those of the others.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    backlog: f64,
    backlog_lowered: Duration,
    running: f64,
    running_lowered: Duration,
    token_time: f64,
    required_time: f64,
    required_at: Duration,
}

impl Default for AdaptiveLimit {
    fn default() -> Self {
        Self {
            backlog: INITIAL_BACKLOG,
            backlog_lowered: Duration::ZERO,
            running: INITIAL_RUNNING,
            running_lowered: Duration::ZERO,
            token_time: 0.0,
            required_time: f64::INFINITY,
            required_at: Duration::ZERO,
        }
    }
}

impl AdaptiveLimit {
    /// Returns the limits.
    #[must_use]
    pub const fn limits(&self) -> LoadLimits {
        LoadLimits { backlog: self.backlog as u64, running: self.running as u32 }
    }

    /// Moves towards the limits of a fraction of the other routers.
    pub fn move_towards(&mut self, other: LoadLimits, fraction: f64) {
        let weight = PEER_WEIGHT * fraction;
        self.backlog += weight * (other.backlog as f64 - self.backlog);
        self.running += weight * (f64::from(other.running) - self.running);
    }

    /// Records the time that a request has and the maximum number of tokens in its answer.
    pub fn record_request(&mut self, now: Duration, time: Duration, tokens: u64) {
        if tokens == 0 {
            return;
        }
        let required = time.as_secs_f64() / tokens as f64;
        if required <= self.required_time || now > self.required_at + REQUIRED_TIME_EXPIRY {
            self.required_time = required;
            self.required_at = now;
        }
    }

    /// Records the time to a first token, with its target.
    pub fn record_first_token(
        &mut self,
        now: Duration,
        took: Duration,
        target: Duration,
        has_waiting: bool,
    ) {
        if took > target.mul_f64(FIRST_TOKEN_FRACTION) {
            if now >= self.backlog_lowered + DECREASE_INTERVAL {
                self.backlog = (self.backlog * DECREASE_FACTOR).max(MIN_BACKLOG);
                self.backlog_lowered = now;
            }
        } else if has_waiting {
            self.backlog = (self.backlog + BACKLOG_INCREASE).min(MAX_BACKLOG);
        }
    }

    /// Records the time per token of an answer.
    pub fn record_token_time(&mut self, now: Duration, each: Duration, has_waiting: bool) {
        self.token_time += NEWEST_WEIGHT * (each.as_secs_f64() - self.token_time);
        if self.token_time > self.required_time * TOKEN_TIME_RATIO {
            if now >= self.running_lowered + DECREASE_INTERVAL {
                self.running = (self.running * DECREASE_FACTOR).max(MIN_RUNNING);
                self.running_lowered = now;
            }
        } else if has_waiting {
            self.running = (self.running + RUNNING_INCREASE).min(MAX_RUNNING);
        }
    }
}
