//! The retry budget of a workspace.

/// Credit earned by a first attempt, in thousandths of a retry.
const CREDIT_PER_ATTEMPT: u64 = 100;
/// Credit spent on a retry, in thousandths of a retry.
const CREDIT_PER_RETRY: u64 = 1_000;
/// Initial and largest credit, in thousandths of a retry.
const MAX_CREDIT: u64 = 10 * CREDIT_PER_RETRY;

/// A token bucket that limits retries to a tenth of the first attempts plus a small constant.
///
/// ```
/// let mut budget = sched::Budget::new();
/// assert!(budget.try_retry());
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    credit: u64,
}

impl Budget {
    /// Creates a budget with full credit.
    #[must_use]
    pub const fn new() -> Self {
        Self { credit: MAX_CREDIT }
    }

    /// Adds the credit of a first attempt.
    pub const fn record_attempt(&mut self) {
        let credit = self.credit + CREDIT_PER_ATTEMPT;
        self.credit = if credit > MAX_CREDIT { MAX_CREDIT } else { credit };
    }

    /// Spends the credit of one retry and returns whether the retry is allowed.
    pub const fn try_retry(&mut self) -> bool {
        let allowed = self.credit >= CREDIT_PER_RETRY;
        if allowed {
            self.credit -= CREDIT_PER_RETRY;
        }
        allowed
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}
