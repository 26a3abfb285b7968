//! The runners that are known, by what they say of themselves in the platform's store.

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;
use indexmap::IndexSet;
use slotmap::SlotMap;

use crate::Key;
use crate::Registration;
use crate::Runner;

/// How long an entry that lapsed while the store was away may take to come back.
const RETURN: Duration = Duration::from_millis(2_500);

/// The time by which a runner must stay cold for longer than known to be news.
const COLD_NEWS: Duration = Duration::from_millis(300);

/// The runners, and the zones that are taken out.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    runners: SlotMap<Key, Runner>,
    ids: IndexMap<Name, Key>,
    out: IndexSet<Name>,
    is_store_away: bool,
    settled_at: Duration,
    lapsed: IndexMap<Name, Duration>,
}

impl Registry {
    /// Takes in an entry; a new incarnation of a known id replaces the old one.
    pub fn put(&mut self, now: Duration, registration: &Registration) -> Key {
        self.lapsed.swap_remove(&registration.id);
        if let Some(key) = self.ids.get(&registration.id).copied() {
            let runner = &mut self.runners[key];
            let known = &runner.registration;
            if known.started_ms == registration.started_ms && known.address == registration.address
            {
                if registration.sequence >= known.sequence {
                    runner.update(now, registration);
                }
                return key;
            }
            if known.started_ms > registration.started_ms {
                return key;
            }
            self.remove(&registration.id);
        }
        let key = self.runners.insert(Runner::new(now, registration.clone()));
        self.ids.insert(registration.id.clone(), key);
        key
    }

    /// Forgets a runner that has left.
    pub fn remove(&mut self, id: &Name) {
        if let Some(key) = self.ids.swap_remove(id) {
            self.runners.remove(key);
        }
    }

    /// Returns whether an entry says more than that the runner lives.
    #[must_use]
    pub fn is_change(&self, now: Duration, registration: &Registration) -> bool {
        let known = self.find(registration.id.as_str()).and_then(|key| self.get(key));
        known.is_none_or(|known| {
            let is_colder = now + registration.cold_left > known.cold_until + COLD_NEWS;
            let known = &known.registration;
            known.started_ms != registration.started_ms
                || known.is_draining != registration.is_draining
                || known.address != registration.address
                || (is_colder && registration.cold_left > Duration::ZERO)
                || self.lapsed.contains_key(&registration.id)
        })
    }

    /// Takes in that the store has no entry of a runner any more.
    ///
    /// Entries lapse while the store is away and come back after it, so such a runner is kept for a while.
    pub fn expire(&mut self, now: Duration, id: &Name) {
        if self.is_store_away || now < self.settled_at {
            self.lapsed.insert(id.clone(), self.settled_at.max(now));
        } else {
            self.remove(id);
        }
    }

    /// Takes in that the store does not answer.
    pub const fn store_lost(&mut self) {
        self.is_store_away = true;
    }

    /// Takes in that the store answers again.
    pub fn store_regained(&mut self, now: Duration) {
        if self.is_store_away {
            self.is_store_away = false;
            self.settled_at = now + RETURN;
            for due in self.lapsed.values_mut() {
                *due = now + RETURN;
            }
        }
    }

    /// Forgets the runners whose entries have not come back in time.
    pub fn remove_expired(&mut self, now: Duration) {
        if self.is_store_away {
            return;
        }
        let due = self.lapsed.iter().filter(|(_, due)| now >= **due);
        let gone: Vec<Name> = due.map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.lapsed.swap_remove(&id);
            self.remove(&id);
        }
    }

    /// Replaces the zones that are taken out; runners of a zone that is taken back are cold for `cold`.
    pub fn set_zones_out(&mut self, now: Duration, out: IndexSet<Name>, cold: Duration) {
        for zone in self.out.difference(&out) {
            for runner in
                self.runners.values_mut().filter(|runner| runner.registration.zone == *zone)
            {
                runner.cold_until = runner.cold_until.max(now + cold);
                runner.prefix_cache.clear();
            }
        }
        self.out = out;
    }

    /// Returns whether a zone is taken out.
    #[must_use]
    pub fn is_zone_out(&self, zone: &Name) -> bool {
        self.out.contains(zone)
    }

    /// Returns the ids of all known runners.
    pub fn ids(&self) -> impl Iterator<Item = &Name> {
        self.ids.keys()
    }

    /// Returns the key of a runner by its id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<Key> {
        self.ids.get(id).copied()
    }

    /// Returns a runner, if it is still known.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Runner> {
        self.runners.get(key)
    }

    /// Returns a runner to change it, if it is still known.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Runner> {
        self.runners.get_mut(key)
    }

    /// Returns all runners.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Runner)> {
        self.runners.iter()
    }

    /// Returns the runners of a service that may be sent requests.
    ///
    /// A runner whose entry has lapsed is left out, unless most entries of its service have: then the store was away.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (Key, &'a Runner)> {
        let uses_lapsed = self.has_lapsed_mostly(service);
        let all = self.runners.iter();
        let own = all.filter(move |(_, runner)| runner.registration.service.as_str() == service);
        own.filter(move |(_, runner)| {
            let is_listed = uses_lapsed || !self.lapsed.contains_key(&runner.registration.id);
            is_listed
                && !runner.registration.is_draining
                && !self.is_zone_out(&runner.registration.zone)
        })
    }

    /// Returns whether most entries of a service have lapsed.
    fn has_lapsed_mostly(&self, service: &str) -> bool {
        if self.lapsed.is_empty() {
            return false;
        }
        let own =
            self.runners.values().filter(|runner| runner.registration.service.as_str() == service);
        let (all, lapsed) = own.fold((0, 0), |(all, lapsed), runner| {
            (all + 1, lapsed + usize::from(self.lapsed.contains_key(&runner.registration.id)))
        });
        lapsed * 2 > all
    }
}
