//! The rate of requests that a runner takes from all routers together, as it states it in its answers.
//!
//! Load pattern: a runner in need states a limit, changes it from one answer to the next, and at last states none. Its
//! answers reach the routers late and in any order. A lower limit holds at once. A higher one, or none, may be the word
//! of a late answer, so it is believed once no answer states the lower one any more, and then raises what the runner may get
//! step by step.

use std::time::Duration;

/// The time after the last statement of a limit from which on a higher one, or none, is believed.
const HOLD_TIME: Duration = Duration::from_secs(1);
/// The time in which the rate doubles from then on.
const DOUBLING_TIME: Duration = Duration::from_millis(250);
/// The rate from which it rises again after a lower limit, in requests per second.
const MIN_RAISED_RATE: f64 = 1.0;
/// The number of times by which any rate has doubled so often that there is no limit.
const MAX_DOUBLINGS: f64 = 10.0;
/// The rate that no runner exceeds, in requests per second; such a limit is none.
const UNLIMITED_RATE: f64 = 1_000.0;

/// What a runner states of its limit in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// The requests per second that it takes from all routers together; `None` if it states no limit.
    pub per_second: Option<f64>,
    /// The time of the answer.
    pub at: Duration,
}

/// The limit on the rate of requests to a runner, by what it has stated.
#[derive(Debug, Clone, Copy)]
pub struct RateLimit {
    newest: Option<Statement>,
    /// The last statement that bound what the runner might get, in requests per second.
    rate: f64,
    /// The time of that statement.
    stated_at: Duration,
    /// Whether the newest statement came in an answer to this router and has not been told to others.
    is_untold: bool,
}

impl Default for RateLimit {
    fn default() -> Self {
        Self { newest: None, rate: f64::INFINITY, stated_at: Duration::ZERO, is_untold: false }
    }
}

impl RateLimit {
    /// Records the statement of an answer to this router; returns whether it differs from the one before.
    pub fn record(&mut self, statement: Statement) -> bool {
        let had_limit = self.per_second(statement.at).is_some();
        let before = self.stated();
        if !self.add(statement) {
            return false;
        }
        self.is_untold |= had_limit || statement.per_second.is_some();
        self.stated() != before
    }

    /// Records a statement that another router has told; returns whether it differs from the one before.
    pub fn record_told(&mut self, statement: Statement) -> bool {
        let before = self.stated();
        if !self.add(statement) {
            return false;
        }
        self.is_untold = false;
        self.stated() != before
    }

    /// Returns the newest statement if it came in an answer to this router and has not been returned before.
    pub fn take_untold(&mut self) -> Option<Statement> {
        std::mem::take(&mut self.is_untold).then_some(self.newest).flatten()
    }

    /// Returns the newest statement, from whichever router, if a limit holds at a time or has just ended.
    #[must_use]
    pub fn newest(&self, now: Duration) -> Option<Statement> {
        self.newest.filter(|newest| newest.per_second.is_some() || self.per_second(now).is_some())
    }

    /// Returns the limit that the runner has stated last.
    #[must_use]
    pub fn stated(&self) -> Option<f64> {
        self.newest.and_then(|newest| newest.per_second)
    }

    /// Returns whether the runner has stated a limit within a time span, and none later.
    pub(crate) fn was_stated_within(&self, now: Duration, span: Duration) -> bool {
        let limited = self.newest.filter(|newest| newest.per_second.is_some());
        limited.is_some_and(|newest| now < newest.at + span)
    }

    /// Returns the requests per second that all routers together may send; `None` if there is no limit.
    #[must_use]
    pub fn per_second(&self, now: Duration) -> Option<f64> {
        let ceiling = self.ceiling(now);
        let limit = self.stated().map_or(ceiling, |stated| stated.min(ceiling));
        (limit < UNLIMITED_RATE).then_some(limit)
    }

    /// Returns the rate that the last binding limit leaves, in requests per second.
    fn ceiling(&self, now: Duration) -> f64 {
        let held_until = self.stated_at + HOLD_TIME;
        if now < held_until {
            return self.rate;
        }
        let doublings = (now - held_until).div_duration_f64(DOUBLING_TIME);
        self.rate.max(MIN_RAISED_RATE) * doublings.min(MAX_DOUBLINGS).exp2()
    }

    /// Adds a statement; returns `false` if a newer one is known.
    fn add(&mut self, statement: Statement) -> bool {
        if self.newest.is_some_and(|newest| newest.at >= statement.at) {
            return false;
        }
        let current = self.per_second(statement.at).unwrap_or(f64::INFINITY);
        self.newest = Some(statement);
        if let Some(stated) = statement.per_second.filter(|stated| *stated <= current) {
            (self.rate, self.stated_at) = (stated, statement.at);
        }
        true
    }
}
