//! The state of the engines and of the fleet from which shares are computed.

use std::time::Duration;

use base::Name;

use super::Core;
use crate::EngineFill;
use crate::Load;
use crate::Origin;
use crate::Runner;
use crate::shares::Conditions;
use crate::silence::Unheard;

impl Core {
    /// Computes the shares in the engines again if they are due.
    pub(super) fn update_shares(&mut self, now: Duration) {
        if !self.shares.is_due(now) {
            return;
        }
        self.record_silence(now);
        let fills = self.services.keys().filter_map(|name| self.engine_fill(now, name));
        // Shares are those of all services together, so the fullest one decides.
        let fill = fills.map(|fill| fill.nearest).reduce(f64::max);
        let routers = self.limits.peers.as_ref().map(|peers| peers.len() + 1);
        let (mut own, mut all) = (Load::default(), Load::default());
        for (_, runner) in self.registry.iter().filter(|(_, runner)| self.is_engine(runner)) {
            own.add(runner.own_load);
            all.add(runner.load());
        }
        let conditions = Conditions {
            fill: fill.unwrap_or(1.0),
            routers,
            own_running: own.running,
            all_running: all.running,
        };
        self.shares.update(now, &mut self.usage, conditions);
    }

    fn is_engine(&self, runner: &Runner) -> bool {
        let service = self.service(&runner.registration.service);
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Records the work at this router, and which routers are not heard; called at least with each report, since a router
    /// without requests computes no shares.
    pub fn record_state(&mut self, now: Duration) {
        let engines = self.registry.iter().filter(|(_, runner)| self.is_engine(runner));
        let running = engines.map(|(_, runner)| runner.own_load.running).sum();
        self.usage.record_report(now, running);
        self.record_silence(now);
    }

    /// Forgets what is known of others that are no longer heard.
    pub fn remove_expired(&mut self, now: Duration) {
        self.registry.remove_expired(now);
        self.remove_expired_use(now);
    }

    fn remove_expired_use(&mut self, now: Duration) {
        let kept = self.usage.remove_expired(now);
        self.shares.keep_others(kept);
    }

    fn record_silence(&mut self, now: Duration) {
        self.remove_expired_use(now);
        let unheard = self.unheard();
        self.shares.record_silence(now, unheard);
    }

    /// Returns the other routers that are published and not heard.
    fn unheard(&self) -> Unheard {
        let Some(peers) = &self.limits.peers else { return Unheard::default() };
        let mut unheard = Unheard::default();
        for (zone, routers) in &self.zone_sizes {
            match self.usage.heard_of(&Origin::Zone(zone.clone())) {
                Some(heard) => unheard.of_heard_zones += routers.saturating_sub(heard),
                None => unheard.of_silent_zones += routers,
            }
        }
        let others: usize = self.zone_sizes.values().sum();
        let own_zone = peers.len().saturating_sub(others);
        unheard.of_heard_zones += own_zone.saturating_sub(self.usage.heard_directly());
        unheard
    }

    /// Returns how full the engines of a service are; `None` if there are none.
    pub(super) fn engine_fill(&self, now: Duration, service: &Name) -> Option<EngineFill> {
        let limits = self.services.get(service)?.adaptive_limit.limits();
        EngineFill::of(now, &self.registry, self.service(service)?, limits)
    }
}
