//! The other routers of the fleet and their state.

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

use crate::Identity;
use crate::identity::Identities;
use crate::rendezvous;

/// The time after the last heartbeat for which a router counts as alive.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time after the last heartbeat for which a router counts as alive if other routers report the heartbeat.
const REPORTED_ALIVE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Another router.
#[derive(Debug, Clone)]
pub struct Member {
    /// The identity of its newest process that is known to run.
    pub identity: Identity,
    /// The time of its last heartbeat that this router has received, or `None` before the first one.
    pub last_contact: Option<Duration>,
    /// The sequence number of that heartbeat.
    pub sequence: u64,
    /// The time at which it last sent the sums of its zone to this router.
    pub sent_sums_at: Option<Duration>,
    /// The positions after the last changes that it has read, by topic of the store.
    pub last_changes: Vec<u64>,
    /// Its newest known state.
    pub status: MemberStatus,
    status_at: Option<Duration>,
    alive_until: Duration,
}

/// The state of a router that it reports in its heartbeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether it accepts callers.
    pub is_ready: bool,
    /// Whether it knows which API keys are valid.
    pub is_current: bool,
    /// The number of its requests in the last second.
    pub requests: u32,
    /// The number of routers of its zone from which it has heard recently.
    pub heard: u32,
    /// Whether its last call to the store succeeded.
    pub reaches_store: bool,
}

/// All other routers that have published an identity.
#[derive(Debug, Clone, Default)]
pub struct Members {
    identities: Identities,
    members: IndexMap<Name, Member>,
}

impl Member {
    const fn new(identity: Identity) -> Self {
        Self {
            identity,
            last_contact: None,
            sequence: 0,
            sent_sums_at: None,
            last_changes: Vec::new(),
            status: MemberStatus {
                is_ready: false,
                is_current: false,
                requests: 0,
                heard: 0,
                reaches_store: true,
            },
            status_at: None,
            alive_until: Duration::ZERO,
        }
    }

    /// Returns whether a heartbeat was received recently, by this router or one that reports it.
    #[must_use]
    pub fn is_alive(&self, now: Duration) -> bool {
        now < self.alive_until
    }

    /// Returns whether this router has received a heartbeat within a time span.
    #[must_use]
    pub fn was_heard_within(&self, now: Duration, span: Duration) -> bool {
        self.last_contact.is_some_and(|contact| now < contact + span)
    }

    /// Returns whether a router in `zone` exchanges heartbeats with this one directly.
    #[must_use]
    pub fn is_direct(&self, zone: &Name) -> bool {
        self.identity.zone.as_ref().is_none_or(|own| own == zone)
    }

    fn record_status(&mut self, at: Duration, alive_until: Duration, status: MemberStatus) {
        self.alive_until = self.alive_until.max(alive_until);
        if self.status_at.is_none_or(|known| at >= known) {
            self.status_at = Some(at);
            self.status = status;
        }
    }
}

impl Members {
    /// Records the identity of the record with this key.
    ///
    /// A router that is alive keeps its identity until one of another process has sent a heartbeat, since records may be
    /// written late.
    pub fn put(&mut self, now: Duration, key: &str, identity: Identity) {
        let known = self.members.get(&identity.name);
        let keeps = known.is_some_and(|known| known.identity == identity || known.is_alive(now));
        let replaced = self.identities.put(key, identity.clone());
        if !keeps {
            self.members.insert(identity.name.clone(), Member::new(identity));
        } else if let Some(replaced) = replaced.filter(|replaced| *replaced != identity) {
            self.forget(&replaced);
        }
    }

    /// Records that the record with this key was removed.
    pub fn remove(&mut self, key: &str) {
        if let Some(removed) = self.identities.remove(key) {
            self.forget(&removed);
        }
    }

    /// Ends the use of an identity that is no longer published; the router stays known by another one, if there is one.
    fn forget(&mut self, identity: &Identity) {
        let name = &identity.name;
        if self.members.get(name).is_none_or(|member| member.identity != *identity) {
            return;
        }
        match self.identities.last_of(name) {
            Some(other) => {
                self.members.insert(name.clone(), Member::new(other.clone()));
            }
            None => {
                self.members.shift_remove(name);
            }
        }
    }

    /// Takes a process for the one that runs, if it has published an identity.
    fn switch_to(&mut self, name: &str, incarnation: u64) {
        let is_current = |member: &Member| member.identity.incarnation == incarnation;
        if self.members.get(name).is_some_and(is_current) {
            return;
        }
        if let Some(identity) = self.identities.find(name, incarnation) {
            self.members.insert(identity.name.clone(), Member::new(identity.clone()));
        }
    }

    /// Returns the identity that a process has published.
    #[must_use]
    pub fn identity(&self, name: &str, incarnation: u64) -> Option<&Identity> {
        let current = self.get(name).map(|member| &member.identity);
        let current = current.filter(|identity| identity.incarnation == incarnation);
        current.or_else(|| self.identities.find(name, incarnation))
    }

    /// Returns all published identities, of which a router may have several.
    pub fn identities(&self) -> impl Iterator<Item = &Identity> {
        self.identities.iter()
    }

    /// Returns a router by its name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns whether a router is known and alive.
    #[must_use]
    pub fn is_alive(&self, now: Duration, name: &str) -> bool {
        self.get(name).is_some_and(|member| member.is_alive(now))
    }

    /// Records a heartbeat; returns `false` if the sender is unknown or the heartbeat is not newer than the last one.
    pub fn record_heartbeat(
        &mut self,
        now: Duration,
        name: &str,
        incarnation: u64,
        sequence: u64,
        status: MemberStatus,
    ) -> bool {
        self.switch_to(name, incarnation);
        let Some(member) = self.members.get_mut(name) else { return false };
        if member.last_contact.is_some() && sequence <= member.sequence {
            return false;
        }
        member.last_contact = Some(now);
        member.sequence = sequence;
        member.record_status(now, now + ALIVE_TIMEOUT, status);
        true
    }

    /// Records the positions after the last changes that a router has read, by topic of the store.
    pub fn record_last_changes(&mut self, name: &str, last_changes: Vec<u64>) {
        if let Some(member) = self.members.get_mut(name) {
            member.last_changes = last_changes;
        }
    }

    /// Records that a router has sent the sums of its zone.
    pub fn record_sums(&mut self, now: Duration, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.sent_sums_at = Some(now);
        }
    }

    /// Records the state of a router that the aggregator of its zone reports, and the time of the heartbeat on which it is
    /// based.
    pub fn record_report(
        &mut self,
        heartbeat_at: Duration,
        name: &str,
        incarnation: u64,
        status: MemberStatus,
    ) {
        let is_newer = |known: &Member| known.status_at.is_none_or(|at| heartbeat_at > at);
        if self.get(name).is_some_and(is_newer) {
            self.switch_to(name, incarnation);
        }
        let member = self.members.get_mut(name);
        if let Some(member) = member.filter(|known| known.identity.incarnation == incarnation) {
            member.record_status(heartbeat_at, heartbeat_at + REPORTED_ALIVE_TIMEOUT, status);
        }
    }

    /// Returns all routers.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the other routers that exchange heartbeats with a router in `zone` directly.
    pub fn direct<'a>(&'a self, zone: &'a Name) -> impl Iterator<Item = &'a Member> {
        self.members.values().filter(move |member| member.is_direct(zone))
    }

    /// Returns the routers of other zones than `zone`, by zone.
    #[must_use]
    pub fn by_other_zone(&self, zone: &Name) -> IndexMap<&Name, Vec<&Member>> {
        let mut zones: IndexMap<&Name, Vec<&Member>> = IndexMap::new();
        for member in self.members.values() {
            if let Some(other) = member.identity.zone.as_ref().filter(|other| *other != zone) {
                zones.entry(other).or_default().push(member);
            }
        }
        zones
    }

    /// Returns at most `count` live routers, chosen by a number that differs from call to call.
    #[must_use]
    pub fn sample(&self, now: Duration, number: u64, count: usize) -> Vec<&Member> {
        let mut alive: Vec<&Member> = self.ready(now).collect();
        alive
            .sort_by_cached_key(|member| rendezvous::weight(number, member.identity.name.as_str()));
        alive.truncate(count);
        alive
    }

    /// Returns the routers to which callers may be directed.
    pub fn ready(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.status.is_ready && member.is_alive(now))
    }
}
