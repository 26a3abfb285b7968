//! Runners that leave or whose registrations are removed, and how recently that is known.

use std::time::Duration;

use base::Name;

use super::Expired;
use super::Registry;
use crate::Registration;
use crate::Removal;
use crate::Start;
use crate::departure::MAX_TOLD;

/// Maximum number of runners that leave of which other routers are told.
const MAX_LEAVING: usize = 256;
/// The time after its last answer for which the limit of a removed runner is kept, should it be listed again.
const MAX_REMOVED_AGE: Duration = Duration::from_secs(60);

impl Registry {
    /// Returns whether a registration reports only that a known runner leaves, of which [`Registry::leaving`] tells the
    /// other routers.
    #[must_use]
    pub fn is_told_by_heartbeats(&self, now: Duration, registration: &Registration) -> bool {
        let known = self.find(registration.id.as_str()).and_then(|key| self.get(key));
        let Some(known) = known.map(|runner| &runner.registration) else { return false };
        let as_leaving = Registration { is_draining: known.is_draining, ..registration.clone() };
        self.leaving().count() < MAX_LEAVING && !self.is_change(now, &as_leaving)
    }

    /// Records that the registration of a runner is no longer in the store, by the record at a position.
    ///
    /// Registrations expire while the store is unreachable and are renewed afterwards, so such a runner stays known for
    /// a while. Returns whether it is removed at once and [`Registry::removals`] tells other routers of it.
    pub fn expire(&mut self, now: Duration, id: &Name, position: u64) -> bool {
        let renewal_until = self.freshness.renewal_until();
        if self.freshness.is_outage(now) || now < renewal_until {
            let due = renewal_until.max(now);
            self.expired.insert(id.clone(), Expired { due, position });
            return false;
        }
        let has_room = self.departures.told_removals(now).count() < MAX_TOLD;
        self.remove_at(now, id, position) && has_room
    }

    /// Removes a runner whose registration was removed by the record at a position; returns whether others are told.
    fn remove_at(&mut self, now: Duration, id: &Name, position: u64) -> bool {
        let runner = self.find(id.as_str()).and_then(|key| self.runners.get(key));
        let Some(start) = runner.map(|runner| runner.registration.start()) else { return false };
        self.remove(id);
        self.departures.record_removal(now, Removal { start, position, at: now })
    }

    /// Returns the known runners that leave, of which other routers are told.
    pub fn leaving(&self) -> impl Iterator<Item = Start> {
        let leaving = self.runners.values().filter(|runner| runner.registration.is_draining);
        leaving.take(MAX_LEAVING).map(|runner| runner.registration.start())
    }

    /// Returns the removals of which other routers are told.
    pub fn removals(&self, now: Duration) -> impl Iterator<Item = &Removal> {
        self.departures.told_removals(now)
    }

    /// Records that a runner leaves, whether it is known or not; returns its identifier if that is new.
    pub fn record_leaving(&mut self, now: Duration, start: Start) -> Option<Name> {
        if !self.departures.record_leaving(now, start) {
            return None;
        }
        let runner = self.runners.values_mut().find(|known| known.registration.start() == start)?;
        runner.record_leaving().then(|| runner.registration.id.clone())
    }

    /// Records a removal that another router has reported; returns the identifier of the runner if it is removed by this.
    pub fn record_removal(&mut self, now: Duration, removal: Removal) -> Option<Name> {
        if !self.departures.record_removal(now, removal) {
            return None;
        }
        let mut known = self.runners.values().map(|runner| &runner.registration);
        let removed = known.find(|known| known.start() == removal.start)?;
        if removed.position >= removal.position {
            return None;
        }
        let id = removed.id.clone();
        self.expired.swap_remove(&id);
        self.remove(&id);
        Some(id)
    }

    /// Records the time as of which all departures of runners are known, from the store or from other routers.
    pub fn confirm(&mut self, as_of: Duration) {
        if self.freshness.confirm(as_of) {
            let due = self.freshness.renewal_until();
            self.expired.values_mut().for_each(|expired| expired.due = due);
        }
    }

    /// Returns whether what is known of departures is recent enough to send requests.
    ///
    /// It is not older than `max_age`, or the store does not answer this router, so that nothing newer can be known.
    #[must_use]
    pub fn is_current(&self, now: Duration, max_age: Duration) -> bool {
        self.freshness.is_current(now, max_age)
    }

    /// Records that the process runs, so that it is noticed when it was suspended.
    pub fn record_running(&mut self, now: Duration) {
        self.freshness.record_running(now);
    }

    /// Records that a read of the store that began at `started` has failed.
    pub fn store_lost(&mut self, started: Duration) {
        self.freshness.record_failed_read(started);
    }

    /// Records that the store answers this router again, or another one that has told what it read.
    pub const fn store_regained(&mut self) {
        self.freshness.record_answer();
    }

    /// Removes the runners whose registrations were not renewed in time, and reported figures that have expired.
    pub fn remove_expired(&mut self, now: Duration) {
        for runner in self.runners.values_mut() {
            runner.peer_loads.remove_expired(now);
        }
        self.departures.remove_expired(now);
        self.removed.retain(|_, removed| {
            removed.cold_sent.sum(now) > 0
                || removed.rate_limit.was_stated_within(now, MAX_REMOVED_AGE)
        });
        if self.freshness.is_outage(now) {
            return;
        }
        let due = self.expired.iter().filter(|(_, expired)| now >= expired.due);
        let gone: Vec<(Name, u64)> =
            due.map(|(id, expired)| (id.clone(), expired.position)).collect();
        for (id, position) in gone {
            self.expired.swap_remove(&id);
            self.remove_at(now, &id, position);
        }
    }
}
