//! The other routers, and which of them are alive.

use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

/// How long a router counts as alive after its last heartbeat.
const ALIVE: Duration = Duration::from_millis(1_500);

/// What a router publishes of itself at its start.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Identity {
    /// The name of the instance.
    pub name: Name,
    /// A number that differs at each start of the process.
    pub incarnation: u64,
    /// Where it receives heartbeats.
    pub peers: SocketAddr,
    /// Where it accepts callers.
    pub callers: SocketAddr,
    /// Its part of a processor, in thousandths.
    pub share_milli: u32,
    /// The key by which its heartbeats are authenticated, in hexadecimal.
    pub key: String,
}

/// Another router.
#[derive(Debug, Clone)]
pub struct Member {
    /// What it has published of itself.
    pub identity: Identity,
    /// When its last heartbeat came.
    pub last_contact: Option<Duration>,
    /// The sequence number of that heartbeat.
    pub sequence: u64,
    /// Whether it takes callers.
    pub is_ready: bool,
    /// Whether it knows which keys hold.
    pub is_current: bool,
    /// Its requests in the last second.
    pub requests: u32,
}

/// What a heartbeat says of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// A number that rises with each heartbeat.
    pub sequence: u64,
    /// Whether the sender takes callers.
    pub is_ready: bool,
    /// Whether the sender knows which keys hold.
    pub is_current: bool,
    /// The sender's requests in the last second.
    pub requests: u32,
}

/// All other routers that have published an identity.
#[derive(Debug, Clone, Default)]
pub struct Members {
    members: IndexMap<Name, Member>,
}

impl Member {
    /// Returns whether a heartbeat came lately.
    #[must_use]
    pub fn is_alive(&self, now: Duration) -> bool {
        self.last_contact.is_some_and(|last| now < last + ALIVE)
    }
}

impl Members {
    /// Takes in an identity; that of a new start replaces the old one.
    pub fn put(&mut self, identity: Identity) {
        let known = self.members.get(&identity.name);
        if known.is_some_and(|member| member.identity == identity) {
            return;
        }
        let name = identity.name.clone();
        let member = Member {
            identity,
            last_contact: None,
            sequence: 0,
            is_ready: false,
            is_current: false,
            requests: 0,
        };
        self.members.insert(name, member);
    }

    /// Forgets a router that has withdrawn its identity.
    pub fn remove(&mut self, name: &str) {
        self.members.shift_remove(name);
    }

    /// Returns a router.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Takes in a heartbeat; returns false for one that is not newer than the last.
    pub fn record_heartbeat(&mut self, now: Duration, name: &str, status: MemberStatus) -> bool {
        let Some(member) = self.members.get_mut(name) else { return false };
        if member.last_contact.is_some() && status.sequence <= member.sequence {
            return false;
        }
        member.last_contact = Some(now);
        member.sequence = status.sequence;
        member.is_ready = status.is_ready;
        member.is_current = status.is_current;
        member.requests = status.requests;
        true
    }

    /// Returns all routers.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the routers that callers may be sent to.
    pub fn ready(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.is_ready && member.is_alive(now))
    }
}
