//! The work of a workspace.

/// The part of its demand that a workspace must lack to count as short.
const MIN_UNMET_FRACTION: f64 = 0.1;

/// Recent work of a workspace, in tokens, as sums with exponential decay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// The work of requests that were granted a runner.
    pub used: u64,
    /// The part of it that was granted while some workspace lacked work.
    pub contended: u64,
    /// The work of requests that were not, while they wait and after they are refused.
    pub unmet: u64,
}

impl Work {
    /// Returns the work of all requests.
    #[must_use]
    pub const fn demand(self) -> u64 {
        self.used + self.unmet
    }

    /// Returns whether a workspace lacks a considerable part of what it asks for.
    #[must_use]
    pub fn is_short(self) -> bool {
        self.unmet as f64 > MIN_UNMET_FRACTION * self.demand() as f64
    }

    pub(crate) const fn plus(self, other: Self) -> Self {
        Self {
            used: self.used + other.used,
            contended: self.contended + other.contended,
            unmet: self.unmet + other.unmet,
        }
    }

    pub(crate) const fn saturating_sub(self, other: Self) -> Self {
        Self {
            used: self.used.saturating_sub(other.used),
            contended: self.contended.saturating_sub(other.contended),
            unmet: self.unmet.saturating_sub(other.unmet),
        }
    }
}
