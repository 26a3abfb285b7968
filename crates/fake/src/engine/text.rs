//! The text of answers: a pure function of the prompt and the index.

use crate::journal;

/// The characters that tokens consist of.
const ALPHABET: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";
/// The number of characters in one token, without the space at its end.
const TOKEN_CHARACTERS: u32 = 5;

/// Returns the token at an index of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    token_of_digest(journal::digest(prompt.as_bytes()), index)
}

/// Returns the complete answer to a prompt.
#[must_use]
pub fn answer(prompt: &str, max_tokens: u32) -> String {
    let digest = journal::digest(prompt.as_bytes());
    (0..max_tokens).map(|index| token_of_digest(digest, index)).collect()
}

/// Returns the token at an index of the answer to a prompt with this digest.
pub(super) fn token_of_digest(digest: u64, index: u32) -> String {
    let mixed = mix(digest ^ mix(u64::from(index) + 1));
    let character =
        |digit: u32| char::from(ALPHABET[(mixed >> (digit * 5)) as usize % ALPHABET.len()]);
    (0..TOKEN_CHARACTERS).map(character).chain([' ']).collect()
}

/// Mixes the bits of a number with the finaliser of SplitMix64.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
