//! The membership protocol under loss, kills and cuts.

mod world;

use std::ops::Range;
use std::time::Duration;

use mesh::State;
use mesh::swim::Action;
use mesh::swim::Kind;
use mesh::swim::MemberUpdate;
use mesh::swim::Message;
use mesh::swim::Swim;
use mesh::swim::Timing;
use mesh::swim::Update;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use world::World;
use world::name;
use world::register;

const SEEDS: Range<u64> = 0..8;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn dead_count(world: &World, viewers: &[usize], index: usize) -> usize {
    viewers.iter().filter(|viewer| world.state(**viewer, index) == Some(State::Dead)).count()
}

/// Returns whether any of these holds another of these for dead.
fn has_false_death(world: &World, indexes: &[usize]) -> bool {
    indexes.iter().any(|index| dead_count(world, indexes, *index) > 0)
}

fn has_ping(actions: &[Action]) -> bool {
    actions.iter().any(|action| {
        matches!(action, Action::Send { message, .. } if matches!(message.kind, Kind::Ping { .. }))
    })
}

#[test]
fn a_killed_member_is_dead_for_all_within_four_seconds() {
    for seed in SEEDS {
        let mut world = World::joined(9, seed);
        world.kill(4);
        let rest = [0, 1, 2, 3, 5, 6, 7, 8];
        world.run_while(seconds(4), |world| dead_count(world, &rest, 4) < rest.len());
        assert_eq!(dead_count(&world, &rest, 4), rest.len(), "seed {seed}");
        assert!(!has_false_death(&world, &rest), "seed {seed}");
    }
}

#[test]
fn no_member_that_answers_dies_under_loss() {
    let all: Vec<usize> = (0..9).collect();
    for seed in SEEDS {
        let mut world = World::joined(9, seed);
        world.loss = 0.1;
        world.run_while(seconds(20), |world| !has_false_death(world, &all));
        assert!(!has_false_death(&world, &all), "seed {seed} at {:?}", world.now);
    }
}

#[test]
fn a_suspected_member_refutes_without_looking_like_a_new_process() {
    let mut world = World::joined(9, 1);
    let suspicion = MemberUpdate {
        record: world.routers[&name(4)].record().clone(),
        version: world.routers[&name(4)].version(),
        state: State::Suspect,
    };
    let message = Message {
        version: world.routers[&name(1)].version(),
        suspicion: None,
        kind: Kind::Gossip,
        updates: vec![Update::Member(suspicion)],
    };
    let now = world.now;
    let viewer = world.routers.get_mut(&name(0)).expect("a running router");
    viewer.receive(now, &name(1), message);
    assert_eq!(world.state(0, 4), Some(State::Suspect));
    let all: Vec<usize> = (0..9).collect();
    world.run_while(seconds(5), |world| !has_false_death(world, &all));
    assert!(world.sees_exactly(&all));
    assert_eq!(world.incarnation(0, 4), Some(1));
}

#[test]
fn both_sides_of_a_partition_go_on_and_meet_again() {
    let (left, right) = ([0, 1, 2, 3], [4, 5, 6, 7, 8]);
    for seed in SEEDS {
        let mut world = World::joined(9, seed);
        world.split(&left, &right);
        world.run(seconds(10));
        assert!(world.sees_exactly(&left) && world.sees_exactly(&right), "seed {seed}");
        world.publish(0, &register("zone/a", 2, false));
        world.publish(8, &register("zone/a", 2, true));
        world.publish(8, &register("zone/b", 1, true));
        world.run(seconds(5));
        world.cuts.clear();
        let all: Vec<usize> = (0..9).collect();
        let meets = |world: &World| world.sees_exactly(&all) && world.has_same_registers();
        let time = world.run_while(seconds(8), |world| !meets(world));
        assert!(meets(&world), "seed {seed}: not met after {time:?}");
        let mut registers = world.routers[&name(0)].registers();
        registers.sort_by(|one, other| one.key.cmp(&other.key));
        assert_eq!(registers, [register("zone/a", 2, true), register("zone/b", 1, true)]);
    }
}

#[test]
fn many_registers_meet_after_a_partition() {
    let (left, right) = ([0, 1], [2, 3, 4]);
    let mut world = World::joined(5, 3);
    world.split(&left, &right);
    world.run(seconds(5));
    for index in 0..300 {
        world.publish(0, &register(&format!("left/{index}"), 1, false));
        world.publish(4, &register(&format!("right/{index}"), 1, false));
    }
    world.run(seconds(30));
    world.cuts.clear();
    world.run_while(seconds(30), |world| !world.has_same_registers());
    assert!(world.has_same_registers());
    assert_eq!(world.routers[&name(2)].registers().len(), 600);
}

#[test]
fn a_router_that_was_cut_off_alone_makes_nobody_refute_on_its_return() {
    let rest: Vec<usize> = (0..8).collect();
    for seed in SEEDS {
        let mut world = World::joined(9, seed);
        world.split(&[8], &rest);
        world.run(seconds(10));
        assert!(world.sees_exactly(&rest) && world.sees_exactly(&[8]), "seed {seed}");
        world.cuts.clear();
        let all: Vec<usize> = (0..9).collect();
        let versions =
            |world: &World| rest.iter().map(|index| world.version(*index)).collect::<Vec<_>>();
        let before = versions(&world);
        world.run_while(seconds(8), |world| !world.sees_exactly(&all));
        assert!(world.sees_exactly(&all), "seed {seed}");
        assert_eq!(versions(&world), before, "seed {seed}: a router had to refute");
    }
}

/// Runs a fleet in which one direction of one router is cut and checks that it dies once and nobody else does.
fn check_one_way(seed: u64, is_deaf: bool) {
    let rest: Vec<usize> = (0..8).collect();
    let mut world = World::joined(9, seed);
    for other in &rest {
        let (from, to) = if is_deaf { (*other, 8) } else { (8, *other) };
        world.cuts.insert((name(from), name(to)));
    }
    world.run_while(seconds(6), |world| dead_count(world, &rest, 8) < rest.len());
    assert_eq!(dead_count(&world, &rest, 8), rest.len(), "seed {seed}, deaf {is_deaf}");
    world.run_while(seconds(15), |world| {
        dead_count(world, &rest, 8) == rest.len() && !has_false_death(world, &rest)
    });
    assert_eq!(dead_count(&world, &rest, 8), rest.len(), "seed {seed}, deaf {is_deaf}");
    assert!(!has_false_death(&world, &rest), "seed {seed}, deaf {is_deaf}");
}

#[test]
fn a_router_that_cannot_receive_dies_once_and_takes_nobody_along() {
    SEEDS.for_each(|seed| check_one_way(seed, true));
}

#[test]
fn a_router_that_cannot_send_dies_once_and_takes_nobody_along() {
    SEEDS.for_each(|seed| check_one_way(seed, false));
}

#[test]
fn a_cut_between_two_members_is_bridged_by_others() {
    for seed in SEEDS {
        let mut world = World::joined(9, seed);
        world.split(&[0], &[1]);
        let all: Vec<usize> = (0..9).collect();
        world.run_while(seconds(15), |world| !has_false_death(world, &all));
        assert!(!has_false_death(&world, &all), "seed {seed}");
    }
}

#[test]
fn a_router_that_restarts_empty_is_seen_as_a_new_process_by_all() {
    for seed in SEEDS {
        let mut world = World::joined(9, seed);
        world.kill(4);
        world.start(4, 2);
        let all: Vec<usize> = (0..9).collect();
        let is_new = |world: &World| {
            let seen = all.iter().all(|viewer| world.incarnation(*viewer, 4) == Some(2));
            seen && world.sees_exactly(&all)
        };
        world.run_while(seconds(6), |world| !is_new(world));
        assert!(is_new(&world), "seed {seed}");
    }
}

#[test]
fn a_router_whose_clock_has_gone_back_still_returns_as_a_new_process() {
    let mut world = World::joined(5, 2);
    world.kill(4);
    world.run(seconds(5));
    world.start(4, 0);
    let all: Vec<usize> = (0..5).collect();
    world.run_while(seconds(10), |world| !world.sees_exactly(&all));
    assert!(world.sees_exactly(&all));
    assert!(world.incarnation(0, 4) > Some(1));
}

#[test]
fn an_empty_list_removes_nobody() {
    let mut world = World::new(3, 1);
    let router = |world: &mut World| {
        world.routers.get_mut(&name(0)).expect("a running router").set_candidates(&[]);
    };
    router(&mut world);
    world.run(seconds(8));
    assert!(world.sees_exactly(&[0, 1, 2]));
    router(&mut world);
    world.run(seconds(5));
    assert!(world.sees_exactly(&[0, 1, 2]));
}

#[test]
fn a_router_that_is_held_for_dead_is_not_heard_about_others() {
    let mut world = World::joined(5, 1);
    let version = world.version(4);
    world.kill(4);
    world.run_while(seconds(5), |world| world.state(0, 4) != Some(State::Dead));
    let record = world.routers[&name(1)].record().clone();
    let update = MemberUpdate { record, version: world.version(1), state: State::Dead };
    let updates = vec![Update::Member(update)];
    let message = Message { version, suspicion: None, kind: Kind::Gossip, updates };
    let now = world.now;
    world.routers.get_mut(&name(0)).expect("a running router").receive(now, &name(4), message);
    assert_eq!(world.state(0, 1), Some(State::Alive));
}

#[test]
fn a_member_that_is_not_listed_stays_while_it_answers() {
    let mut world = World::joined(3, 1);
    let others: Vec<mesh::Candidate> = world.listed().into_iter().take(2).collect();
    for swim in world.routers.values_mut() {
        swim.set_candidates(&others);
    }
    world.run(seconds(5));
    assert!(world.sees_exactly(&[0, 1, 2]));
    world.kill(2);
    world.run(seconds(70));
    assert_eq!(world.state(0, 2), None);
}

#[test]
fn a_stranger_to_the_list_is_not_admitted() {
    let world = World::joined(2, 1);
    let version = world.routers[&name(0)].version();
    assert!(!world.routers[&name(0)].admits(&name(7), version));
    assert!(world.routers[&name(0)].admits(&name(1), version));
}

#[test]
fn a_paused_process_does_not_blame_the_others() {
    let mut world = World::joined(2, 1);
    let (now, version) = (world.now, world.version(1));
    let swim = world.routers.get_mut(&name(0)).expect("a running router");
    let pings = |time: u64| now + Duration::from_millis(20 * time);
    let sent = (1..100).find(|time| has_ping(&swim.tick(pings(*time)))).expect("a ping");
    let woken = pings(sent) + seconds(5);
    swim.tick(woken);
    let wait = Duration::from_millis(20);
    let states: Vec<State> = swim.members().iter().map(|member| member.state).collect();
    assert_eq!(states, [State::Alive, State::Alive]);
    for sequence in 0..200 {
        let kind = Kind::Ack { sequence };
        let ack = Message { version, suspicion: None, kind, updates: Vec::new() };
        swim.receive(woken + wait, &name(1), ack);
    }
    swim.tick(woken + 2 * wait);
    let states: Vec<State> = swim.members().iter().map(|member| member.state).collect();
    assert_eq!(states, [State::Alive, State::Alive]);
}

#[test]
fn a_router_that_leaves_is_not_brought_back() {
    let mut world = World::joined(5, 4);
    let actions = world.routers.get_mut(&name(4)).expect("a running router").leave();
    world.carry_out(&name(4), None, actions);
    world.run(Duration::from_millis(50));
    world.kill(4);
    let has_left = |world: &World| (0..4).all(|viewer| world.state(viewer, 4) == Some(State::Left));
    world.run_while(seconds(3), |world| !has_left(world));
    assert!(has_left(&world));
    world.run_while(seconds(10), has_left);
    assert!(has_left(&world));
}

#[test]
fn the_registers_are_bounded() {
    let record = World::new(1, 1).routers[&name(0)].record().clone();
    let mut swim = Swim::new(record, 1, Timing::default(), 1);
    let mut large = register("large", 1, false);
    large.value = vec![0; mesh::VALUE_LIMIT + 1];
    swim.publish(&large);
    assert!(swim.registers().is_empty());
    for index in 0..5_000 {
        swim.publish(&register(&format!("key/{index}"), 1, false));
    }
    assert_eq!(swim.registers().len(), 4_096);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: RngSeed::Fixed(20_261_203), ..ProptestConfig::default() })]

    #[test]
    fn the_fleet_meets_again_after_any_faults(
        seed in any::<u64>(),
        size in 3_usize..12,
        killed in 0_usize..12,
        split in 1_usize..11,
        loss in 0.0..0.3,
    ) {
        let mut world = World::joined(size, seed);
        world.loss = loss;
        let killed = killed % size;
        world.kill(killed);
        let split = split.min(size - 1);
        world.split(&(0..split).collect::<Vec<_>>(), &(split..size).collect::<Vec<_>>());
        world.run(seconds(5));
        world.publish((killed + 1) % size, &register("config", 7, false));
        world.run(seconds(5));
        world.cuts.clear();
        world.loss = 0.0;
        let rest: Vec<usize> = (0..size).filter(|index| *index != killed).collect();
        let meets = |world: &World| {
            let gone = world.routers.keys().all(|viewer| {
                let view = world.routers[viewer].members();
                view.iter().all(|member| member.name != name(killed) || member.state == State::Dead)
            });
            gone && world.sees_exactly(&rest) && world.has_same_registers()
        };
        world.run_while(seconds(15), |world| !meets(world));
        prop_assert!(meets(&world));
    }
}
