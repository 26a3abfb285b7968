//! The scope of a caller's idempotency key.

use base::Name;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use uuid::Uuid;

/// A caller's idempotency key within its workspace and service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Scope {
    /// The workspace.
    #[serde(rename = "w")]
    pub workspace: Name,
    /// The service.
    #[serde(rename = "s")]
    pub service: Name,
    /// The caller's key.
    #[serde(rename = "k")]
    pub key: Uuid,
}

/// A short digest of a scope, by which the table identifies it.
pub(crate) type ShortDigest = u128;

impl Scope {
    /// Creates a scope.
    #[must_use]
    pub fn new(workspace: &str, service: &str, key: Uuid) -> Self {
        Self { workspace: Name::new(workspace), service: Name::new(service), key }
    }

    /// Returns the creation time of the key, in milliseconds since the Unix epoch, if the key is a UUIDv7.
    #[must_use]
    pub fn created_ms(&self) -> Option<u64> {
        if self.key.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanos) = self.key.get_timestamp()?.to_unix();
        Some(seconds * 1_000 + u64::from(nanos / 1_000_000))
    }

    pub(crate) fn short_digest(&self) -> ShortDigest {
        let mut digest = Sha256::new();
        for name in [&self.workspace, &self.service] {
            digest.update(name.as_str().len().to_le_bytes());
            digest.update(name.as_str());
        }
        digest.update(self.key.as_bytes());
        let [high, ..] = split(digest.finalize().into());
        high
    }
}

fn split(digest: [u8; 32]) -> [u128; 2] {
    let half = |from: usize| {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[from..from + 16]);
        u128::from_le_bytes(bytes)
    };
    [half(0), half(16)]
}
