//! Rollouts of new versions: which runners receive requests, and what their responses tell.

use std::time::Duration;

use base::Name;

use super::Core;
use crate::Grant;
use crate::Origin;
use crate::Request;
use crate::Runner;
use crate::rendezvous;
use crate::rollout::Candidate;
use crate::rollout::Conditions;
use crate::rollout::Note;
use crate::rollout::Role;

impl Core {
    /// Grants a request to a runner of a version that is rolled out, if one is due and has capacity.
    ///
    /// A request that has failed before is not exposed to the version again.
    pub(super) fn grant_on_trial(&mut self, now: Duration, request: &Request) -> Option<Grant> {
        if !self.rollouts.prefers_candidates(&request.service) || !request.avoid.is_empty() {
            return None;
        }
        let is_limited = self.rollouts.is_on_trial(&request.service);
        let selector = self.selector(now, &request.service, request.workspace.as_ref())?;
        let choice = selector.on_trial(is_limited).choose(request)?;
        let grant = self.place(now, request, &choice);
        self.rollouts.record_sent(now, &request.service);
        Some(grant)
    }

    /// Records the versions of the runners after a change of their registrations.
    pub fn record_versions(&mut self, now: Duration, operator_as_of: Option<Duration>) {
        let runners = self.registry.iter().map(|(_, runner)| &runner.registration);
        let versions = runners.map(|registration| (&registration.service, &registration.version));
        self.versions.record(now, versions);
        self.versions.confirm(operator_as_of);
        self.update_roles();
    }

    /// Takes the steps of all rollouts that are due, and returns their events.
    ///
    /// `operator_as_of` is the time as of which the operator's topic is known, `reporting` names the routers and zones that
    /// report to this one, and `silence` is the time since it has heard any other router.
    pub fn update_rollouts(
        &mut self,
        now: Duration,
        operator_as_of: Option<Duration>,
        reporting: &[Origin],
        silence: Option<Duration>,
    ) -> Vec<Note> {
        let had_pending = self.versions.has_pending();
        if self.rollouts.is_empty() && !had_pending {
            return Vec::new();
        }
        self.versions.confirm(operator_as_of);
        let orders = self.rollouts.iter().map(|rollout| rollout.order.clone());
        for order in orders.collect::<Vec<_>>() {
            if self.service(&order.service).is_none() {
                continue;
            }
            let mut conditions = Conditions {
                reporting,
                silence,
                routers: self.limits.peers.as_ref().map(|peers| peers.len() + 1),
                ..Conditions::default()
            };
            for (key, runner) in self.registry.iter() {
                let registration = &runner.registration;
                if registration.service != order.service {
                    continue;
                }
                let is_serving = self.registry.is_in_service(key);
                if registration.version.as_ref() == Some(&order.to) {
                    let id = registration.id.as_str();
                    let is_healthy = runner.health.is_usable(now);
                    conditions.candidates.push(Candidate { id, is_serving, is_healthy });
                } else {
                    let version = registration.version.as_ref();
                    let is_old = !self.rollouts.is_abandoned(&order.service, version);
                    conditions.baseline += usize::from(is_serving && is_old);
                    conditions.in_flight += runner.own_load.running;
                }
            }
            self.rollouts.update(now, &order.service, &conditions);
        }
        self.update_roles();
        self.rollouts.take_notes()
    }

    /// Returns whether any rollout is known or any version is on hold.
    #[must_use]
    pub fn has_rollouts(&self) -> bool {
        !self.rollouts.is_empty() || self.versions.has_pending()
    }

    fn update_roles(&mut self) {
        if self.rollouts.is_empty() && !self.versions.has_pending() {
            for runner in self.registry.iter_mut() {
                runner.role = Role::Regular;
            }
            return;
        }
        let (rollouts, versions) = (&self.rollouts, &self.versions);
        let role = |runner: &Runner| {
            let registration = &runner.registration;
            let (service, version) = (&registration.service, &registration.version);
            let order = rollouts.get(service).map(|rollout| &rollout.order.to);
            if versions.is_held(service, version) && order != version.as_ref() {
                return Role::Excluded;
            }
            rollouts.role(service, version.as_ref(), runner.digest())
        };
        for runner in self.registry.iter_mut() {
            runner.role = role(runner);
        }
    }

    /// Returns whether the runners of any service state several versions.
    #[must_use]
    pub fn has_mixed_versions(&self) -> bool {
        self.versions.mixed().next().is_some()
    }

    /// Records the response to a granted request of a route: the time to its first token or its end, and whether it was bad.
    ///
    /// Returns whether it is a bad response of a version that is rolled out.
    pub fn record_response(
        &mut self,
        grant: &Grant,
        service: &Name,
        route: &Name,
        took: Option<Duration>,
        is_bad: bool,
    ) -> bool {
        if self.rollouts.is_empty() {
            return false;
        }
        let runner = rendezvous::digest(grant.id.as_str());
        let version = grant.version.as_ref();
        // A cold runner is slow whatever its version.
        let took = took.filter(|_| !grant.is_cold);
        self.rollouts.record_response(service, version, runner, route, took, is_bad)
    }

    /// Records that a granted request of a route ended without a response after a time, which counts if that is long.
    pub fn record_no_response(
        &mut self,
        grant: &Grant,
        service: &Name,
        route: &Name,
        took: Duration,
    ) {
        if !grant.is_cold && self.rollouts.is_slow(service, route, took) {
            self.record_response(grant, service, route, Some(took), true);
        }
    }
}
