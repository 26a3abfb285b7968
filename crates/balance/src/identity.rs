//! The identities that the processes of routers publish.
//!
//! Each process has a record of its own in the store, so that no write of another process of the same router, however
//! late it is done, replaces or removes it.
//!
//! ```
//! use balance::Identity;
//!
//! let (key, other) = (Identity::key("front-1", 7), Identity::key("front-1", 8));
//! assert_ne!(key, other);
//! ```

use std::net::SocketAddr;

use base::Name;
use indexmap::IndexMap;

/// The identity that a router publishes when it starts.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Identity {
    /// The name of the instance.
    pub name: Name,
    /// The incarnation, a number that differs at each start of the process.
    pub incarnation: u64,
    /// The address at which it receives heartbeats.
    pub peers: SocketAddr,
    /// The address at which it accepts callers.
    pub callers: SocketAddr,
    /// Its share of a processor, in thousandths.
    pub share_milli: u32,
    /// The key that authenticates its heartbeats, in hexadecimal.
    pub key: String,
    /// Its availability zone; `None` for a router of an earlier version, which sends heartbeats to all routers.
    #[serde(default)]
    pub zone: Option<Name>,
    /// The address at which other routers fetch records of the store from it; `None` for a router of an earlier version.
    #[serde(default)]
    pub records: Option<SocketAddr>,
}

impl Identity {
    /// Returns the key of the record of a process.
    #[must_use]
    pub fn key(name: &str, incarnation: u64) -> String {
        format!("{name}/{incarnation:016x}")
    }
}

/// The identities that are published, by the keys of their records.
#[derive(Debug, Clone, Default)]
pub(crate) struct Identities {
    by_key: IndexMap<String, Identity>,
}

impl Identities {
    /// Records the identity of a record; returns the one that it had before.
    pub(crate) fn put(&mut self, key: &str, identity: Identity) -> Option<Identity> {
        self.by_key.insert(key.to_owned(), identity)
    }

    /// Removes the identity of a record and returns it.
    pub(crate) fn remove(&mut self, key: &str) -> Option<Identity> {
        self.by_key.shift_remove(key)
    }

    /// Returns the identity of a process.
    pub(crate) fn find(&self, name: &str, incarnation: u64) -> Option<&Identity> {
        let is_same = |identity: &&Identity| {
            identity.incarnation == incarnation && identity.name.as_str() == name
        };
        self.by_key.values().find(is_same)
    }

    /// Returns the identity of a router that was recorded last.
    pub(crate) fn last_of(&self, name: &Name) -> Option<&Identity> {
        self.by_key.values().rfind(|identity| identity.name == *name)
    }

    /// Returns all identities.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Identity> {
        self.by_key.values()
    }
}
