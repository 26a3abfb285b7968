//! The known runners, by their registrations in the platform's store.

mod departures;

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;
use indexmap::IndexSet;
use slotmap::SlotMap;

use crate::Departures;
use crate::Key;
use crate::RateLimit;
use crate::Registration;
use crate::Runner;
use crate::Start;
use crate::Window;
use crate::era;
use crate::freshness::Freshness;
use crate::rollout::Role;

/// The shortest extension of a known cold period that counts as a change.
const MIN_COLD_EXTENSION: Duration = Duration::from_millis(300);

/// The runners, and the zones that are out of service.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    runners: SlotMap<Key, Runner>,
    ids: IndexMap<Name, Key>,
    zones_out: IndexSet<Name>,
    freshness: Freshness,
    expired: IndexMap<Name, Expired>,
    departures: Departures,
    /// What counts of removed runners if they are listed again.
    removed: IndexMap<Start, Removed>,
    /// The runners whose newest records can't be read.
    unreadable: IndexSet<Name>,
}

/// What holds of a removed runner.
#[derive(Debug, Clone)]
struct Removed {
    /// What was sent to it while it was cold.
    cold_sent: Window,
    /// The rate of requests that it takes.
    rate_limit: RateLimit,
}

/// A registration that has expired while the store was unreachable.
#[derive(Debug, Clone, Copy)]
struct Expired {
    /// The time at which the runner is given up.
    due: Duration,
    /// The position of the record that has removed it.
    position: u64,
}

impl Registry {
    /// Records a registration, unless it is older than what is known; a new incarnation of a known identifier replaces the
    /// old one.
    pub fn put(&mut self, now: Duration, registration: &Registration) -> Option<Key> {
        let start = registration.start();
        if self.departures.is_removed(start, registration.position) {
            return None;
        }
        self.expired.swap_remove(&registration.id);
        self.unreadable.swap_remove(&registration.id);
        let key = self.put_newer(now, registration);
        if self.departures.is_leaving(start) {
            self.runners[key].record_leaving();
        }
        Some(key)
    }

    fn put_newer(&mut self, now: Duration, registration: &Registration) -> Key {
        if let Some(key) = self.ids.get(&registration.id).copied() {
            let runner = &mut self.runners[key];
            let known = &runner.registration;
            if known.started_ms == registration.started_ms && known.address == registration.address
            {
                if registration.sequence >= known.sequence || is_later(known, registration) {
                    runner.update(now, registration);
                }
                return key;
            }
            if known.started_ms > registration.started_ms && !is_restart(known, registration) {
                return key;
            }
            self.remove(&registration.id);
        }
        let mut runner = Runner::new(now, registration.clone());
        if let Some(removed) = self.removed.swap_remove(&registration.start()) {
            runner.cold_sent = removed.cold_sent;
            runner.rate_limit = removed.rate_limit;
        }
        let key = self.runners.insert(runner);
        self.ids.insert(registration.id.clone(), key);
        key
    }

    /// Records that the newest record of a runner can't be read, so that it is not used until a later one can; returns
    /// whether that is new.
    pub fn record_unreadable(&mut self, id: &Name) -> bool {
        self.ids.contains_key(id) && self.unreadable.insert(id.clone())
    }

    /// Removes a runner that has left.
    pub fn remove(&mut self, id: &Name) {
        self.unreadable.swap_remove(id);
        let key = self.ids.swap_remove(id);
        if let Some(removed) = key.and_then(|key| self.runners.remove(key)) {
            let Runner { registration, cold_sent, rate_limit, .. } = removed;
            self.removed.insert(registration.start(), Removed { cold_sent, rate_limit });
        }
    }

    /// Returns whether a registration reports more than that the runner is alive.
    #[must_use]
    pub fn is_change(&self, now: Duration, registration: &Registration) -> bool {
        let known = self.find(registration.id.as_str()).and_then(|key| self.get(key));
        known.is_none_or(|known| {
            let cold_until = now.saturating_add(registration.cold_left);
            let is_colder = cold_until > known.cold_until.saturating_add(MIN_COLD_EXTENSION);
            let known = &known.registration;
            known.started_ms != registration.started_ms
                || (registration.is_draining && !known.is_draining)
                || known.address != registration.address
                || (is_colder && registration.cold_left > Duration::ZERO)
                || self.expired.contains_key(&registration.id)
                || self.unreadable.contains(&registration.id)
        })
    }

    /// Replaces the zones that are out of service; runners of a zone that returns to service are cold for `cold`.
    pub fn set_zones_out(&mut self, now: Duration, zones: IndexSet<Name>, cold: Duration) {
        for zone in self.zones_out.difference(&zones) {
            for runner in
                self.runners.values_mut().filter(|runner| runner.registration.zone == *zone)
            {
                runner.cold_until = runner.cold_until.max(now.saturating_add(cold));
                runner.prefix_cache.clear();
            }
        }
        self.zones_out = zones;
    }

    /// Returns whether a zone is out of service.
    #[must_use]
    pub fn is_zone_out(&self, zone: &Name) -> bool {
        self.zones_out.contains(zone)
    }

    /// Returns the identifiers of all known runners.
    pub fn ids(&self) -> impl Iterator<Item = &Name> {
        self.ids.keys()
    }

    /// Returns the key of a runner by its identifier.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<Key> {
        self.ids.get(id).copied()
    }

    /// Returns a runner, if it is still known.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Runner> {
        self.runners.get(key)
    }

    /// Returns a runner for modification, if it is still known.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Runner> {
        self.runners.get_mut(key)
    }

    /// Returns all runners for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Runner> {
        self.runners.values_mut()
    }

    /// Returns all runners.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Runner)> {
        self.runners.iter()
    }

    /// Returns the runners of a service that may be sent requests.
    ///
    /// A runner whose registration has expired is excluded, unless most registrations of its service have expired,
    /// which indicates that the store was unreachable.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (Key, &'a Runner)> {
        let uses_expired = self.has_mostly_expired(service);
        let all = self.runners.iter();
        let own = all.filter(move |(_, runner)| runner.registration.service.as_str() == service);
        let regular = own.filter(|(_, runner)| runner.role == Role::Regular);
        regular.filter(move |(_, runner)| self.may_serve(&runner.registration, uses_expired))
    }

    /// Returns the runners of a service that may be sent requests on trial.
    pub(crate) fn canaries<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (Key, &'a Runner)> {
        let uses_expired = self.has_mostly_expired(service);
        let canaries = self.runners.iter().filter(|(_, runner)| runner.role == Role::Canary);
        let own =
            canaries.filter(move |(_, runner)| runner.registration.service.as_str() == service);
        own.filter(move |(_, runner)| self.may_serve(&runner.registration, uses_expired))
    }

    /// Returns whether a runner may still be sent requests.
    #[must_use]
    pub fn is_serving(&self, key: Key) -> bool {
        self.get(key).is_some_and(|runner| runner.role != Role::Excluded) && self.is_in_service(key)
    }

    /// Returns whether a runner may be sent requests, apart from rollouts.
    pub(crate) fn is_in_service(&self, key: Key) -> bool {
        let registration = self.get(key).map(|runner| &runner.registration);
        registration.is_some_and(|registration| {
            self.may_serve(registration, self.has_mostly_expired(registration.service.as_str()))
        })
    }

    fn may_serve(&self, registration: &Registration, uses_expired: bool) -> bool {
        let is_listed = uses_expired || !self.expired.contains_key(&registration.id);
        let is_readable = !self.unreadable.contains(&registration.id);
        is_listed
            && is_readable
            && !registration.is_draining
            && !self.is_zone_out(&registration.zone)
    }

    /// Returns the time at which the first runner of a service wants requests of this router again, if none does now.
    #[must_use]
    pub fn resumes_at(&self, now: Duration, service: &str) -> Option<Duration> {
        let mut first = None;
        for (_, runner) in self.serving(service) {
            let until = runner.paused_until.filter(|until| now < *until)?;
            first = Some(first.map_or(until, |first: Duration| first.min(until)));
        }
        first
    }

    /// Ends the pauses that are over, and returns the identifiers of their runners.
    pub fn end_pauses(&mut self, now: Duration) -> Vec<Name> {
        let paused = self.runners.values_mut().filter(|runner| runner.paused_until.is_some());
        let over = paused.filter(|runner| runner.paused_until.is_some_and(|until| now >= until));
        over.map(|runner| {
            runner.paused_until = None;
            runner.registration.id.clone()
        })
        .collect()
    }

    /// Returns whether most registrations of a service have expired.
    fn has_mostly_expired(&self, service: &str) -> bool {
        if self.expired.is_empty() {
            return false;
        }
        let own =
            self.runners.values().filter(|runner| runner.registration.service.as_str() == service);
        let (all, expired) = own.fold((0, 0), |(all, expired), runner| {
            (all + 1, expired + usize::from(self.expired.contains_key(&runner.registration.id)))
        });
        expired * 2 > all
    }
}

/// Returns whether the store has a registration after another one, which its positions tell within an era.
const fn is_later(known: &Registration, registration: &Registration) -> bool {
    registration.position > known.position
        && era::of(registration.position) == era::of(known.position)
}

/// Returns whether a registration with an earlier start is that of a later one, on a clock that was set back.
///
/// The order of the records in the store tells, but not over its eras; and a runner that leaves is not taken for another.
const fn is_restart(known: &Registration, registration: &Registration) -> bool {
    is_later(known, registration) && !known.is_draining
}
