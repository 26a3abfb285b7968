//! Tests of the order lease through pauses, lost answers, outages of the log and rival dispatchers.

mod simulation;

use std::time::Duration;

use base::Name;
use front::Outcome;
use node::lease::Action;
use node::lease::Append;
use node::lease::Kind;
use node::lease::LEASE_DURATION;
use node::lease::LEASE_WAIT;
use node::lease::Lease;
use node::lease::Order;
use node::lease::ReadError;
use node::lease::Record;
use node::lease::StoredRecord;
use node::lease::Tail;
use node::lease::Task;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::Event;
use simulation::FAULTS_END;
use simulation::Simulation;
use simulation::shard;
use simulation::target;
use simulation::term;
use uuid::Uuid;

const START: Duration = Duration::from_secs(1);

fn model(name: &str) -> Vec<Task> {
    vec![Task { kind: Kind::LoadModel, name: name.to_owned() }]
}

/// Returns a lease for two runners, of which one checks fencing tokens and one does not.
fn lease() -> Lease {
    let mut lease =
        Lease::new(shard(), Name::from("r1"), term(1), Uuid::from_u128(1), Duration::ZERO);
    lease.update_plan(&model("oak@1"), vec![target(0, true, false), target(1, false, false)]);
    lease
}

fn stored(offset: u64, router: &str, id: u128) -> StoredRecord {
    let (router, id) = (Name::from(router), Uuid::from_u128(id));
    StoredRecord { offset, record: Record { shard: shard(), router, term: term(1), id } }
}

/// Makes the lease claim the shard with fence 5 at [`START`].
fn acquire(lease: &mut Lease) {
    let id = Uuid::from_u128(1);
    assert!(matches!(lease.poll(START)[..], [Action::Claim(_)]));
    lease.record_append(id, Append::MayHaveRun { from: 5 }, START);
    assert_eq!(lease.poll(START), [Action::Read { id, from: 5 }]);
    let tail = Tail { records: vec![stored(5, "r1", 1)], next: 6 };
    lease.record_read(id, START, &Ok(tail), START);
}

fn orders(actions: Vec<Action>) -> Vec<Order> {
    let order = |action| match action {
        Action::Order(order) => Some(order),
        _ => None,
    };
    actions.into_iter().filter_map(order).collect()
}

fn runners(orders: &[Order]) -> Vec<&str> {
    orders.iter().map(|order| order.runner.as_str()).collect()
}

#[test]
fn a_runner_that_checks_fencing_gets_orders_at_once_and_another_after_the_former_lease() {
    let mut lease = lease();
    acquire(&mut lease);
    let issued = orders(lease.poll(START));
    assert_eq!((runners(&issued), issued[0].fence), (vec!["oak-0"], 5));
    assert_eq!(issued[0].valid_until, START + LEASE_DURATION);
    let before = START + LEASE_WAIT - Duration::from_millis(1);
    lease.record_read(Uuid::from_u128(1), before, &Ok(Tail { records: vec![], next: 6 }), before);
    assert_eq!(orders(lease.poll(before)), []);
    assert_eq!(runners(&orders(lease.poll(START + LEASE_WAIT))), ["oak-1"]);
}

#[test]
fn an_expired_lease_reads_the_log_and_sends_no_orders() {
    let mut lease = lease();
    acquire(&mut lease);
    let late = START + Duration::from_secs(60);
    let id = Uuid::from_u128(1);
    let actions = lease.poll(late);
    assert!(actions.contains(&Action::Read { id, from: 6 }), "{actions:?}");
    assert_eq!(orders(actions), []);
    let tail = Tail { records: vec![stored(6, "r2", 2)], next: 7 };
    lease.record_read(id, late, &Ok(tail), late);
    assert_eq!(orders(lease.poll(late)), []);
    assert_eq!(lease.poll(late + Duration::from_secs(5)), []);
}

#[test]
fn without_the_log_no_order_is_sent_and_the_log_is_retried_after_a_delay() {
    let mut lease = lease();
    let id = Uuid::from_u128(1);
    assert!(matches!(lease.poll(START)[..], [Action::Claim(_)]));
    lease.record_append(id, Append::NotRun, START);
    assert_eq!(lease.poll(START), []);
    assert!(matches!(lease.poll(START * 2)[..], [Action::Claim(_)]));
    lease.record_append(id, Append::MayHaveRun { from: 5 }, START * 2);
    assert_eq!(lease.poll(START * 2), [Action::Read { id, from: 5 }]);
    lease.record_read(id, START * 2, &Err(ReadError::Unavailable), START * 2);
    assert_eq!(lease.poll(START * 2), []);
    assert_eq!(lease.poll(START * 3), [Action::Read { id, from: 5 }]);
}

#[test]
fn a_refusal_by_a_newer_fence_stops_all_orders() {
    let mut lease = lease();
    acquire(&mut lease);
    let issued = orders(lease.poll(START));
    lease.record_outcome(&issued[0], Outcome::Superseded, START);
    let events = lease.poll(START);
    assert_eq!((events.len(), orders(events)), (2, vec![]));
    assert_eq!(lease.poll(START + LEASE_WAIT), []);
}

#[test]
fn a_completed_order_is_repeated_when_the_runner_restarts_turns_cold_or_the_model_changes() {
    let mut lease = lease();
    acquire(&mut lease);
    let runner = Name::from("oak-0");
    let load = |warm, sequence| {
        let age = Duration::ZERO;
        Some(sched::Load { running: 0, waiting: 0, warm, age, sequence })
    };
    let mut issued = 0;
    for report in [load(true, 9), load(false, 10), load(false, 1), None, None, load(false, 2)] {
        lease.record_load(&runner, report);
        for order in orders(lease.poll(START)) {
            assert_eq!(order.task, model("oak@1")[0]);
            lease.record_outcome(&order, Outcome::Done, START);
            issued += 1;
        }
        assert_eq!(orders(lease.poll(START)), []);
    }
    assert_eq!(issued, 4, "first, cold, restarted, unresponsive");
    lease.update_plan(&model("oak@2"), vec![target(0, true, false), target(1, false, false)]);
    assert_eq!(orders(lease.poll(START))[0].task, model("oak@2")[0]);
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0..3_usize, any::<bool>())
            .prop_map(|(router, active)| Event::SetDispatcher { router, active }),
        2 => (0..3_usize, 500..12_000_u64)
            .prop_map(|(router, millis)| Event::Pause { router, millis }),
        1 => (0..3_usize).prop_map(|router| Event::BeginTerm { router }),
        1 => (500..8_000_u64).prop_map(|millis| Event::LogOutage { millis }),
        1 => (500..8_000_u64).prop_map(|millis| Event::LoseAnswers { millis }),
        1 => (0..2_usize).prop_map(|runner| Event::Crash { runner }),
        1 => (0..2_usize, any::<bool>())
            .prop_map(|(runner, out)| Event::SetPlacement { runner, out }),
        2 => (1..9_u32).prop_map(|version| Event::SetModel { version }),
        6 => (0..3_usize, 1..9_u32, 50..3_000_u64, 3_000..15_000_u64).prop_map(
            |(router, version, after, millis)| Event::Race { router, version, after, millis }
        ),
    ]
}

fn config(cases: u32) -> ProptestConfig {
    let seed = RngSeed::Fixed(20_261_203);
    ProptestConfig { cases, rng_seed: seed, failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn no_older_order_is_executed_after_a_newer_one_and_all_is_loaded_once_faults_end(
        seed in any::<u64>(),
        script in proptest::collection::vec((0..FAULTS_END, event()), 0..40),
    ) {
        let mut simulation = Simulation::new(seed, script);
        simulation.run();
        for runner in &simulation.runners {
            let is_ascending = runner.executed.is_sorted();
            prop_assert!(is_ascending, "checks {}: {:?}", runner.checks_fencing, runner.executed);
            prop_assert!(
                runner.is_ready(simulation.wanted_version),
                "{runner:?} wants {}",
                simulation.wanted_version
            );
        }
    }
}
