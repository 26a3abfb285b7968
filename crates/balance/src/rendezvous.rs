//! Rendezvous hashing, by which every router ranks candidates equally without communication.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a candidate for a key; the highest weight ranks first.
pub(crate) fn weight(key: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}

/// Returns the rank of a candidate among others that do not include it.
pub(crate) fn rank<'a>(key: u64, candidate: &str, others: impl Iterator<Item = &'a str>) -> usize {
    let own = weight(key, candidate);
    others.filter(|other| weight(key, other) > own).count()
}

/// Returns the digest that stands for a name in what routers tell each other.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "the low half of the hash is the digest")]
pub fn digest(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
