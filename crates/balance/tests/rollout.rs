//! Rollouts over a simulated fleet, with random evidence and a network that loses, delays and repeats reports.

#[path = "common/rollouts.rs"]
mod fleet;

use std::time::Duration;

use balance::Origin;
use balance::rollout::Candidate;
use balance::rollout::Conditions;
use balance::rollout::Order;
use balance::rollout::Phase;
use balance::rollout::Role;
use balance::rollout::Rollouts;
use balance::rollout::State;
use base::Name;
use proptest::prelude::*;

use crate::fleet::Outcome;
use crate::fleet::SERVICE;
use crate::fleet::Scenario;
use crate::fleet::play;

/// The share of the requests that a bad version may receive.
const SHARE: f64 = 0.1;
/// The time after the 50th bad response from which on a bad version may receive none.
const ROLLBACK: Duration = Duration::from_secs(5);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn assert_stopped(scenario: &Scenario, outcome: &Outcome) {
    assert_eq!(outcome.state, Some(State::RolledBack), "{scenario:?}: {outcome:?}");
    assert!(outcome.written_at < scenario.duration, "{scenario:?}: {outcome:?}");
    let allowed = SHARE * f64::from(outcome.requests) + scenario.slack;
    assert!(f64::from(outcome.sent_new) <= allowed, "{scenario:?}: {outcome:?}");
    if let (Some(bad), Some(last)) = (outcome.fiftieth_bad, outcome.last_sent_new) {
        assert!(last <= bad + ROLLBACK, "{scenario:?}: {outcome:?}");
    }
    assert_final(outcome);
}

fn assert_completed(scenario: &Scenario, outcome: &Outcome) {
    assert_eq!(outcome.state, Some(State::Completed), "{scenario:?}: {outcome:?}");
    assert!(outcome.written_at < scenario.duration, "{scenario:?}: {outcome:?}");
    assert_eq!(outcome.in_flight_old, 0, "{scenario:?}: {outcome:?}");
    assert_eq!(outcome.sent_old_late, 0, "{scenario:?}: {outcome:?}");
    assert_final(outcome);
}

/// Checks that the status changes only from running to one of the other states.
fn assert_final(outcome: &Outcome) {
    let ends = outcome.history.iter().filter(|state| **state != State::Running);
    assert!(ends.count() <= 1, "{outcome:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Guards against a bad version that goes on, or gets more than its share, when reports are lost or routers restart.
    #[test]
    fn a_bad_version_is_stopped_within_its_share(
        seed in 1..u64::MAX,
        routers in 1..10_usize,
        rate in 60.0..400.0,
        new_bad in 0.25..1.0,
        loss in 0.0..0.4,
        restart in 10..100_u64,
    ) {
        let restarts = vec![(ms(restart * 50), 0)];
        let scenario = Scenario { routers, rate, new_bad, loss, restarts, ..Scenario::new(seed) };
        assert_stopped(&scenario, &play(scenario.clone()));
    }

    /// Guards against a version that turns bad while a part of the requests reaches it and is not stopped.
    #[test]
    fn a_version_that_turns_bad_is_stopped(
        seed in 1..u64::MAX,
        bad_from in 1_000..6_000_u64,
        new_bad in 0.3..1.0,
    ) {
        let bad_from = ms(bad_from);
        let scenario = Scenario { new_bad, bad_from, rate: 300.0, ..Scenario::new(seed) };
        assert_stopped(&scenario, &play(scenario.clone()));
    }

    /// Guards against a good version that is rolled back for noise, lost reports or restarts, or is not completed in time.
    #[test]
    fn a_good_version_is_completed(
        seed in 1..u64::MAX,
        routers in 1..10_usize,
        rate in 1.0..300.0,
        noise in 0.0..0.03,
        loss in 0.0..0.4,
        duration in 6..20_u64,
        restart in 10..100_u64,
    ) {
        let restarts = vec![(ms(restart * 50), 0)];
        let (old_bad, new_bad) = (noise, noise);
        let duration = Duration::from_secs(duration);
        let scenario = Scenario {
            routers, rate, old_bad, new_bad, loss, duration, restarts, ..Scenario::new(seed)
        };
        assert_completed(&scenario, &play(scenario.clone()));
    }

    /// Guards against a service that fails as a whole being taken for a bad version.
    #[test]
    fn a_service_that_is_bad_as_a_whole_is_no_bad_version(
        seed in 1..u64::MAX,
        bad in 0.1..0.6,
        rate in 60.0..300.0,
    ) {
        let scenario = Scenario { old_bad: bad, new_bad: bad, rate, ..Scenario::new(seed) };
        assert_completed(&scenario, &play(scenario.clone()));
    }

    /// Guards against one faulty runner of a good version that stops the rollout.
    #[test]
    fn one_faulty_runner_is_no_bad_version(seed in 1..u64::MAX, faulty in 0..4_u32) {
        let scenario = Scenario { faulty_runner: Some(faulty), ..Scenario::new(seed) };
        let outcome = play(scenario.clone());
        prop_assert_eq!(outcome.state, Some(State::Completed), "{:?}", outcome);
    }
}

/// Guards against a state that is lost, or an evidence that is never gathered again, when all routers end at once.
#[test]
fn the_rollout_survives_the_restart_of_all_routers() {
    for (seed, new_bad) in [(1, 0.0), (2, 0.5)] {
        let restarts = (0..6).map(|router| (ms(3_000), router)).collect();
        let scenario = Scenario { new_bad, restarts, rate: 300.0, ..Scenario::new(seed) };
        let outcome = play(scenario.clone());
        let expected = if new_bad > 0.0 { State::RolledBack } else { State::Completed };
        assert_eq!(outcome.state, Some(expected), "{outcome:?}");
        assert!(outcome.written_at < scenario.duration, "{outcome:?}");
        assert_final(&outcome);
    }
}

/// Guards against a bad version that receives requests while the store is away, and a verdict that is not written later.
#[test]
fn a_bad_version_is_stopped_without_the_store() {
    let store_away = (Duration::ZERO, ms(14_000));
    let scenario = Scenario { new_bad: 0.5, store_away, ..Scenario::new(3) };
    let outcome = play(scenario.clone());
    assert_eq!(outcome.state, Some(State::RolledBack), "{outcome:?}");
    assert!(outcome.written_at < ms(15_500), "{outcome:?}");
    let allowed = SHARE * f64::from(outcome.requests) + scenario.slack;
    assert!(f64::from(outcome.sent_new) <= allowed, "{outcome:?}");
}

/// Guards against a version that is bad only under the load of all requests, and is completed.
#[test]
fn a_version_that_turns_bad_when_all_requests_move_is_stopped() {
    for seed in 1..9 {
        let bad_from = ms(9_200);
        let scenario = Scenario { new_bad: 0.4, bad_from, ..Scenario::new(seed) };
        let outcome = play(scenario.clone());
        assert_eq!(outcome.state, Some(State::RolledBack), "{outcome:?}");
        assert!(outcome.written_at < scenario.duration, "{outcome:?}");
        let stopped = outcome.last_sent_new.expect("requests were sent");
        assert!(stopped < bad_from + ms(1_500), "{outcome:?}");
    }
}

/// Guards against a rollout that completes without a runner of the version.
#[test]
fn a_version_without_runners_is_rolled_back() {
    let scenario = Scenario { has_new: false, ..Scenario::new(4) };
    let outcome = play(scenario.clone());
    assert_stopped(&scenario, &outcome);
    assert_eq!(outcome.unserved, 0);
}

/// A router with one order, and conditions with one serving runner of each version.
fn with_order(position: u64, to: &str, seconds: f64, is_new: bool) -> Rollouts {
    let mut rollouts = Rollouts::default();
    put(&mut rollouts, Duration::ZERO, position, to, seconds, is_new);
    rollouts
}

fn put(rollouts: &mut Rollouts, now: Duration, position: u64, to: &str, seconds: f64, new: bool) {
    let (service, to) = (Name::new(SERVICE), Name::new(to));
    let order = Order { position, service, to, duration: Order::duration_of(seconds) };
    rollouts.put_order(now, order, new);
}

fn update(rollouts: &mut Rollouts, now: Duration, baseline: usize) {
    let candidates = vec![Candidate { id: "new-0", is_serving: true, is_healthy: true }];
    let conditions = Conditions { candidates, baseline, ..Conditions::default() };
    rollouts.update(now, &Name::new(SERVICE), &conditions);
}

fn role(rollouts: &Rollouts, version: &str) -> Role {
    let version = Name::new(version);
    rollouts.role(&Name::new(SERVICE), Some(&version), balance::digest("new-0"))
}

/// Guards against a rollout that waits forever for a deadline that never comes.
#[test]
fn an_invalid_duration_is_rolled_back_at_once() {
    for seconds in [0.0, -3.0, f64::NAN, f64::INFINITY, 86_401.0] {
        let mut rollouts = with_order(1, "v2", seconds, true);
        update(&mut rollouts, Duration::ZERO, 1);
        let status = rollouts.status(Duration::ZERO, &Name::new(SERVICE)).expect("a status");
        assert_eq!(status.state, State::RolledBack, "{seconds}");
        assert_eq!(role(&rollouts, "v2"), Role::Excluded);
    }
}

/// Guards against candidates that a router uses before it knows whether they were rolled back, and against an outage if
/// there are no others.
#[test]
fn candidates_receive_nothing_while_the_state_is_unknown_and_old_runners_serve() {
    let mut rollouts = with_order(1, "v2", 12.0, false);
    update(&mut rollouts, ms(50), 1);
    assert_eq!(role(&rollouts, "v2"), Role::Excluded);
    assert_eq!(role(&rollouts, "v1"), Role::Regular);
    update(&mut rollouts, ms(100), 0);
    assert_eq!(role(&rollouts, "v2"), Role::Regular);
}

/// Guards against a replaced version that still receives requests, and against evidence that a repeated order loses.
#[test]
fn the_newest_order_counts() {
    let mut rollouts = with_order(1, "v2", 12.0, true);
    let service = Name::new(SERVICE);
    update(&mut rollouts, ms(50), 1);
    let (version, route) = (Name::new("v2"), Name::new("safe"));
    rollouts.record_response(&service, Some(&version), 1, &route, None, false);
    put(&mut rollouts, ms(1_000), 2, "v2", 20.0, true);
    update(&mut rollouts, ms(1_050), 1);
    assert_eq!(rollouts.figures(&service).candidate().responses, 1);
    let status = rollouts.status(ms(1_050), &service).expect("a status");
    assert_eq!((status.position, status.left), (2, Duration::from_secs(20)));
    put(&mut rollouts, ms(2_000), 3, "v3", 12.0, true);
    update(&mut rollouts, ms(2_050), 1);
    assert_eq!(role(&rollouts, "v2"), Role::Excluded);
    assert_eq!(role(&rollouts, "v1"), Role::Regular);
    assert_eq!(rollouts.figures(&service).candidate().responses, 0);
    put(&mut rollouts, ms(3_000), 1, "v2", 12.0, true);
    update(&mut rollouts, ms(3_050), 1);
    assert_eq!(role(&rollouts, "v2"), Role::Excluded, "an older record has no effect");
}

/// Guards against streams that stay at old runners until these end, and against moving them earlier than that.
#[test]
fn requests_leave_old_runners_shortly_before_the_end() {
    let mut rollouts = with_order(1, "v2", 12.0, true);
    let (service, old, new) = (Name::new(SERVICE), Name::new("v1"), Name::new("v2"));
    update(&mut rollouts, Duration::ZERO, 1);
    for (millis, ends) in [(9_500, false), (10_500, false), (10_600, true), (11_500, true)] {
        update(&mut rollouts, ms(millis), 1);
        assert_eq!(rollouts.ends_soon(ms(millis), &service, Some(&old)), ends, "{millis}");
        assert!(!rollouts.ends_soon(ms(millis), &service, Some(&new)), "{millis}");
    }
}

/// Guards against a verdict that later reports change, and one that is not passed on.
#[test]
fn a_verdict_is_final_and_passed_on() {
    let mut bad = with_order(1, "v2", 0.0, true);
    update(&mut bad, Duration::ZERO, 1);
    let stopped = bad.reports(Duration::ZERO, false);
    let mut other = with_order(1, "v2", 12.0, true);
    update(&mut other, ms(50), 1);
    let running = other.reports(ms(50), false);
    let origin = Origin::Router(Name::new("router-1"));
    other.apply_report(ms(100), &origin, 1, &stopped[0]);
    other.apply_report(ms(150), &origin, 1, &running[0]);
    assert_eq!(other.get(&Name::new(SERVICE)).expect("an order").phase, Phase::Stopped);
    update(&mut other, ms(200), 1);
    assert_eq!(role(&other, "v2"), Role::Excluded);
    assert_eq!(other.reports(ms(200), false)[0].phase, Phase::Stopped);
}
