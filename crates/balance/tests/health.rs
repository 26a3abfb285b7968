//! Runners that fail although their own health checks succeed.

mod common;

use std::time::Duration;

use balance::Core;
use balance::Grant;
use balance::Health;
use balance::Kind;
use balance::Registration;
use base::Name;

use crate::common::PLAIN;
use crate::common::granted;
use crate::common::limits;
use crate::common::ms;
use crate::common::plain;
use crate::common::registration;
use crate::common::table;

const NOW: Duration = Duration::from_secs(50);

#[test]
fn a_runner_that_fails_nearly_half_of_its_requests_is_blocked() {
    let mut health = Health::default();
    for number in 0..40 {
        if number % 2 == 0 { health.record_failure(NOW) } else { health.record_success() }
    }
    assert!(!health.is_usable(NOW));
}

#[test]
fn a_runner_that_fails_occasionally_stays_usable() {
    let mut health = Health::default();
    for number in 0..100 {
        if number % 7 == 0 { health.record_failure(NOW) } else { health.record_success() }
    }
    assert!(health.is_usable(NOW));
}

#[test]
fn an_unreachable_runner_is_probed_with_single_requests_at_growing_intervals() {
    let mut health = Health::default();
    let mut now = NOW;
    let mut intervals = Vec::new();
    for _ in 0..5 {
        health.record_unreachable(now);
        let start = now;
        while !health.is_usable(now) {
            now += Duration::from_millis(10);
        }
        assert!(health.is_half_open());
        intervals.push(now - start);
    }
    assert!(intervals.is_sorted());
    assert!(intervals[4] > intervals[0]);
    assert!(intervals[4] <= Duration::from_secs(4));
    health.record_success();
    assert!(!health.is_half_open());
}

/// Creates a router with plain runners of which the first `broken` ones were unreachable.
fn core(runners: usize, broken: usize) -> Core {
    let mut core = Core::new(limits("router-1"));
    core.adopt(table());
    for number in 0..runners {
        let service = Name::new(PLAIN);
        let plain = Registration { service, ..registration(&format!("plain-{number}")) };
        let key = core.registry.put(NOW, &plain).expect("a new runner");
        if number < broken {
            core.registry.get_mut(key).expect("known").health.record_unreachable(NOW);
        }
    }
    core.registry.confirm(NOW);
    core
}

/// Returns the grant of a request, if it is granted at once.
fn grant(core: &mut Core, now: Duration, kind: Kind) -> Option<Grant> {
    core.registry.confirm(now);
    match core.submit(now, plain(now, kind)) {
        balance::Outcome::Queued(ticket) => {
            core.cancel(ticket);
            None
        }
        decided => Some(granted(decided)),
    }
}

/// Guards against a state of runners that only repeatable requests end.
#[test]
fn a_service_with_only_unsafe_requests_uses_its_runners_again_after_each_was_unreachable() {
    let mut core = core(3, 3);
    let mut used = Vec::new();
    for step in 0..60 {
        let now = NOW + ms(50 * step);
        if let Some(grant) = grant(&mut core, now, Kind::Unsafe) {
            core.registry.get_mut(grant.runner).expect("known").health.record_success();
            used.push((grant.id.clone(), now - NOW));
            core.release(now, &grant, true);
        }
    }
    assert!(used.iter().any(|(_, after)| *after <= Duration::from_secs(2)), "{used:?}");
    assert!(used.len() > 20, "{used:?}");
}

#[test]
fn a_runner_that_was_unreachable_is_probed_by_a_repeatable_request_before_an_unsafe_one() {
    let mut core = core(1, 1);
    let now = NOW + ms(500);
    assert!(grant(&mut core, now, Kind::Unsafe).is_none());
    assert!(grant(&mut core, now, Kind::Safe).is_some());
}

#[test]
fn an_unsafe_request_probes_a_runner_only_while_no_sound_one_has_room() {
    let mut core = core(2, 1);
    let now = NOW + Duration::from_secs(5);
    let room = (0..).map_while(|_| grant(&mut core, now, Kind::Unsafe)).take(1_000);
    let grants: Vec<String> = room.map(|grant| grant.id.to_string()).collect();
    let sound = grants.iter().take_while(|id| *id == "plain-1").count();
    assert!(sound >= 128, "{sound}");
    assert!(grants.len() - sound <= 1, "{grants:?}");
}
