//! The rollouts of all services.

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

use super::Bounds;
use super::Conditions;
use super::Figures;
use super::Need;
use super::Note;
use super::Order;
use super::Phase;
use super::Report;
use super::Role;
use super::Rollout;
use super::State;
use super::Status;
use super::exposure::Exposure;
use crate::Origin;
use crate::rendezvous;

/// The rollouts, by service.
#[derive(Debug, Clone, Default)]
pub struct Rollouts {
    /// The limits over all routers.
    pub bounds: Bounds,
    rollouts: IndexMap<Name, Rollout>,
}

impl Rollouts {
    /// Returns whether no order is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty()
    }

    /// Returns the rollout of a service.
    #[must_use]
    pub fn get(&self, service: &Name) -> Option<&Rollout> {
        if self.rollouts.is_empty() { None } else { self.rollouts.get(service) }
    }

    /// Returns all rollouts.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.values()
    }

    /// Records an order, unless it is older than the known one of its service.
    ///
    /// `is_new` tells that the record was just written, so that no router can have ended its rollout.
    pub fn put_order(&mut self, now: Duration, order: Order, is_new: bool) {
        let phase = if is_new { Phase::Running } else { Phase::Unknown };
        let service = order.service.clone();
        let rollout = match self.rollouts.swap_remove(&service) {
            None => Rollout::new(now, order, phase),
            Some(known) if is_known(&known, &order) => known,
            Some(known) => known.replace(now, order, phase),
        };
        self.rollouts.insert(service, rollout);
    }

    /// Applies the report of a process of a router, or of a zone; returns whether the order or its phase is new.
    pub fn apply_report(
        &mut self,
        now: Duration,
        origin: &Origin,
        incarnation: u64,
        report: &Report,
    ) -> bool {
        let before = self.get(&report.service).map(|known| (known.order.position, known.phase));
        self.put_order(now, report.order(), false);
        let Some(rollout) = self.rollouts.get_mut(&report.service) else { return false };
        if !rollout.order.is_same(report.position, report.to.as_str()) {
            return false;
        }
        let deadline = now.saturating_add(Duration::from_millis(report.left_ms));
        rollout.deadline = Some(rollout.deadline.map_or(deadline, |known| known.min(deadline)));
        rollout.abandoned.extend(report.abandoned.iter().cloned());
        rollout.evidence.record_report(origin, incarnation, &report.figures);
        let progress = super::Progress { is_drained: report.is_drained, at: now };
        rollout.progress.insert(origin.clone(), progress);
        match report.phase {
            Phase::Unknown => (),
            Phase::Running => {
                rollout.begin(now);
                rollout.record_completing(now, report.is_completing);
            }
            Phase::Stopped => rollout.stop(now, "another router has stopped it"),
            Phase::Completed => rollout.complete(now),
        }
        if rollout.written.is_none() && report.written == rollout.target() {
            rollout.written = report.written;
        }
        before != Some((rollout.order.position, rollout.phase))
    }

    /// Returns the reports of this router, or of its zone.
    #[must_use]
    pub fn reports(&self, now: Duration, is_of_zone: bool) -> Vec<Report> {
        self.rollouts.values().filter_map(|rollout| rollout.report(now, is_of_zone)).collect()
    }

    /// Judges the evidence on a service and takes the steps that are due.
    pub fn update(&mut self, now: Duration, service: &Name, conditions: &Conditions<'_>) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.update(now, &self.bounds, conditions);
        }
    }

    /// Returns the role of a runner.
    #[must_use]
    pub fn role(&self, service: &Name, version: Option<&Name>, runner: u32) -> Role {
        self.get(service).map_or(Role::Regular, |rollout| rollout.role(version, runner))
    }

    /// Returns whether a version is that of a replaced order, which receives no requests.
    pub(crate) fn is_abandoned(&self, service: &Name, version: Option<&Name>) -> bool {
        let rollout = self.get(service);
        version.is_some_and(|version| {
            rollout.is_some_and(|rollout| rollout.abandoned.contains(version))
        })
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, service: &Name) {
        if self.rollouts.is_empty() {
            return;
        }
        let bounds = self.bounds;
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.requests += 1;
            rollout.exposure.record_request(Exposure::fraction(&bounds, rollout.good));
        }
    }

    /// Returns whether the next request of a service is to be sent to a candidate, if one has capacity.
    #[must_use]
    pub fn prefers_candidates(&self, service: &Name) -> bool {
        self.get(service).is_some_and(Rollout::prefers_candidates)
    }

    /// Returns whether requests to candidates are limited in number, rather than by capacity.
    pub(crate) fn is_on_trial(&self, service: &Name) -> bool {
        self.get(service).is_some_and(|rollout| rollout.stage == super::Stage::Canary)
    }

    /// Records that a request was sent to a candidate.
    pub fn record_sent(&mut self, now: Duration, service: &Name) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.exposure.record_sent(now);
        }
    }

    /// Records the response of a runner: the time to its first token or to its end, and whether it was bad.
    ///
    /// Returns whether it is a bad response of the version that is rolled out.
    pub fn record_response(
        &mut self,
        service: &Name,
        version: Option<&Name>,
        runner: u32,
        route: &Name,
        took: Option<Duration>,
        is_bad: bool,
    ) -> bool {
        let Some(rollout) = self.rollouts.get_mut(service) else { return false };
        if rollout.phase != Phase::Running {
            return false;
        }
        let name = route;
        let route = rendezvous::digest(name.as_str());
        if !rollout.routes.contains_key(&route) {
            rollout.routes.insert(route, name.clone());
        }
        let is_bad = is_bad || took.is_some_and(|took| rollout.is_slow(route, took));
        if version == Some(&rollout.order.to) {
            rollout.evidence.record_candidate(route, runner, is_bad);
            return is_bad;
        }
        if version.is_none_or(|version| !rollout.abandoned.contains(version)) {
            rollout.evidence.record_baseline(route, took, is_bad);
        }
        false
    }

    /// Returns whether a response of a route that has not come after a time is slow.
    #[must_use]
    pub fn is_slow(&self, service: &Name, route: &Name, took: Duration) -> bool {
        let route = rendezvous::digest(route.as_str());
        self.get(service).is_some_and(|rollout| rollout.is_slow(route, took))
    }

    /// Returns whether runners of a version are about to end, so that requests there which can go on elsewhere should.
    #[must_use]
    pub fn ends_soon(&self, now: Duration, service: &Name, version: Option<&Name>) -> bool {
        self.get(service).is_some_and(|rollout| rollout.ends_soon(now, version))
    }

    /// Returns the sums of the evidence on a service.
    #[must_use]
    pub fn figures(&self, service: &Name) -> Figures {
        self.get(service).map(|rollout| rollout.evidence.total()).unwrap_or_default()
    }

    /// Returns what this router needs of the status topic now; `live` are the names of the other live routers.
    #[must_use]
    pub fn need(&self, now: Duration, own: &str, live: &[&str]) -> Option<Need> {
        let needs = self.rollouts.values();
        needs.filter_map(|rollout| rollout.need(now, own, live.iter().copied())).next()
    }

    /// Records the status of a service that the status topic holds; `None` if it holds none.
    pub fn record_status(&mut self, now: Duration, service: &Name, status: Option<&Status>) {
        if let Some(status) = status {
            self.put_order(now, status.order(service), false);
        }
        let Some(rollout) = self.rollouts.get_mut(service) else { return };
        let same = |status: &&Status| rollout.order.is_same(status.position, status.to.as_str());
        match status.filter(same) {
            Some(status) => rollout.resume(now, status),
            None => rollout.record_unwritten(now),
        }
    }

    /// Returns the status to be written for a service, if the topic is not known to hold it.
    #[must_use]
    pub fn status(&self, now: Duration, service: &Name) -> Option<Status> {
        self.get(service)?.status(now)
    }

    /// Records that the status of an order was written.
    pub fn record_written(&mut self, now: Duration, service: &Name, status: &Status) {
        let rollout = self.rollouts.get_mut(service);
        let same = |known: &&mut Rollout| known.order.is_same(status.position, status.to.as_str());
        if let Some(rollout) = rollout.filter(same) {
            rollout.record_written(now, status.state);
        }
    }

    /// Records that the store was restored from an older copy, which may lack what was written.
    pub fn forget_written(&mut self, now: Duration) {
        for rollout in self.rollouts.values_mut() {
            (rollout.written, rollout.target_since) = (None::<State>, now);
        }
    }

    /// Removes and returns the events since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        self.rollouts.values_mut().flat_map(|rollout| std::mem::take(&mut rollout.notes)).collect()
    }
}

/// Returns whether an order is the known one or was replaced by it.
fn is_known(known: &Rollout, order: &Order) -> bool {
    let to = order.to.as_str();
    let was_replaced = known.replaced.iter().any(|(position, version)| {
        crate::era::offset(*position) == crate::era::offset(order.position)
            && version.as_str() == to
    });
    known.order.is_same(order.position, to) || was_replaced || order.position < known.order.position
}
