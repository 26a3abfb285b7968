//! The state machine with its inputs and outputs.

use std::mem;
use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use indexmap::IndexSet;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use super::membership::Entry;
use super::membership::Membership;
use super::message::Kind;
use super::message::MESSAGE_LIMIT;
use super::message::MemberUpdate;
use super::message::Message;
use super::message::Suspicion;
use super::message::Update;
use super::probe::Prober;
use super::updates::Queue;
use crate::Candidate;
use crate::Member;
use crate::Record;
use crate::Register;
use crate::RegisterTable;
use crate::State;
use crate::Version;

/// Interval between comparisons with a random member.
pub(super) const SYNC_PERIOD: Duration = Duration::from_secs(2);
/// Number of random members to which a newer register is sent at once.
const GOSSIP_COUNT: usize = 3;
/// Number of random members to which a router announces that it leaves.
const LEAVE_COUNT: usize = 16;
/// Number of times that an update is sent for each doubling of the fleet.
const RETRANSMIT_FACTOR: u32 = 3;

/// The periods and timeouts of the failure detector.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Interval between direct probes.
    pub probe_period: Duration,
    /// Time without an answer after which indirect probes start.
    pub probe_timeout: Duration,
    /// Time in which a suspected member of a small fleet can refute the suspicion.
    pub suspect_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(300),
            probe_timeout: Duration::from_millis(100),
            suspect_timeout: Duration::from_millis(900),
        }
    }
}

/// An action that the caller has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a member.
    Send {
        /// The receiver.
        to: Name,
        /// The message.
        message: Message,
    },
    /// Send a message on the connection on which the last message was received.
    Reply(Message),
    /// Open a new connection to a member before anything else is sent to it.
    Reconnect(Name),
    /// Report that the view of the members has changed.
    MembersChanged,
    /// Report a register that was received and applied.
    Register(Register),
}

/// The membership protocol of one router.
#[derive(Debug)]
pub struct Swim {
    pub(super) local: Record,
    pub(super) version: Version,
    pub(super) is_leaving: bool,
    pub(super) timing: Timing,
    pub(super) membership: Membership,
    pub(super) registers: RegisterTable,
    pub(super) updates: Queue,
    pub(super) prober: Prober,
    pub(super) next_sync: Duration,
    pub(super) last_tick: Duration,
    pub(super) actions: Vec<Action>,
    pub(super) changed: bool,
    pub(super) random: StdRng,
}

impl Swim {
    /// Creates the state machine of a router that knows no other router.
    #[must_use]
    pub fn new(local: Record, incarnation: u64, timing: Timing, seed: u64) -> Self {
        Self {
            local,
            version: Version { incarnation, refutation: 0 },
            is_leaving: false,
            timing,
            membership: Membership::default(),
            registers: RegisterTable::default(),
            updates: Queue::default(),
            prober: Prober::default(),
            next_sync: SYNC_PERIOD,
            last_tick: Duration::ZERO,
            actions: Vec::new(),
            changed: false,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Updates the candidates from the platform's instance list. An empty list is ignored.
    pub fn set_candidates(&mut self, list: &[Candidate]) {
        if let Some(own) = list.iter().find(|candidate| candidate.name == self.local.name) {
            self.local.address = own.address;
        }
        self.membership.set_list(list, &self.local.name);
    }

    /// Records that a router has opened a link.
    pub fn accept(&mut self, now: Duration, record: Record, version: Version) -> Vec<Action> {
        self.merge(now, MemberUpdate { record, version, state: State::Alive });
        self.take_actions()
    }

    /// Handles a message of a known router.
    pub fn receive(&mut self, now: Duration, from: &Name, message: Message) -> Vec<Action> {
        if let Some(entry) = self.membership.entries.get(from) {
            let record = entry.record.clone();
            let is_new = message.version > entry.version;
            if is_new {
                self.merge(
                    now,
                    MemberUpdate { record, version: message.version, state: State::Alive },
                );
            }
            if let Some(suspicion) = message.suspicion {
                self.refute(suspicion.version);
            }
            self.apply_updates(now, from, message.updates);
            self.handle(now, from, message.version, message.kind);
        }
        self.take_actions()
    }

    /// Advances to the given time: expires probes and suspicions and starts those that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.compensate_pause(now);
        self.expire_probes(now);
        self.expire_suspects(now);
        self.remove_expired(now);
        self.start_probes(now);
        self.start_sync(now);
        self.take_actions()
    }

    /// Applies a register of this router and disseminates it.
    pub fn publish(&mut self, register: &Register) -> Vec<Action> {
        self.apply_register(register);
        self.take_actions()
    }

    /// Announces that this router leaves.
    pub fn leave(&mut self) -> Vec<Action> {
        self.is_leaving = true;
        self.updates.push(Update::Member(self.own_update()));
        self.gossip(LEAVE_COUNT);
        self.take_actions()
    }

    /// Returns all members, including this router.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let me = Member {
            name: self.local.name.clone(),
            zone: self.local.zone.clone(),
            region: self.local.region.clone(),
            incarnation: self.version.incarnation,
            state: self.own_update().state,
        };
        let mut members: Vec<Member> = self.membership.members().collect();
        members.push(me);
        members.sort_by(|one, other| one.name.cmp(&other.name));
        members
    }

    /// Returns all registers.
    #[must_use]
    pub fn registers(&self) -> Vec<Register> {
        self.registers.iter().cloned().collect()
    }

    /// Returns the address of another router: the one on the instance list, or else the one that it has announced.
    #[must_use]
    pub fn address(&self, name: &Name) -> Option<SocketAddr> {
        let entry = self.membership.entries.get(name)?;
        Some(entry.listed_address.unwrap_or(entry.record.address))
    }

    /// Returns whether frames can be sent to a router: it is known and has neither died nor left.
    #[must_use]
    pub fn is_reachable(&self, name: &Name) -> bool {
        self.membership.entries.get(name).is_some_and(|entry| !entry.has_ended())
    }

    /// Returns the incarnation of a router, if an update about it was received.
    #[must_use]
    pub fn incarnation(&self, name: &Name) -> Option<u64> {
        let entry = self.membership.entries.get(name)?;
        entry.state.map(|_| entry.version.incarnation)
    }

    /// Returns the names of all other routers that are listed or known.
    #[must_use]
    pub fn known_names(&self) -> IndexSet<Name> {
        self.membership.entries.keys().cloned().collect()
    }

    /// Returns the version of this router.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the record that this router announces.
    #[must_use]
    pub const fn record(&self) -> &Record {
        &self.local
    }

    /// Returns whether a router with this name and version may open a link.
    #[must_use]
    pub fn admits(&self, name: &Name, version: Version) -> bool {
        if *name == self.local.name {
            return false;
        }
        match self.membership.entries.get(name) {
            Some(entry) => version.incarnation >= entry.version.incarnation,
            None => !self.membership.has_list,
        }
    }

    pub(super) fn own_update(&self) -> MemberUpdate {
        let state = if self.is_leaving { State::Left } else { State::Alive };
        MemberUpdate { record: self.local.clone(), version: self.version, state }
    }

    /// Sends a message with a suspicion of the receiver, if there is one, and as many updates as fit.
    pub(super) fn send(&mut self, to: &Name, kind: Kind) {
        let message = self.compose(to, kind);
        self.actions.push(Action::Send { to: to.clone(), message });
    }

    pub(super) fn reply(&mut self, to: &Name, kind: Kind) {
        let message = self.compose(to, kind);
        self.actions.push(Action::Reply(message));
    }

    fn compose(&mut self, to: &Name, kind: Kind) -> Message {
        let mut message = self.compose_without_updates(to, kind);
        let budget = MESSAGE_LIMIT - message.encode().len() - 2;
        message.updates = self.updates.take(budget, self.transmit_limit());
        message
    }

    pub(super) fn compose_without_updates(&self, to: &Name, kind: Kind) -> Message {
        let update = self.membership.entries.get(to).and_then(Entry::update);
        let suspicion = update
            .filter(|update| update.state != State::Alive)
            .map(|update| Suspicion { version: update.version, state: update.state });
        Message { version: self.version, suspicion, kind, updates: Vec::new() }
    }

    /// Sends the queued updates to `count` random members.
    pub(super) fn gossip(&mut self, count: usize) {
        for to in self.random_members(count, &[]) {
            self.send(&to, Kind::Gossip);
        }
    }

    /// Applies a register, and disseminates it if it is newer. Returns whether it was applied.
    pub(super) fn apply_register(&mut self, register: &Register) -> bool {
        if !self.registers.merge(register) {
            return false;
        }
        self.updates.push(Update::Register(register.clone()));
        self.gossip(GOSSIP_COUNT);
        true
    }

    /// Returns up to `count` random alive members, except those in `excluded`.
    pub(super) fn random_members(&mut self, count: usize, excluded: &[&Name]) -> Vec<Name> {
        let alive = self.membership.names(|entry| entry.state == Some(State::Alive));
        let eligible: Vec<Name> =
            alive.into_iter().filter(|name| !excluded.contains(&name)).collect();
        eligible.choose_multiple(&mut self.random, count).cloned().collect()
    }

    fn transmit_limit(&self) -> u32 {
        let size = self.membership.live_count() + 1;
        RETRANSMIT_FACTOR * (usize::BITS - size.leading_zeros())
    }

    fn take_actions(&mut self) -> Vec<Action> {
        if mem::take(&mut self.changed) {
            self.actions.push(Action::MembersChanged);
        }
        mem::take(&mut self.actions)
    }
}
