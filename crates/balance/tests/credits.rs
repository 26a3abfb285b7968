//! Routers that share the rate of requests which a runner states: that it holds, and that none of it stands idle.

mod common;

use std::time::Duration;

use balance::Core;
use balance::Decision;
use balance::Key;
use balance::Kind;
use balance::Limit;
use balance::Outcome;
use balance::Registration;
use balance::Statement;
use base::Name;

use crate::common::core;
use crate::common::credits::Fleet;
use crate::common::credits::USED;
use crate::common::credits::all;
use crate::common::credits::router_name;
use crate::common::credits::runner;
use crate::common::ms;
use crate::common::plain;

#[test]
fn the_limit_is_kept_and_used_by_nine_routers_that_all_have_requests() {
    let mut fleet = Fleet::new(9, &[8.7]);
    let from = fleet.now + Duration::from_secs(1);
    fleet.flood(&all(9), ms(50), Duration::from_secs(20));
    fleet.assert_kept_and_used(0, 8.7, from, fleet.now);
}

/// Guards against parts below one request, which either stand idle or are all used at once.
#[test]
fn a_limit_of_two_is_kept_and_used_by_forty_routers() {
    let mut fleet = Fleet::new(40, &[2.0]);
    let from = fleet.now + Duration::from_secs(1);
    fleet.flood(&all(40), ms(100), Duration::from_secs(20));
    fleet.assert_kept_and_used(0, 2.0, from, fleet.now);
}

/// Guards against parts of routers that have nothing to send, which stand idle while requests wait at one of them.
#[test]
fn one_router_of_forty_uses_all_of_a_limit() {
    let mut fleet = Fleet::new(40, &[2.0, 11.5]);
    let from = fleet.now + Duration::from_secs(1);
    fleet.flood(&[17], ms(20), Duration::from_secs(20));
    fleet.assert_kept_and_used(0, 2.0, from, fleet.now);
    fleet.assert_kept_and_used(1, 11.5, from, fleet.now);
}

#[test]
fn requests_that_move_from_router_to_router_find_the_limit_unused() {
    let mut fleet = Fleet::new(40, &[8.0]);
    let from = fleet.now + Duration::from_secs(1);
    for router in 0..20 {
        fleet.flood(&[router], ms(20), Duration::from_secs(1));
    }
    fleet.assert_kept_and_used(0, 8.0, from, fleet.now);
}

#[test]
fn a_fraction_of_a_request_a_second_is_kept_and_used() {
    let mut fleet = Fleet::new(9, &[0.6]);
    let from = fleet.now + Duration::from_secs(2);
    fleet.flood(&all(9), ms(50), Duration::from_secs(40));
    fleet.assert_kept_and_used(0, 0.6, from, fleet.now);
}

#[test]
fn lost_messages_leave_some_of_a_limit_idle_and_exceed_nothing() {
    let mut fleet = Fleet::new(9, &[8.7, 8.7]);
    fleet.lost = Some(5);
    let from = fleet.now + Duration::from_secs(1);
    fleet.flood(&all(9), ms(20), Duration::from_secs(20));
    for number in 0..2 {
        let most = fleet.most(number, from, fleet.now);
        assert!(most <= 57, "{most} requests in 4 s, 57 allowed");
        let count = fleet.count(number, from, fleet.now);
        // One in five credits is lost.
        let owed = (USED * USED * 8.7 * 19.0) as usize;
        assert!(count >= owed, "{count} requests, {owed} owed");
    }
}

/// Guards against two issuers that each hand out the whole limit, and against none.
#[test]
fn the_limit_holds_when_the_router_that_hands_out_credits_is_killed_and_is_used_by_the_next() {
    for routers in [9, 40] {
        let mut fleet = Fleet::new(routers, &[8.0]);
        fleet.flood(&all(routers), ms(50), Duration::from_secs(5));
        let begin = fleet.now - Duration::from_secs(4);
        for router in 0..routers {
            fleet.submit(router);
        }
        fleet.step();
        fleet.now += ms(500);
        let issuer = fleet.issuer(0);
        let killed_at = fleet.now;
        fleet.end(issuer);
        fleet.flood(&all(routers), ms(50), Duration::from_secs(3));
        fleet.restart(issuer);
        fleet.flood(&all(routers), ms(50), Duration::from_secs(8));
        let most = fleet.most(0, begin, fleet.now);
        assert!(most <= 53, "{most} requests in 4 s, 53 allowed");
        // The next issuer is found after the silence, and hands out at the whole rate soon after.
        let silence_over = killed_at + fleet.silence + ms(500);
        let count = fleet.count(0, silence_over, silence_over + Duration::from_secs(1));
        assert!(count >= 6, "{count} requests in a second");
    }
}

#[test]
fn a_planned_stop_hands_the_credits_over_without_a_pause() {
    let mut fleet = Fleet::new(9, &[8.0]);
    fleet.flood(&all(9), ms(50), Duration::from_secs(5));
    fleet.now += ms(500);
    for router in 0..9 {
        fleet.submit(router);
    }
    let issuer = fleet.issuer(0);
    let from = fleet.now;
    fleet.leaving.insert(issuer);
    fleet.flood(&all(9), ms(50), Duration::from_secs(4));
    fleet.end(issuer);
    fleet.flood(&all(9), ms(50), Duration::from_secs(6));
    fleet.assert_kept_and_used(0, 8.0, from, fleet.now);
}

/// Guards against each side of a cut that hands out the whole limit: `smaller` of the routers don't see the others.
fn assert_kept_beside_a_cut(routers: usize, smaller: usize, interval: Duration) {
    let mut fleet = Fleet::new(routers, &[8.0]);
    fleet.flood(&all(routers), interval, Duration::from_secs(2));
    let from = fleet.now;
    let side = |router: usize| router < smaller;
    let end = fleet.now + Duration::from_secs(10);
    while fleet.now < end {
        fleet.step();
        for router in 0..routers {
            let seen = (0..routers).filter(|other| side(*other) == side(router));
            let seen: Vec<Name> = seen.map(router_name).collect();
            let visible = seen.len();
            fleet.cores[router].set_issuers(seen, visible);
            if fleet.now.as_millis().is_multiple_of(interval.as_millis()) {
                fleet.submit(router);
            }
        }
    }
    let case = format!("{smaller} of {routers} cut off");
    let most = fleet.most(0, from, fleet.now);
    assert!(most <= 53, "{case}: {most} requests in 4 s, 53 allowed");
    let count = fleet.count(0, from + Duration::from_secs(1), fleet.now);
    let allowed = (8.0_f64 * 9.0 * 4.0 / 3.0 + 5.0) as usize;
    assert!(count <= allowed, "{case}: {count} requests, {allowed} allowed");
    let owed = (USED * 8.0 * 9.0) as usize;
    assert!(count >= owed, "{case}: {count} requests while others waited, {owed} owed");
}

#[test]
fn two_sides_that_do_not_see_each_other_exceed_the_limit_by_a_third_at_most() {
    for smaller in 1..=4 {
        assert_kept_beside_a_cut(9, smaller, ms(50));
    }
    assert_kept_beside_a_cut(45, 15, ms(250));
    assert_kept_beside_a_cut(90, 30, ms(500));
}

/// Guards against a limit that nobody hears the end of, since nobody sends any more.
#[test]
fn the_end_of_a_limit_of_zero_is_heard_although_hardly_anything_is_sent() {
    let mut fleet = Fleet::new(9, &[0.0]);
    let from = fleet.now;
    fleet.flood(&all(9), ms(50), Duration::from_secs(20));
    let most = fleet.most(0, from, fleet.now);
    assert!((1..=5).contains(&most), "{most} requests in 4 s, 1 to 5 allowed");
    assert!(fleet.limits.iter().all(|limit| *limit == Limit::Rate), "{:?}", fleet.limits.first());
    assert!(fleet.waits.iter().all(|wait| *wait >= ms(1_000)));
    fleet.stated[0] = None;
    fleet.flood(&all(9), ms(50), Duration::from_secs(9));
    let ended = fleet.now - Duration::from_secs(1);
    assert!(fleet.count(0, ended, fleet.now) > 150, "{}", fleet.count(0, ended, fleet.now));
}

#[test]
fn a_request_that_no_limit_allows_in_time_is_refused_at_once() {
    let mut fleet = Fleet::new(2, &[0.0]);
    fleet.submit(0);
    for _ in 0..20 {
        fleet.step();
    }
    assert!(fleet.limits.is_empty(), "the first request waits, since there may be a credit");
    fleet.submit(0);
    assert_eq!(fleet.limits, [Limit::Rate]);
    assert_eq!(fleet.waits, [Duration::from_secs(5)]);
}

/// Guards against a limit of zero that holds for good where callers come seldom.
#[test]
fn seldom_requests_hear_the_end_of_a_limit_of_zero() {
    let mut fleet = Fleet::new(9, &[0.0]);
    fleet.flood(&[0], ms(6_000), Duration::from_secs(20));
    fleet.stated[0] = None;
    let from = fleet.now;
    fleet.flood(&[0], ms(6_000), Duration::from_secs(20));
    let before = fleet.sent[0].iter().filter(|at| **at < from).count();
    assert!(before >= 2, "{before} of 3 requests were sent before");
    let after = fleet.count(0, from, fleet.now);
    assert!(after >= 3, "{after} requests were sent after the end");
}

#[test]
fn a_limit_that_changes_with_each_answer_is_kept_at_its_lowest() {
    let mut fleet = Fleet::new(9, &[6.0]);
    fleet.flood(&all(9), ms(50), Duration::from_secs(3));
    let from = fleet.now;
    let end = fleet.now + Duration::from_secs(12);
    let mut round = 0;
    while fleet.now < end {
        round += 1;
        fleet.stated[0] = [Some(6.0), Some(60.0), None][round % 3];
        fleet.flood(&all(9), ms(25), ms(25));
    }
    let most = fleet.most(0, from, fleet.now);
    assert!(most <= 41, "{most} requests in 4 s, 41 allowed");
}

#[test]
fn a_runner_that_is_listed_again_keeps_its_limit_and_a_new_start_has_none() {
    let mut fleet = Fleet::new(1, &[8.0]);
    let core = &mut fleet.cores[0];
    core.registry.remove(&Name::new("runner-0"));
    let key = core.registry.put(fleet.now, &runner(0)).expect("listed");
    let limit = |core: &Core, key| {
        core.registry.get(key).expect("known").rate_limit.per_second(Duration::from_secs(101))
    };
    assert_eq!(limit(core, key), Some(8.0));
    core.registry.remove(&Name::new("runner-0"));
    let reborn = Registration { started_ms: 2, ..runner(0) };
    let key = core.registry.put(fleet.now, &reborn).expect("listed");
    assert_eq!(limit(core, key), None);
}

/// Returns a router that is alone, and the key of its only runner, which states a rate.
fn alone(per_second: f64, cold_left: Duration) -> (Core, Key, Duration) {
    let now = Duration::from_secs(100);
    let mut core = core("router-0", 0);
    core.set_issuers(vec![router_name(0)], 1);
    let cold = Registration { cold_left, ..runner(0) };
    let key = core.registry.put(now, &cold).expect("listed");
    let statement = Statement { per_second: Some(per_second), at: now };
    core.registry.get_mut(key).expect("known").rate_limit.record(statement);
    (core, key, now)
}

/// Submits a number of requests and returns how many are granted.
fn granted_of(core: &mut Core, now: Duration, requests: usize) -> usize {
    let outcomes = (0..requests).map(|_| core.submit(now, plain(now, Kind::Safe)));
    let granted = |outcome: &Outcome| matches!(outcome, Outcome::Decided(Decision::Granted(_)));
    outcomes.collect::<Vec<_>>().iter().filter(|outcome| granted(outcome)).count()
}

#[test]
fn a_cold_runner_keeps_both_limits() {
    // The cold limit is 0.7 of 5 requests in a second.
    for (credits, granted) in [(100, 3), (2, 2)] {
        let (mut core, key, now) = alone(100.0, Duration::from_secs(10));
        core.add_credits(now, now, key, credits);
        assert_eq!(granted_of(&mut core, now, 60), granted);
    }
}

#[test]
fn no_credits_are_wanted_of_a_runner_that_leaves() {
    let (mut core, key, now) = alone(8.0, Duration::ZERO);
    core.submit(now, plain(now, Kind::Safe));
    assert_eq!(core.credit_requests(now).len(), 1);
    let start = core.registry.get(key).expect("known").registration.start();
    core.registry.record_leaving(now, start);
    assert!(core.credit_requests(now + Duration::from_secs(1)).is_empty());
}

#[test]
fn a_credit_is_used_once_and_not_after_its_time() {
    let (mut core, key, now) = alone(8.0, Duration::ZERO);
    assert_eq!(granted_of(&mut core, now, 1), 0);
    assert!(core.add_credits(now, now, key, 1));
    assert_eq!(granted_of(&mut core, now, 1), 0, "requests that wait come first");
    let granted = core.process_queue(now);
    assert_eq!(granted.len(), 1);
    // A router that was suspended gets its credits too late.
    assert!(!core.add_credits(now + Duration::from_secs(4), now, key, 1));
    assert_eq!(core.credit_count.late, 1);
}
