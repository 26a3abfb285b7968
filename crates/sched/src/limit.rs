//! The share of a runner's limit that one side of a partition may use.

/// Returns the share of a limit for a side that sees `visible` of `listed` members.
///
/// The shares of two sides add up to at most the limit; the side with more than half of the members
/// gets the remaining slots.
#[must_use]
pub fn share(limit: u32, visible: usize, listed: usize) -> u32 {
    let listed = listed.max(visible).max(1);
    let rounded_share = |members: usize| {
        let product = u64::from(limit) * u64::try_from(members).unwrap_or(u64::MAX);
        u32::try_from(product / u64::try_from(listed).unwrap_or(u64::MAX)).unwrap_or(limit)
    };
    if visible * 2 > listed {
        limit - rounded_share(listed - visible)
    } else {
        rounded_share(visible)
    }
}

/// Returns the number of slots of a limit that are closed to long requests.
#[must_use]
pub const fn reserve(limit: u32) -> u32 {
    match limit {
        0 | 1 => 0,
        2..=7 => 1,
        _ => limit / 4,
    }
}
