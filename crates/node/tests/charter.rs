//! Who may order runners, through pauses, lost answers, outages of the log and rival dispatchers.

mod world;

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
use uuid::Uuid;
use world::CALM;
use world::Event;
use world::World;
use world::shard;
use world::target;
use world::term;

const BEGIN: Duration = Duration::from_secs(1);

fn model(name: &str) -> Vec<Task> {
    vec![Task { kind: Kind::LoadModel, name: name.to_owned() }]
}

/// Returns a charter of a runner that checks fences and one that does not.
fn lease() -> Lease {
    let mut lease =
        Lease::new(shard(), Name::from("r1"), term(1), Uuid::from_u128(1), Duration::ZERO);
    lease.update_plan(&model("oak@1"), vec![target(0, true, false), target(1, false, false)]);
    lease
}

fn seen(offset: u64, router: &str, id: u128) -> StoredRecord {
    let (router, id) = (Name::from(router), Uuid::from_u128(id));
    StoredRecord { offset, record: Record { shard: shard(), router, term: term(1), id } }
}

/// Lets the charter claim with fence 5 at [`BEGIN`].
fn hold(lease: &mut Lease) {
    let id = Uuid::from_u128(1);
    assert!(matches!(lease.poll(BEGIN)[..], [Action::Claim(_)]));
    lease.record_append(id, Append::MayHaveRun { from: 5 }, BEGIN);
    assert_eq!(lease.poll(BEGIN), [Action::Read { id, from: 5 }]);
    let reading = Tail { records: vec![seen(5, "r1", 1)], next: 6 };
    lease.record_read(id, BEGIN, &Ok(reading), BEGIN);
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
fn a_runner_that_checks_is_ordered_at_once_and_the_other_after_the_former_lease() {
    let mut lease = lease();
    hold(&mut lease);
    let given = orders(lease.poll(BEGIN));
    assert_eq!((runners(&given), given[0].fence), (vec!["oak-0"], 5));
    assert_eq!(given[0].valid_until, BEGIN + LEASE_DURATION);
    let before = BEGIN + LEASE_WAIT - Duration::from_millis(1);
    lease.record_read(Uuid::from_u128(1), before, &Ok(Tail { records: vec![], next: 6 }), before);
    assert_eq!(orders(lease.poll(before)), []);
    assert_eq!(runners(&orders(lease.poll(BEGIN + LEASE_WAIT))), ["oak-1"]);
}

#[test]
fn a_holder_whose_lease_is_over_asks_the_log_and_orders_nothing() {
    let mut lease = lease();
    hold(&mut lease);
    let late = BEGIN + Duration::from_secs(60);
    let id = Uuid::from_u128(1);
    let actions = lease.poll(late);
    assert!(actions.contains(&Action::Read { id, from: 6 }), "{actions:?}");
    assert_eq!(orders(actions), []);
    let reading = Tail { records: vec![seen(6, "r2", 2)], next: 7 };
    lease.record_read(id, late, &Ok(reading), late);
    assert_eq!(orders(lease.poll(late)), []);
    assert_eq!(lease.poll(late + Duration::from_secs(5)), []);
}

#[test]
fn without_the_log_nothing_is_ordered_and_the_log_is_asked_with_a_pause() {
    let mut lease = lease();
    let id = Uuid::from_u128(1);
    assert!(matches!(lease.poll(BEGIN)[..], [Action::Claim(_)]));
    lease.record_append(id, Append::NotRun, BEGIN);
    assert_eq!(lease.poll(BEGIN), []);
    assert!(matches!(lease.poll(BEGIN * 2)[..], [Action::Claim(_)]));
    lease.record_append(id, Append::MayHaveRun { from: 5 }, BEGIN * 2);
    assert_eq!(lease.poll(BEGIN * 2), [Action::Read { id, from: 5 }]);
    lease.record_read(id, BEGIN * 2, &Err(ReadError::Unavailable), BEGIN * 2);
    assert_eq!(lease.poll(BEGIN * 2), []);
    assert_eq!(lease.poll(BEGIN * 3), [Action::Read { id, from: 5 }]);
}

#[test]
fn a_refusal_by_a_newer_fence_stops_all_orders() {
    let mut lease = lease();
    hold(&mut lease);
    let given = orders(lease.poll(BEGIN));
    lease.record_outcome(&given[0], Outcome::Superseded, BEGIN);
    let notes = lease.poll(BEGIN);
    assert_eq!((notes.len(), orders(notes)), (2, vec![]));
    assert_eq!(lease.poll(BEGIN + LEASE_WAIT), []);
}

#[test]
fn an_obeyed_order_is_repeated_when_the_runner_falls_turns_cold_or_the_model_changes() {
    let mut lease = lease();
    hold(&mut lease);
    let runner = Name::from("oak-0");
    let load = |warm, sequence| {
        let age = Duration::ZERO;
        Some(sched::Load { running: 0, waiting: 0, warm, age, sequence })
    };
    let mut given = 0;
    for report in [load(true, 9), load(false, 10), load(false, 1), None, None, load(false, 2)] {
        lease.record_load(&runner, report);
        for order in orders(lease.poll(BEGIN)) {
            assert_eq!(order.task, model("oak@1")[0]);
            lease.record_outcome(&order, Outcome::Done, BEGIN);
            given += 1;
        }
        assert_eq!(orders(lease.poll(BEGIN)), []);
    }
    assert_eq!(given, 4, "first, cold, fallen, silent");
    lease.update_plan(&model("oak@2"), vec![target(0, true, false), target(1, false, false)]);
    assert_eq!(orders(lease.poll(BEGIN))[0].task, model("oak@2")[0]);
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0..3_usize, any::<bool>()).prop_map(|(router, acts)| Event::Act { router, acts }),
        2 => (0..3_usize, 500..12_000_u64)
            .prop_map(|(router, millis)| Event::Pause { router, millis }),
        1 => (0..3_usize).prop_map(|router| Event::Term { router }),
        1 => (500..8_000_u64).prop_map(|millis| Event::LogDown { millis }),
        1 => (500..8_000_u64).prop_map(|millis| Event::LoseAnswers { millis }),
        1 => (0..2_usize).prop_map(|runner| Event::Fall { runner }),
        1 => (0..2_usize, any::<bool>()).prop_map(|(runner, out)| Event::Out { runner, out }),
        2 => (1..9_u32).prop_map(|version| Event::Want { version }),
        6 => (0..3_usize, 1..9_u32, 50..3_000_u64, 3_000..15_000_u64).prop_map(
            |(router, version, after, millis)| Event::Race { router, version, after, millis }
        ),
    ]
}

fn fixed(cases: u32) -> ProptestConfig {
    let seed = RngSeed::Fixed(20_261_203);
    ProptestConfig { cases, rng_seed: seed, failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(fixed(256))]

    #[test]
    fn no_older_order_is_obeyed_after_a_newer_one_and_all_is_loaded_once_faults_end(
        seed in any::<u64>(),
        script in proptest::collection::vec((0..CALM, event()), 0..40),
    ) {
        let mut world = World::new(seed, script);
        world.run();
        for runner in &world.runners {
            let rising = runner.obeyed.is_sorted();
            prop_assert!(rising, "checks {}: {:?}", runner.checks_fencing, runner.obeyed);
            prop_assert!(runner.has(world.wanted), "{runner:?} wants {}", world.wanted);
        }
    }
}
