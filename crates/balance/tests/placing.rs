//! Placement under the heaviest load: long prompts, popular shared parts, full and cold runners.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use balance::Core;
use balance::Decision;
use balance::FleetLimits;
use balance::Key;
use balance::Kind;
use balance::Outcome;
use balance::Request;
use base::Name;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::common::SERVICE;
use crate::common::TARGET;
use crate::common::core;
use crate::common::granted;
use crate::common::limits;
use crate::common::ms;
use crate::common::plain;
use crate::common::registration;
use crate::common::request;
use crate::common::table;

const NOW: Duration = Duration::from_secs(100);

#[test]
fn requests_with_the_same_shared_part_go_to_the_same_runner_from_all_routers() {
    let mut first_choices = IndexSet::new();
    for router in ["router-1", "router-2", "router-3"] {
        let mut core = core(router, 18);
        for step in 0..4 {
            let now = NOW + ms(step);
            let mut grant = granted(core.submit(now, request(now, "wall", 7, 100)));
            core.record_first_token(now, &mut grant, &Name::new(SERVICE), ms(50), TARGET);
            first_choices.insert(grant.id);
        }
    }
    assert_eq!(first_choices.len(), 1);
}

#[test]
fn a_prompt_placed_elsewhere_under_load_fetches_its_shared_part_from_the_first_choice() {
    let mut core = core("router-1", 18);
    let preferred = granted(core.submit(NOW, request(NOW, "wall", 7, 6_000)));
    let elsewhere = (1..6).map(|step| {
        let now = NOW + ms(step);
        granted(core.submit(now, request(now, "wall", 7, 6_000)))
    });
    let elsewhere: Vec<_> = elsewhere.filter(|grant| grant.id != preferred.id).collect();
    assert!(!elsewhere.is_empty());
    for grant in elsewhere {
        let source = grant.source.expect("the first choice holds the part");
        assert_eq!(source, preferred.address);
    }
}

/// Returns the first choice for a shared part, the runner to which a router without any reports sends it.
fn first_choice(part: u64) -> Name {
    granted(core("router-1", 18).submit(NOW, request(NOW, "wall", part, 6_000))).id
}

/// Reports to a router that another one has sent a shared part to a runner that is not the first choice.
fn report_elsewhere(core: &mut Core, part: u64, now: Duration) -> (Key, SocketAddr) {
    let preferred = first_choice(part);
    let other = core.registry.iter().find(|(_, runner)| runner.registration.id != preferred);
    let (key, address) =
        other.map(|(key, runner)| (key, runner.registration.address)).expect("18 runners");
    core.registry.get_mut(key).expect("known").prefix_cache.record_sent_by_peer(part, now);
    (key, address)
}

/// Returns whether a prompt fetches its shared part from a runner that was reported this long ago.
///
/// The prompt may be placed neither at the first choice nor at that runner.
fn is_fetched_after(passed: Duration) -> bool {
    let mut core = core("router-2", 18);
    let (elsewhere, address) = report_elsewhere(&mut core, 7, NOW);
    let now = NOW + passed;
    let preferred = core.registry.find(first_choice(7).as_str()).expect("known");
    let request = Request { avoid: vec![preferred, elsewhere], ..request(now, "wall", 7, 6_000) };
    granted(core.submit(now, request)).source == Some(address)
}

#[test]
fn a_shared_part_is_fetched_from_the_runner_that_has_processed_it_for_another_router() {
    assert!(is_fetched_after(ms(300)));
}

#[test]
fn a_shared_part_is_not_fetched_from_a_runner_that_is_still_processing_it() {
    assert!(!is_fetched_after(ms(100)));
}

#[test]
fn a_runner_that_has_processed_a_part_for_another_router_is_preferred_to_one_that_has_not() {
    let mut core = core("router-2", 18);
    let (elsewhere, _) = report_elsewhere(&mut core, 7, NOW);
    let preferred = core.registry.find(first_choice(7).as_str()).expect("known");
    let request = Request { avoid: vec![preferred], ..request(NOW, "wall", 7, 6_000) };
    assert_eq!(granted(core.submit(NOW, request)).runner, elsewhere);
}

#[test]
fn the_placement_of_a_long_shared_part_is_reported_once() {
    let mut core = core("router-1", 18);
    let grant = granted(core.submit(NOW, request(NOW, "wall", 7, 6_000)));
    assert_eq!(core.take_placements(), [(7, grant.runner)]);
    for step in 1..4 {
        let now = NOW + ms(step);
        let again = granted(core.submit(now, request(now, "wall", 7, 6_000)));
        let reported = core.take_placements();
        assert_eq!(reported.is_empty(), again.runner == grant.runner, "{reported:?}");
    }
}

#[test]
fn a_popular_part_is_placed_at_more_runners_before_first_tokens_are_late() {
    let mut core = core("router-1", 18);
    let mut runners: IndexMap<Name, u64> = IndexMap::new();
    for step in 0..12 {
        let now = NOW + ms(step);
        let request = request(now, "wall", 7, 6_000);
        if let Outcome::Decided(Decision::Granted(grant)) = core.submit(now + ms(200), request) {
            *runners.entry(grant.id).or_default() += 6_000;
        }
    }
    assert!(runners.len() >= 3, "{runners:?}");
    assert!(runners.values().all(|backlog| *backlog <= 30_000), "{runners:?}");
}

#[test]
fn a_very_long_prompt_is_granted_if_half_of_the_backlog_is_free() {
    let mut core = core("router-1", 1);
    let mut huge = request(NOW, "wall", 7, 60_000);
    huge.target = NOW + ms(800);
    granted(core.submit(NOW, huge));
}

#[test]
fn a_router_that_does_not_know_the_others_yet_sends_nothing_to_a_cold_runner() {
    let mut core = Core::new(FleetLimits { peers: None, ..limits("router-1") });
    core.adopt(table());
    let mut cold = registration("engine-0");
    cold.cold_left = Duration::from_secs(60);
    core.registry.put(NOW, &cold);
    assert!(matches!(core.submit(NOW, request(NOW, "wall", 7, 100)), Outcome::Queued(_)));
    core.set_peers(NOW, (0..9).map(|n| Name::new(&format!("router-{}", n + 2))).collect());
    let decided = core.process_queue(NOW + ms(10));
    assert!(matches!(decided[..], [(_, Decision::Granted(_))]), "{decided:?}");
}

#[test]
fn a_cold_runner_receives_no_more_than_its_limit_in_any_second() {
    let mut core = core("router-1", 1);
    let key = core.registry.find("engine-0").expect("known");
    core.registry.get_mut(key).expect("known").cold_until = NOW + Duration::from_secs(60);
    let mut sent: Vec<Duration> = Vec::new();
    for step in 0..400 {
        let now = NOW + ms(10 * step);
        if let Outcome::Decided(Decision::Granted(grant)) =
            core.submit(now, request(now, "wall", 7, 50))
        {
            core.release(now, &grant, true);
            sent.push(now);
        }
        for (_, decision) in core.process_queue(now) {
            if let Decision::Granted(grant) = decision {
                core.release(now, &grant, true);
                sent.push(now);
            }
        }
    }
    let counts = sent
        .iter()
        .map(|from| sent.iter().filter(|at| **at >= *from && **at < *from + ms(1_000)).count());
    let max_count = counts.max().unwrap_or_default();
    assert!((10..=29).contains(&max_count), "{max_count}");
}

#[test]
fn a_half_open_runner_receives_one_idempotent_request_and_no_other() {
    let mut core = core("router-1", 1);
    let mut registration = registration("ledger-0");
    registration.service = Name::new(common::PLAIN);
    registration.slots = 6;
    let key = core.registry.put(NOW, &registration).expect("newer");
    core.registry.get_mut(key).expect("known").health.record_unreachable(NOW);
    let later = NOW + ms(1_000);
    assert!(matches!(core.submit(later, plain(later, Kind::Unsafe)), Outcome::Queued(_)));
    assert!(
        core.process_queue(later + ms(200))
            .iter()
            .all(|(_, decision)| { matches!(decision, Decision::Refused { .. }) })
    );
    granted(core.submit(later, plain(later, Kind::Safe)));
    assert!(matches!(core.submit(later, plain(later, Kind::Safe)), Outcome::Queued(_)));
}

#[test]
fn runners_of_a_zone_that_is_out_of_service_receive_no_requests() {
    let mut core = core("router-1", 3);
    core.registry.set_zones_out(NOW, IndexSet::from([Name::new("north")]), ms(0));
    assert!(matches!(core.submit(NOW, request(NOW, "wall", 7, 50)), Outcome::Queued(_)));
    assert_eq!(core.registry.serving(SERVICE).count(), 0);
}

/// Creates a router in the zone `north` with engines in four zones, `count` in each.
fn core_with_zones(count: usize) -> Core {
    let mut core = core("router-1", 0);
    for (index, zone) in ["north", "east", "south", "west"].into_iter().enumerate() {
        for number in 0..count {
            let mut registration = registration(&format!("engine-{}", index * 100 + number));
            registration.zone = Name::new(zone);
            core.registry.put(Duration::ZERO, &registration);
        }
    }
    core
}

fn zone_of(core: &Core, id: &Name) -> Name {
    let key = core.registry.find(id.as_str()).expect("a known runner");
    core.registry.get(key).expect("a known runner").registration.zone.clone()
}

/// Returns how many of the next requests, each with a shared part of its own, stay in the router's zone.
fn count_near(core: &mut Core, requests: u64) -> usize {
    let zones = (0..requests).map(|step| {
        let now = NOW + ms(step);
        let grant = granted(core.submit(now, request(now, "wall", 1_000 + step, 600)));
        zone_of(core, &grant.id)
    });
    zones.filter(|zone| zone.as_str() == "north").count()
}

#[test]
fn requests_stay_in_the_zone_of_their_router_while_it_is_no_busier_than_the_others() {
    assert_eq!(count_near(&mut core_with_zones(10), 10), 10);
}

#[test]
fn a_busy_zone_passes_its_work_on_at_once() {
    let mut core = core_with_zones(10);
    let near: Vec<Key> = core
        .registry
        .iter()
        .filter(|(_, runner)| runner.registration.zone.as_str() == "north")
        .map(|(key, _)| key)
        .collect();
    for key in near {
        let runner = core.registry.get_mut(key).expect("a known runner");
        runner.own_load.backlog += 20_000;
    }
    assert_eq!(count_near(&mut core, 30), 0);
}

#[test]
fn a_zone_that_is_out_of_service_gets_nothing_and_the_others_serve_at_once() {
    let mut core = core_with_zones(10);
    core.registry.set_zones_out(NOW, IndexSet::from([Name::new("north")]), ms(0));
    assert_eq!(count_near(&mut core, 30), 0);
}

#[test]
fn a_zone_with_few_engines_shares_popular_parts_with_the_others() {
    let mut core = core_with_zones(2);
    let homes: IndexSet<Name> = (0..40)
        .map(|part| {
            let now = NOW + ms(part);
            let prompt = request(now, "wall", 1_000 + part, 10);
            let mut grant = granted(core.submit(now, prompt));
            core.record_first_token(now, &mut grant, &Name::new(SERVICE), ms(50), TARGET);
            core.release(now, &grant, true);
            zone_of(&core, &grant.id)
        })
        .collect();
    assert_eq!(homes.len(), 4, "{homes:?}");
}
