//! Digests of the contents of calls.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;
use sha2::Digest as _;
use sha2::Sha256;

/// A SHA-256 digest of the content of a call, serialized as hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of a content.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&hex::encode(self.0))
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let mut digest = [0; 32];
        hex::decode_to_slice(text, &mut digest).map_err(D::Error::custom)?;
        Ok(Self(digest))
    }
}
