//! Rollouts of new versions: what routers tell each other, and the responses that are the evidence.

use std::time::Duration;

use balance::Cause;
use balance::Grant;
use balance::Origin;
use balance::rollout::Note;
use balance::rollout::Report;
use base::Name;

use crate::Call;
use crate::Line;
use crate::Router;
use crate::event;
use crate::gossip::Heartbeat;

/// The least number of published routers from which on hearing none of them means that this router is cut off; fewer may have
/// ended without withdrawing their identities.
const MIN_PUBLISHED: usize = 3;

/// Takes the steps of all rollouts that are due.
pub fn update(router: &Router) {
    if !router.core.borrow().has_rollouts() {
        return;
    }
    let now = router.now();
    let operator_as_of = router.config_age().map(|age| now.saturating_sub(age));
    let reporting = reporting(router, now);
    let silence = silence(router, now);
    let notes = router.core.borrow_mut().update_rollouts(now, operator_as_of, &reporting, silence);
    for Note { event, service, text } in notes {
        router.log(Line::new(event).subject(service.as_str()).outcome(text));
    }
}

/// Records the versions of the runners after a change of their registrations.
pub fn record_versions(router: &Router) {
    let now = router.now();
    let operator_as_of = router.config_age().map(|age| now.saturating_sub(age));
    router.core.borrow_mut().record_versions(now, operator_as_of);
    update(router);
}

/// Returns the routers and zones whose reports tell whether old runners have requests left.
fn reporting(router: &Router, now: Duration) -> Vec<Origin> {
    let zone = &router.settings.zone;
    let members = router.members.borrow();
    let direct = members.direct(zone).filter(|member| member.is_alive(now));
    let direct = direct.map(|member| Origin::Router(member.identity.name.clone()));
    let zones = members.by_other_zone(zone).into_iter();
    let zones = zones.filter(|(_, members)| members.iter().any(|member| member.is_alive(now)));
    direct.chain(zones.map(|(zone, _)| Origin::Zone(zone.clone()))).collect()
}

/// Returns the time since this router has heard any other one; `None` if there are too few.
fn silence(router: &Router, now: Duration) -> Option<Duration> {
    let members = router.members.borrow();
    if members.iter().count() < MIN_PUBLISHED {
        return None;
    }
    let last = members.iter().filter_map(|member| member.last_contact).max();
    Some(last.map_or(Duration::MAX, |last| now.saturating_sub(last)))
}

/// Applies the reports of a router that exchanges heartbeats with this one directly.
pub(crate) fn apply_heartbeat(
    router: &Router,
    now: Duration,
    heartbeat: &Heartbeat,
    reports: &[Report],
) {
    let origin = Origin::Router(Name::new(&heartbeat.sender));
    apply(router, now, &origin, heartbeat.incarnation, reports.iter());
}

/// Applies the reports of another zone that were made at `at`.
pub(crate) fn apply_sums(
    router: &Router,
    now: Duration,
    at: Duration,
    zone: &Name,
    reports: &[Report],
) {
    let age_ms = event::millis(now.saturating_sub(at));
    let aged = reports.iter().map(|report| {
        let left_ms = report.left_ms.saturating_sub(age_ms);
        Report { left_ms, ..report.clone() }
    });
    let aged: Vec<Report> = aged.collect();
    apply(router, now, &Origin::Zone(zone.clone()), 0, aged.iter());
}

fn apply<'a>(
    router: &Router,
    now: Duration,
    origin: &Origin,
    incarnation: u64,
    reports: impl Iterator<Item = &'a Report>,
) {
    let mut is_changed = false;
    for report in reports {
        let rollouts = &mut router.core.borrow_mut().rollouts;
        is_changed |= rollouts.apply_report(now, origin, incarnation, report);
    }
    // The evidence alone is judged with each heartbeat of this router.
    if is_changed {
        update(router);
    }
}

/// Records the response to a call: the time to its first token or its end, and whether it was bad.
pub(crate) fn record_response(
    router: &Router,
    call: &Call,
    grant: &Grant,
    took: Duration,
    is_bad: bool,
) {
    let mut core = router.core.borrow_mut();
    if core.rollouts.get(&call.service).is_none() {
        return;
    }
    let took = (!is_bad).then_some(took);
    let is_alarming = core.record_response(grant, &call.service, &call.route.name, took, is_bad);
    drop(core);
    router.metrics.count_response(&call.service, grant.version.as_ref(), is_bad);
    if is_alarming {
        update(router);
    }
}

/// Records that a call was ended before its response began, after `took`.
pub(crate) fn record_no_response(router: &Router, call: &Call, grant: &Grant, took: Duration) {
    let mut core = router.core.borrow_mut();
    core.record_no_response(grant, &call.service, &call.route.name, took);
}

/// Returns whether runners have crashed under the content of a call before, so that the runner is not at fault.
pub(crate) fn is_crashing(router: &Router, call: &Call) -> bool {
    let now = router.now();
    let core = router.core.borrow();
    let contents = call.causes.iter().filter(|cause| matches!(cause, Cause::Content(_)));
    let mut crashes = contents.map(|cause| core.crash_history.evidence(now, *cause).crashes.len());
    crashes.any(|crashes| crashes > 0)
}
