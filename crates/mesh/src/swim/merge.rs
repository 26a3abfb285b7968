//! Merging updates of members.

use std::time::Duration;

use base::Name;

use super::machine::Action;
use super::machine::Swim;
use super::message::MemberUpdate;
use super::message::Update;
use super::roster::Entry;
use crate::State;
use crate::Version;

/// Time for which an unlisted router that is dead or has left is remembered.
const FORGET_TIME: Duration = Duration::from_secs(60);

impl Swim {
    /// Takes in the state of a member and passes it on if it is updates.
    pub(super) fn merge(&mut self, now: Duration, update: MemberUpdate) {
        if update.record.name == self.me.name {
            let is_own = update == self.own_update();
            let is_older_life = update.version.incarnation < self.version.incarnation;
            let is_harmless = update.state == State::Alive && update.version <= self.version;
            if !is_own && !is_older_life && !is_harmless {
                self.refute(update.version);
            }
            return;
        }
        let known = self.roster.entries.contains_key(&update.record.name);
        if !known && !update.state.is_live() {
            return;
        }
        let wait = self.suspect_time();
        let Some(entry) = self.roster.insert(&update.record) else { return };
        if !is_newer(entry, &update) {
            return;
        }
        let seen = (entry.state, entry.version.incarnation);
        if update.version.incarnation > entry.version.incarnation {
            entry.record = update.record.clone();
        }
        if entry.state != Some(update.state) {
            log::info!("mesh: member {} is {}", update.record.name, update.state);
        }
        entry.state = Some(update.state);
        entry.version = update.version;
        entry.since = now;
        entry.deadline = now + wait;
        entry.raised = false;
        entry.private = false;
        self.changed |= seen != (entry.state, entry.version.incarnation);
        self.updates.push(Update::Member(update));
    }

    /// Refutes that this router is suspect or dead at an version.
    pub(super) fn refute(&mut self, version: Version) {
        if self.leaves || version < self.version {
            return;
        }
        self.changed |= version.incarnation > self.version.incarnation;
        self.version = self.version.superseding(version);
        self.updates.push(Update::Member(self.own_update()));
    }

    /// Takes in updates that rode on a message. A router that is held for dead is heard only about itself.
    pub(super) fn apply_updates(&mut self, now: Duration, from: &Name, updates: Vec<Update>) {
        let trusted = self.roster.entries.get(from).is_some_and(Entry::is_live);
        for update in updates {
            match update {
                Update::Member(member) if trusted || member.record.name == *from => {
                    self.merge(now, member);
                }
                Update::Register(register) if trusted => {
                    if self.take_register(&register) {
                        self.actions.push(Action::Register(register));
                    }
                }
                Update::Member(_) | Update::Register(_) => {}
            }
        }
    }

    /// Judges a member by this router's own probes.
    pub(super) fn judge(&mut self, now: Duration, name: &Name, state: State) {
        let private = self.is_isolated(now);
        let wait = self.suspect_time();
        let Some(entry) = self.roster.entries.get_mut(name) else { return };
        log::info!("mesh: member {name} is {state}");
        entry.state = Some(state);
        entry.since = now;
        entry.deadline = now + wait;
        entry.raised = true;
        entry.private |= private;
        self.changed = true;
        if let Some(update) = entry.update() {
            self.updates.push(Update::Member(update));
        }
    }

    /// Holds those for dead that have not refuted in time.
    pub(super) fn expire_suspects(&mut self, now: Duration) {
        let due =
            self.roster.names(|entry| entry.state == Some(State::Suspect) && entry.deadline <= now);
        for name in due {
            self.judge(now, &name, State::Dead);
        }
    }

    /// Forgets those that are over and not listed.
    pub(super) fn forget(&mut self, now: Duration) {
        let before = self.roster.entries.len();
        self.roster.entries.retain(|_, entry| {
            entry.listed.is_some() || !entry.is_over() || now < entry.since + FORGET_TIME
        });
        self.changed |= before != self.roster.entries.len();
    }

    /// Returns the time to refute, which grows with the time that updates take to reach all.
    fn suspect_time(&self) -> Duration {
        let size = u16::try_from(self.roster.live_count() + 1).unwrap_or(u16::MAX);
        self.timing.suspect_timeout.mul_f64(f64::from(size).log10().max(1.0))
    }
}

fn is_newer(entry: &Entry, update: &MemberUpdate) -> bool {
    let Some(state) = entry.state else { return true };
    if entry.private && update.state == State::Alive {
        return update.version >= entry.version;
    }
    (update.version, update.state) > (entry.version, state)
}
