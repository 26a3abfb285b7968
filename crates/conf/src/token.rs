//! Digests of bearer tokens, so that no file contains a token itself.

use sha2::Digest;
use sha2::Sha256;

/// Returns the SHA-256 digest of a token as 64 lower-case hexadecimal digits.
#[must_use]
pub fn digest(token: &str) -> String {
    hex::encode(Sha256::digest(token.as_bytes()))
}
