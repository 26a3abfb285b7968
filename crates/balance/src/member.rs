//! The other routers of the fleet and their state.

use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

/// The time after the last heartbeat for which a router counts as alive.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(1_500);

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
}

/// Another router.
#[derive(Debug, Clone)]
pub struct Member {
    /// The identity that it has published.
    pub identity: Identity,
    /// The time of its last heartbeat, or `None` before the first one.
    pub last_contact: Option<Duration>,
    /// The sequence number of that heartbeat.
    pub sequence: u64,
    /// Whether it accepts callers.
    pub is_ready: bool,
    /// Whether it knows which API keys are valid.
    pub is_current: bool,
    /// The number of its requests in the last second.
    pub requests: u32,
}

/// The state of its sender that a heartbeat reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// The sequence number, which increases with each heartbeat.
    pub sequence: u64,
    /// Whether the sender accepts callers.
    pub is_ready: bool,
    /// Whether the sender knows which API keys are valid.
    pub is_current: bool,
    /// The number of the sender's requests in the last second.
    pub requests: u32,
}

/// All other routers that have published an identity.
#[derive(Debug, Clone, Default)]
pub struct Members {
    members: IndexMap<Name, Member>,
}

impl Member {
    /// Returns whether a heartbeat was received recently.
    #[must_use]
    pub fn is_alive(&self, now: Duration) -> bool {
        self.last_contact.is_some_and(|contact| now < contact + ALIVE_TIMEOUT)
    }
}

impl Members {
    /// Records an identity; that of a new incarnation replaces the old one.
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

    /// Removes a router that has withdrawn its identity.
    pub fn remove(&mut self, name: &str) {
        self.members.shift_remove(name);
    }

    /// Returns a router by its name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Records a heartbeat; returns `false` if the sender is unknown or the heartbeat is not newer than the last one.
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

    /// Returns the routers to which callers may be directed.
    pub fn ready(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.is_ready && member.is_alive(now))
    }
}
