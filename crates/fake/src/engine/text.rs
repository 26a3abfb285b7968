//! The text of answers: a pure function of the prompt and the index.

use crate::journal;

/// Letters of which tokens are made.
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";
/// Letters in one token.
const LENGTH: u32 = 5;

/// Returns the token at an index of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    at(journal::digest(prompt.as_bytes()), index)
}

/// Returns the whole answer to a prompt.
#[must_use]
pub fn answer(prompt: &str, max_tokens: u32) -> String {
    let digest = journal::digest(prompt.as_bytes());
    (0..max_tokens).map(|index| at(digest, index)).collect()
}

/// Returns the token at an index of the answer to a prompt with this digest.
pub(super) fn at(digest: u64, index: u32) -> String {
    let mixed = mix(digest ^ mix(u64::from(index) + 1));
    let letter = |place: u32| char::from(LETTERS[(mixed >> (place * 5)) as usize % LETTERS.len()]);
    (0..LENGTH).map(letter).chain([' ']).collect()
}

/// Mixes the bits of a number (the finisher of SplitMix64).
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
