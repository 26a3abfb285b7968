//! Merging of member updates into the view of this router.

use std::time::Duration;

use base::Name;

use super::machine::Action;
use super::machine::Swim;
use super::membership::Entry;
use super::message::MemberUpdate;
use super::message::Update;
use crate::State;
use crate::Version;

/// Time for which the entry of an unlisted router that is dead or has left is kept.
const RETENTION_TIME: Duration = Duration::from_secs(60);

impl Swim {
    /// Merges an update of a member, and disseminates it if it is newer than the known state.
    pub(super) fn merge(&mut self, now: Duration, update: MemberUpdate) {
        if update.record.name == self.local.name {
            let is_own = update == self.own_update();
            let is_earlier_process = update.version.incarnation < self.version.incarnation;
            let is_harmless = update.state == State::Alive && update.version <= self.version;
            if !is_own && !is_earlier_process && !is_harmless {
                self.refute(update.version);
            }
            return;
        }
        let known = self.membership.entries.contains_key(&update.record.name);
        if !known && !update.state.is_live() {
            return;
        }
        let refute_time = self.suspicion_timeout();
        let Some(entry) = self.membership.insert(&update.record) else { return };
        if !is_newer(entry, &update) {
            return;
        }
        let previous = (entry.state, entry.version.incarnation);
        if update.version.incarnation > entry.version.incarnation {
            entry.record = update.record.clone();
        }
        if entry.state != Some(update.state) {
            log::info!("mesh: member {} is {}", update.record.name, update.state);
        }
        entry.state = Some(update.state);
        entry.version = update.version;
        entry.state_since = now;
        entry.deadline = now + refute_time;
        entry.is_own_suspicion = false;
        entry.is_local = false;
        self.changed |= previous != (entry.state, entry.version.incarnation);
        self.updates.push(Update::Member(update));
    }

    /// Refutes the claim that this router is suspect or dead at a version.
    pub(super) fn refute(&mut self, version: Version) {
        if self.is_leaving || version < self.version {
            return;
        }
        self.changed |= version.incarnation > self.version.incarnation;
        self.version = self.version.superseding(version);
        self.updates.push(Update::Member(self.own_update()));
    }

    /// Applies the updates of a message. From a router that is considered dead, only updates about itself are applied.
    pub(super) fn apply_updates(&mut self, now: Duration, from: &Name, updates: Vec<Update>) {
        let is_trusted = self.membership.entries.get(from).is_some_and(Entry::is_live);
        for update in updates {
            match update {
                Update::Member(member) if is_trusted || member.record.name == *from => {
                    self.merge(now, member);
                }
                Update::Register(register) if is_trusted => {
                    if self.apply_register(&register) {
                        self.actions.push(Action::Register(register));
                    }
                }
                Update::Member(_) | Update::Register(_) => {}
            }
        }
    }

    /// Declares the state of a member from the probes of this router.
    pub(super) fn declare(&mut self, now: Duration, name: &Name, state: State) {
        let is_local = self.is_isolated(now);
        let refute_time = self.suspicion_timeout();
        let Some(entry) = self.membership.entries.get_mut(name) else { return };
        log::info!("mesh: member {name} is {state}");
        entry.state = Some(state);
        entry.state_since = now;
        entry.deadline = now + refute_time;
        entry.is_own_suspicion = true;
        entry.is_local |= is_local;
        self.changed = true;
        if let Some(update) = entry.update() {
            self.updates.push(Update::Member(update));
        }
    }

    /// Declares the members dead that have not refuted a suspicion in time.
    pub(super) fn expire_suspects(&mut self, now: Duration) {
        let expired = self
            .membership
            .names(|entry| entry.state == Some(State::Suspect) && entry.deadline <= now);
        for name in expired {
            self.declare(now, &name, State::Dead);
        }
    }

    /// Removes unlisted members that are dead or have left once their retention time is over.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        let before = self.membership.entries.len();
        self.membership.entries.retain(|_, entry| {
            entry.listed_address.is_some()
                || !entry.has_ended()
                || now < entry.state_since + RETENTION_TIME
        });
        self.changed |= before != self.membership.entries.len();
    }

    /// Returns the time to refute a suspicion, which grows with the time in which updates reach all members.
    fn suspicion_timeout(&self) -> Duration {
        let size = u16::try_from(self.membership.live_count() + 1).unwrap_or(u16::MAX);
        self.timing.suspect_timeout.mul_f64(f64::from(size).log10().max(1.0))
    }
}

fn is_newer(entry: &Entry, update: &MemberUpdate) -> bool {
    let Some(state) = entry.state else { return true };
    if entry.is_local && update.state == State::Alive {
        return update.version >= entry.version;
    }
    (update.version, update.state) > (entry.version, state)
}
