//! The limits of a budget.

/// The divisor of the total that gives the parts reserved for small holdings and for answers.
const RESERVED_DIVISOR: usize = 4;
/// The largest holding that may use the reserved part, in bytes.
const SMALL_BYTES: usize = 64 << 10;

/// The limits of a budget, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The bytes that all holdings may have together.
    pub total: usize,
    /// The part of the total that only small holdings may use.
    pub reserved: usize,
    /// The part of the total that incomplete bodies may not use, unless they are small. Without it, complete bodies that
    /// wait for a runner would leave no memory for the answers to those that have one.
    pub answers: usize,
    /// The size up to which a holding is small.
    pub small: usize,
}

impl Limits {
    /// Returns the limits for a total, of which a quarter is reserved for holdings of up to 64 KiB and another one for
    /// answers.
    #[must_use]
    pub const fn of(total: usize) -> Self {
        let part = total / RESERVED_DIVISOR;
        Self { total, reserved: part, answers: part, small: SMALL_BYTES }
    }
}
