//! The state machine: its parts, its inputs and its outputs.

use std::mem;
use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use indexmap::IndexSet;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use super::message::Kind;
use super::message::MESSAGE_LIMIT;
use super::message::MemberUpdate;
use super::message::Message;
use super::message::Suspicion;
use super::message::Update;
use super::probe::Prober;
use super::roster::Entry;
use super::roster::Roster;
use super::updates::Queue;
use crate::Candidate;
use crate::Member;
use crate::Record;
use crate::Register;
use crate::RegisterTable;
use crate::State;
use crate::Version;

/// Time from one comparison with a random member to the next.
pub(super) const SYNC_PERIOD: Duration = Duration::from_secs(2);
/// Members that are told of updates at once.
const INFORM_COUNT: usize = 3;
/// Members that are told of the own end.
const FAREWELL_COUNT: usize = 16;
/// How often updates are sent, for each doubling of the fleet.
const RETRANSMIT_FACTOR: u32 = 3;

/// The times by which others are judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time from one direct probe to the next.
    pub probe_period: Duration,
    /// Time without an answer after which a probe takes other ways.
    pub probe_timeout: Duration,
    /// Time in which a suspected member of a small fleet can refute.
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

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a member.
    Send {
        /// The receiver.
        to: Name,
        /// The message.
        message: Message,
    },
    /// Send a message back on the connection of the message just received.
    Reply(Message),
    /// Open a new connection to a member before anything else is sent to it.
    Reconnect(Name),
    /// Tell of the changed view of the members.
    MembersChanged,
    /// Tell of a register taken in.
    Register(Register),
}

/// The membership protocol of one router.
#[derive(Debug)]
pub struct Swim {
    pub(super) me: Record,
    pub(super) version: Version,
    pub(super) leaves: bool,
    pub(super) timing: Timing,
    pub(super) roster: Roster,
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
    /// Creates the state machine of a router that knows nobody.
    #[must_use]
    pub fn new(me: Record, incarnation: u64, timing: Timing, seed: u64) -> Self {
        Self {
            me,
            version: Version { incarnation, refutation: 0 },
            leaves: false,
            timing,
            roster: Roster::default(),
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

    /// Takes in the platform's instance list.
    pub fn set_candidates(&mut self, list: &[Candidate]) {
        if let Some(own) = list.iter().find(|candidate| candidate.name == self.me.name) {
            self.me.address = own.address;
        }
        self.roster.list(list, &self.me.name);
    }

    /// Takes in who has opened a link.
    pub fn accept(&mut self, now: Duration, record: Record, version: Version) -> Vec<Action> {
        self.merge(now, MemberUpdate { record, version, state: State::Alive });
        self.outcome()
    }

    /// Takes in a message of a known router.
    pub fn receive(&mut self, now: Duration, from: &Name, message: Message) -> Vec<Action> {
        if let Some(entry) = self.roster.entries.get(from) {
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
        self.outcome()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.excuse_pause(now);
        self.expire_probes(now);
        self.expire_suspects(now);
        self.forget(now);
        self.start_probes(now);
        self.start_sync(now);
        self.outcome()
    }

    /// Takes in a register of this router and spreads it.
    pub fn publish(&mut self, register: &Register) -> Vec<Action> {
        self.take_register(register);
        self.outcome()
    }

    /// Announces that this router leaves.
    pub fn leave(&mut self) -> Vec<Action> {
        self.leaves = true;
        self.updates.push(Update::Member(self.own_update()));
        self.inform(FAREWELL_COUNT);
        self.outcome()
    }

    /// Returns all members, this router included.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let me = Member {
            name: self.me.name.clone(),
            zone: self.me.zone.clone(),
            region: self.me.region.clone(),
            incarnation: self.version.incarnation,
            state: self.own_update().state,
        };
        let mut members: Vec<Member> = self.roster.members().collect();
        members.push(me);
        members.sort_by(|one, other| one.name.cmp(&other.name));
        members
    }

    /// Returns all registers.
    #[must_use]
    pub fn registers(&self) -> Vec<Register> {
        self.registers.iter().cloned().collect()
    }

    /// Returns the address of another router: the listed one, or its own word while it is not listed.
    #[must_use]
    pub fn address(&self, name: &Name) -> Option<SocketAddr> {
        let entry = self.roster.entries.get(name)?;
        Some(entry.listed.unwrap_or(entry.record.address))
    }

    /// Returns whether frames for a router may arrive: it is known and not held for dead.
    #[must_use]
    pub fn is_reachable(&self, name: &Name) -> bool {
        self.roster.entries.get(name).is_some_and(|entry| !entry.is_over())
    }

    /// Returns all other routers that are listed or remembered.
    #[must_use]
    pub fn known_names(&self) -> IndexSet<Name> {
        self.roster.entries.keys().cloned().collect()
    }

    /// Returns the version of this router.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns who this router says it is.
    #[must_use]
    pub const fn record(&self) -> &Record {
        &self.me
    }

    /// Returns whether a router of this name and version may open a link.
    #[must_use]
    pub fn admits(&self, name: &Name, version: Version) -> bool {
        if *name == self.me.name {
            return false;
        }
        match self.roster.entries.get(name) {
            Some(entry) => version.incarnation >= entry.version.incarnation,
            None => !self.roster.has_list,
        }
    }

    pub(super) fn own_update(&self) -> MemberUpdate {
        let state = if self.leaves { State::Left } else { State::Alive };
        MemberUpdate { record: self.me.clone(), version: self.version, state }
    }

    /// Sends a message with what is held against the receiver and with as much updates as fits.
    pub(super) fn send(&mut self, to: &Name, kind: Kind) {
        let message = self.compose(to, kind);
        self.actions.push(Action::Send { to: to.clone(), message });
    }

    pub(super) fn reply(&mut self, to: &Name, kind: Kind) {
        let message = self.compose(to, kind);
        self.actions.push(Action::Reply(message));
    }

    fn compose(&mut self, to: &Name, kind: Kind) -> Message {
        let mut message = self.bare(to, kind);
        let budget = MESSAGE_LIMIT - message.encode().len() - 2;
        message.updates = self.updates.take(budget, self.retransmits());
        message
    }

    pub(super) fn bare(&self, to: &Name, kind: Kind) -> Message {
        let update = self.roster.entries.get(to).and_then(Entry::update);
        let suspicion = update
            .filter(|update| update.state != State::Alive)
            .map(|update| Suspicion { version: update.version, state: update.state });
        Message { version: self.version, suspicion, kind, updates: Vec::new() }
    }

    /// Tells a few random members of the updates.
    pub(super) fn inform(&mut self, count: usize) {
        for to in self.pick(count, &[]) {
            self.send(&to, Kind::Gossip);
        }
    }

    /// Spreads a register that was taken in.
    pub(super) fn take_register(&mut self, register: &Register) -> bool {
        if !self.registers.merge(register) {
            return false;
        }
        self.updates.push(Update::Register(register.clone()));
        self.inform(INFORM_COUNT);
        true
    }

    /// Returns up to `count` random live members that are not among `without`.
    pub(super) fn pick(&mut self, count: usize, without: &[&Name]) -> Vec<Name> {
        let live = self.roster.names(|entry| entry.state == Some(State::Alive));
        let fit: Vec<Name> = live.into_iter().filter(|name| !without.contains(&name)).collect();
        fit.choose_multiple(&mut self.random, count).cloned().collect()
    }

    fn retransmits(&self) -> u32 {
        let size = self.roster.live_count() + 1;
        RETRANSMIT_FACTOR * (usize::BITS - size.leading_zeros())
    }

    fn outcome(&mut self) -> Vec<Action> {
        if mem::take(&mut self.changed) {
            self.actions.push(Action::MembersChanged);
        }
        mem::take(&mut self.actions)
    }
}
