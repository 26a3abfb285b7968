//! The cost of served work.

use std::iter::Sum;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;

use serde::Deserialize;
use serde::Serialize;

/// An amount of served work, in milli-tokens of a model call or microseconds of a plain call.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Cost(pub u64);

impl Cost {
    /// The cost of no work.
    pub const ZERO: Self = Self(0);
    /// The number of milli-tokens in one token.
    pub const PER_TOKEN: u64 = 1_000;

    /// Returns the cost of a number of generated tokens.
    #[must_use]
    pub const fn tokens(count: u64) -> Self {
        Self(count.saturating_mul(Self::PER_TOKEN))
    }

    /// Returns the difference, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Cost {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Cost {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Cost {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.saturating_sub(other)
    }
}

impl Sum for Cost {
    fn sum<I: Iterator<Item = Self>>(costs: I) -> Self {
        costs.fold(Self::ZERO, Add::add)
    }
}
