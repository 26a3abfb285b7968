//! The retry budget of a workspace.

/// Retry credit of one first attempt, in thousandths.
const CREDIT_PER_ATTEMPT: u64 = 100;
/// Retry credit of one retry, in thousandths.
const CREDIT_PER_RETRY: u64 = 1_000;
/// Retries that are always held in store, and the most that can be saved.
const MAX_CREDIT: u64 = 10 * CREDIT_PER_RETRY;

/// A token bucket that allows retries up to a tenth of the first attempts and a small constant.
///
/// ```
/// let mut budget = sched::Budget::new();
/// assert!(budget.retry());
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    credit: u64,
}

impl Budget {
    /// Creates a budget with its constant part.
    #[must_use]
    pub const fn new() -> Self {
        Self { credit: MAX_CREDIT }
    }

    /// Counts a first attempt.
    pub const fn record_attempt(&mut self) {
        let credit = self.credit + CREDIT_PER_ATTEMPT;
        self.credit = if credit > MAX_CREDIT { MAX_CREDIT } else { credit };
    }

    /// Takes one retry and returns whether it is allowed.
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
