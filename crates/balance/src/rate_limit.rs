//! The rate of requests that a runner takes from all routers together, as it states it in its answers.
//!
//! Load pattern: a runner in need states a limit, changes it from one answer to the next, and at last states none. Its
//! answers reach the routers late and in any order. A lower limit holds at once. A higher one, or none, may be the word
//! of a late answer, so it raises what the runner may get step by step.

use std::time::Duration;

/// The time in which the rate may double after a runner has stated a higher limit, or none.
const DOUBLING_TIME: Duration = Duration::from_millis(250);
/// The rate from which it rises again after a lower limit, in requests per second.
const MIN_RAISED_RATE: f64 = 1.0;
/// The number of times that a rate doubles until there is no limit.
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
    /// The rate that was allowed when the limit last changed, in requests per second.
    rate: f64,
    /// The time of that change.
    since: Duration,
    /// Whether the newest statement came in an answer to this router and has not been told to others.
    is_untold: bool,
}

impl Default for RateLimit {
    fn default() -> Self {
        Self { newest: None, rate: f64::INFINITY, since: Duration::ZERO, is_untold: false }
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
        let doublings = now.saturating_sub(self.since).div_duration_f64(DOUBLING_TIME);
        let ceiling = self.rate * doublings.min(MAX_DOUBLINGS).exp2();
        let limit = self.stated().map_or(ceiling, |stated| stated.min(ceiling));
        (limit < UNLIMITED_RATE).then_some(limit)
    }

    /// Adds a statement; returns `false` if a newer one is known.
    fn add(&mut self, statement: Statement) -> bool {
        if self.newest.is_some_and(|newest| newest.at >= statement.at) {
            return false;
        }
        let current = self.per_second(statement.at).unwrap_or(f64::INFINITY);
        let before = self.stated();
        self.newest = Some(statement);
        let stated = statement.per_second.unwrap_or(f64::INFINITY);
        if stated < current {
            (self.rate, self.since) = (stated, statement.at);
        } else if statement.per_second != before {
            (self.rate, self.since) = (current.max(MIN_RAISED_RATE), statement.at);
        }
        true
    }
}
