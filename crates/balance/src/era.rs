//! Positions in a topic over the eras of its store.
//!
//! A store that is restored from an older copy begins a new era: it has lost its last records, and gives their offsets
//! to others. A position therefore holds the era above the offset, so that each record of a later era is newer than all
//! records of earlier ones. In the first era a position is an offset.

/// The number of bits of an offset in a position.
const OFFSET_BITS: u32 = 40;

/// The number of bits of an era in a position.
const ERA_BITS: u32 = 24;

/// Returns the era that a store states; eras count from zero again when they no longer fit.
#[must_use]
pub const fn stated(number: u64) -> u32 {
    (number & ((1 << ERA_BITS) - 1)) as u32
}

/// Returns the position of an offset in an era.
#[must_use]
pub fn position(era: u32, offset: u64) -> u64 {
    (u64::from(era) << OFFSET_BITS) | (offset & offset_mask())
}

/// Returns the era of a position.
#[must_use]
pub const fn of(position: u64) -> u32 {
    (position >> OFFSET_BITS) as u32
}

/// Returns the offset of a position.
#[must_use]
pub const fn offset(position: u64) -> u64 {
    position & offset_mask()
}

const fn offset_mask() -> u64 {
    (1 << OFFSET_BITS) - 1
}
