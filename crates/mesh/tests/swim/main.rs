//! The membership protocol under packet loss, crashes and network partitions.

mod simulation;

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
use simulation::Simulation;
use simulation::name;
use simulation::register;

const SEEDS: Range<u64> = 0..8;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn dead_count(simulation: &Simulation, viewers: &[usize], index: usize) -> usize {
    viewers.iter().filter(|viewer| simulation.state(**viewer, index) == Some(State::Dead)).count()
}

/// Returns whether any of these routers considers another of them dead.
fn has_false_death(simulation: &Simulation, indexes: &[usize]) -> bool {
    indexes.iter().any(|index| dead_count(simulation, indexes, *index) > 0)
}

fn has_ping(actions: &[Action]) -> bool {
    actions.iter().any(|action| {
        matches!(action, Action::Send { message, .. } if matches!(message.kind, Kind::Ping { .. }))
    })
}

#[test]
fn all_declare_a_killed_member_dead_within_four_seconds() {
    for seed in SEEDS {
        let mut simulation = Simulation::joined(9, seed);
        simulation.kill(4);
        let rest = [0, 1, 2, 3, 5, 6, 7, 8];
        simulation
            .run_while(seconds(4), |simulation| dead_count(simulation, &rest, 4) < rest.len());
        assert_eq!(dead_count(&simulation, &rest, 4), rest.len(), "seed {seed}");
        assert!(!has_false_death(&simulation, &rest), "seed {seed}");
    }
}

#[test]
fn no_answering_member_is_declared_dead_under_packet_loss() {
    let all: Vec<usize> = (0..9).collect();
    for seed in SEEDS {
        let mut simulation = Simulation::joined(9, seed);
        simulation.loss = 0.1;
        simulation.run_while(seconds(20), |simulation| !has_false_death(simulation, &all));
        assert!(!has_false_death(&simulation, &all), "seed {seed} at {:?}", simulation.now);
    }
}

#[test]
fn a_suspected_member_refutes_and_keeps_its_incarnation() {
    let mut simulation = Simulation::joined(9, 1);
    let suspicion = MemberUpdate {
        record: simulation.routers[&name(4)].record().clone(),
        version: simulation.routers[&name(4)].version(),
        state: State::Suspect,
    };
    let message = Message {
        version: simulation.routers[&name(1)].version(),
        suspicion: None,
        kind: Kind::Gossip,
        updates: vec![Update::Member(suspicion)],
    };
    let now = simulation.now;
    let viewer = simulation.routers.get_mut(&name(0)).expect("the router runs");
    viewer.receive(now, &name(1), message);
    assert_eq!(simulation.state(0, 4), Some(State::Suspect));
    let all: Vec<usize> = (0..9).collect();
    simulation.run_while(seconds(5), |simulation| !has_false_death(simulation, &all));
    assert!(simulation.sees_exactly(&all));
    assert_eq!(simulation.incarnation(0, 4), Some(1));
}

#[test]
fn both_sides_of_a_partition_keep_running_and_merge_again() {
    let (left, right) = ([0, 1, 2, 3], [4, 5, 6, 7, 8]);
    for seed in SEEDS {
        let mut simulation = Simulation::joined(9, seed);
        simulation.split(&left, &right);
        simulation.run(seconds(10));
        assert!(simulation.sees_exactly(&left) && simulation.sees_exactly(&right), "seed {seed}");
        simulation.publish(0, &register("zone/a", 2, false));
        simulation.publish(8, &register("zone/a", 2, true));
        simulation.publish(8, &register("zone/b", 1, true));
        simulation.run(seconds(5));
        simulation.cuts.clear();
        let all: Vec<usize> = (0..9).collect();
        let is_converged = |simulation: &Simulation| {
            simulation.sees_exactly(&all) && simulation.has_same_registers()
        };
        let time = simulation.run_while(seconds(8), |simulation| !is_converged(simulation));
        assert!(is_converged(&simulation), "seed {seed}: not converged after {time:?}");
        let mut registers = simulation.routers[&name(0)].registers();
        registers.sort_by(|one, other| one.key.cmp(&other.key));
        assert_eq!(registers, [register("zone/a", 2, true), register("zone/b", 1, true)]);
    }
}

#[test]
fn many_registers_converge_after_a_partition() {
    let (left, right) = ([0, 1], [2, 3, 4]);
    let mut simulation = Simulation::joined(5, 3);
    simulation.split(&left, &right);
    simulation.run(seconds(5));
    for index in 0..300 {
        simulation.publish(0, &register(&format!("left/{index}"), 1, false));
        simulation.publish(4, &register(&format!("right/{index}"), 1, false));
    }
    simulation.run(seconds(30));
    simulation.cuts.clear();
    simulation.run_while(seconds(30), |simulation| !simulation.has_same_registers());
    assert!(simulation.has_same_registers());
    assert_eq!(simulation.routers[&name(2)].registers().len(), 600);
}

#[test]
fn an_isolated_router_causes_no_refutations_when_it_returns() {
    let rest: Vec<usize> = (0..8).collect();
    for seed in SEEDS {
        let mut simulation = Simulation::joined(9, seed);
        simulation.split(&[8], &rest);
        simulation.run(seconds(10));
        assert!(simulation.sees_exactly(&rest) && simulation.sees_exactly(&[8]), "seed {seed}");
        simulation.cuts.clear();
        let all: Vec<usize> = (0..9).collect();
        let versions = |simulation: &Simulation| {
            rest.iter().map(|index| simulation.version(*index)).collect::<Vec<_>>()
        };
        let before = versions(&simulation);
        simulation.run_while(seconds(8), |simulation| !simulation.sees_exactly(&all));
        assert!(simulation.sees_exactly(&all), "seed {seed}");
        assert_eq!(versions(&simulation), before, "seed {seed}: a router had to refute");
    }
}

/// Cuts one direction of all links of one router, and checks that it is declared dead and stays dead, and that no other
/// router is declared dead.
fn check_one_way(seed: u64, cannot_receive: bool) {
    let rest: Vec<usize> = (0..8).collect();
    let mut simulation = Simulation::joined(9, seed);
    for other in &rest {
        let (from, to) = if cannot_receive { (*other, 8) } else { (8, *other) };
        simulation.cuts.insert((name(from), name(to)));
    }
    simulation.run_while(seconds(6), |simulation| dead_count(simulation, &rest, 8) < rest.len());
    assert_eq!(
        dead_count(&simulation, &rest, 8),
        rest.len(),
        "seed {seed}, cannot receive: {cannot_receive}"
    );
    simulation.run_while(seconds(15), |simulation| {
        dead_count(simulation, &rest, 8) == rest.len() && !has_false_death(simulation, &rest)
    });
    assert_eq!(
        dead_count(&simulation, &rest, 8),
        rest.len(),
        "seed {seed}, cannot receive: {cannot_receive}"
    );
    assert!(!has_false_death(&simulation, &rest), "seed {seed}, cannot receive: {cannot_receive}");
}

#[test]
fn a_router_that_cannot_receive_is_the_only_one_declared_dead() {
    SEEDS.for_each(|seed| check_one_way(seed, true));
}

#[test]
fn a_router_that_cannot_send_is_the_only_one_declared_dead() {
    SEEDS.for_each(|seed| check_one_way(seed, false));
}

#[test]
fn no_member_is_declared_dead_when_one_pair_is_cut() {
    for seed in SEEDS {
        let mut simulation = Simulation::joined(9, seed);
        simulation.split(&[0], &[1]);
        let all: Vec<usize> = (0..9).collect();
        simulation.run_while(seconds(15), |simulation| !has_false_death(simulation, &all));
        assert!(!has_false_death(&simulation, &all), "seed {seed}");
    }
}

#[test]
fn a_router_that_restarts_empty_is_seen_as_a_new_process_by_all() {
    for seed in SEEDS {
        let mut simulation = Simulation::joined(9, seed);
        simulation.kill(4);
        simulation.start(4, 2);
        let all: Vec<usize> = (0..9).collect();
        let is_new = |simulation: &Simulation| {
            let seen = all.iter().all(|viewer| simulation.incarnation(*viewer, 4) == Some(2));
            seen && simulation.sees_exactly(&all)
        };
        simulation.run_while(seconds(6), |simulation| !is_new(simulation));
        assert!(is_new(&simulation), "seed {seed}");
    }
}

#[test]
fn a_router_whose_clock_has_gone_back_still_returns_as_a_new_process() {
    let mut simulation = Simulation::joined(5, 2);
    simulation.kill(4);
    simulation.run(seconds(5));
    simulation.start(4, 0);
    let all: Vec<usize> = (0..5).collect();
    simulation.run_while(seconds(10), |simulation| !simulation.sees_exactly(&all));
    assert!(simulation.sees_exactly(&all));
    assert!(simulation.incarnation(0, 4) > Some(1));
}

#[test]
fn an_empty_instance_list_removes_no_member() {
    let mut simulation = Simulation::new(3, 1);
    let set_empty_list = |simulation: &mut Simulation| {
        simulation.routers.get_mut(&name(0)).expect("the router runs").set_candidates(&[]);
    };
    set_empty_list(&mut simulation);
    simulation.run(seconds(8));
    assert!(simulation.sees_exactly(&[0, 1, 2]));
    set_empty_list(&mut simulation);
    simulation.run(seconds(5));
    assert!(simulation.sees_exactly(&[0, 1, 2]));
}

#[test]
fn updates_about_others_from_a_dead_member_are_ignored() {
    let mut simulation = Simulation::joined(5, 1);
    let version = simulation.version(4);
    simulation.kill(4);
    simulation.run_while(seconds(5), |simulation| simulation.state(0, 4) != Some(State::Dead));
    let record = simulation.routers[&name(1)].record().clone();
    let update = MemberUpdate { record, version: simulation.version(1), state: State::Dead };
    let updates = vec![Update::Member(update)];
    let message = Message { version, suspicion: None, kind: Kind::Gossip, updates };
    let now = simulation.now;
    simulation.routers.get_mut(&name(0)).expect("the router runs").receive(now, &name(4), message);
    assert_eq!(simulation.state(0, 1), Some(State::Alive));
}

#[test]
fn a_member_that_is_not_listed_stays_while_it_answers() {
    let mut simulation = Simulation::joined(3, 1);
    let others: Vec<mesh::Candidate> = simulation.listed().into_iter().take(2).collect();
    for swim in simulation.routers.values_mut() {
        swim.set_candidates(&others);
    }
    simulation.run(seconds(5));
    assert!(simulation.sees_exactly(&[0, 1, 2]));
    simulation.kill(2);
    simulation.run(seconds(70));
    assert_eq!(simulation.state(0, 2), None);
}

#[test]
fn an_unlisted_router_is_not_admitted() {
    let simulation = Simulation::joined(2, 1);
    let version = simulation.routers[&name(0)].version();
    assert!(!simulation.routers[&name(0)].admits(&name(7), version));
    assert!(simulation.routers[&name(0)].admits(&name(1), version));
}

#[test]
fn a_paused_process_does_not_suspect_the_others() {
    let mut simulation = Simulation::joined(2, 1);
    let (now, version) = (simulation.now, simulation.version(1));
    let swim = simulation.routers.get_mut(&name(0)).expect("the router runs");
    let tick_at = |time: u64| now + Duration::from_millis(20 * time);
    let sent =
        (1..100).find(|time| has_ping(&swim.tick(tick_at(*time)))).expect("a tick sends a ping");
    let resumed = tick_at(sent) + seconds(5);
    swim.tick(resumed);
    let wait = Duration::from_millis(20);
    let states: Vec<State> = swim.members().iter().map(|member| member.state).collect();
    assert_eq!(states, [State::Alive, State::Alive]);
    for sequence in 0..200 {
        let kind = Kind::Ack { sequence };
        let ack = Message { version, suspicion: None, kind, updates: Vec::new() };
        swim.receive(resumed + wait, &name(1), ack);
    }
    swim.tick(resumed + 2 * wait);
    let states: Vec<State> = swim.members().iter().map(|member| member.state).collect();
    assert_eq!(states, [State::Alive, State::Alive]);
}

#[test]
fn a_router_that_has_left_stays_left() {
    let mut simulation = Simulation::joined(5, 4);
    let actions = simulation.routers.get_mut(&name(4)).expect("the router runs").leave();
    simulation.carry_out(&name(4), None, actions);
    simulation.run(Duration::from_millis(50));
    simulation.kill(4);
    let has_left = |simulation: &Simulation| {
        (0..4).all(|viewer| simulation.state(viewer, 4) == Some(State::Left))
    };
    simulation.run_while(seconds(3), |simulation| !has_left(simulation));
    assert!(has_left(&simulation));
    simulation.run_while(seconds(10), has_left);
    assert!(has_left(&simulation));
}

#[test]
fn number_and_size_of_registers_are_bounded() {
    let record = Simulation::new(1, 1).routers[&name(0)].record().clone();
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
    fn the_fleet_converges_after_any_faults(
        seed in any::<u64>(),
        size in 3_usize..12,
        killed in 0_usize..12,
        split in 1_usize..11,
        loss in 0.0..0.3,
    ) {
        let mut simulation = Simulation::joined(size, seed);
        simulation.loss = loss;
        let killed = killed % size;
        simulation.kill(killed);
        let split = split.min(size - 1);
        simulation.split(&(0..split).collect::<Vec<_>>(), &(split..size).collect::<Vec<_>>());
        simulation.run(seconds(5));
        simulation.publish((killed + 1) % size, &register("config", 7, false));
        simulation.run(seconds(5));
        simulation.cuts.clear();
        simulation.loss = 0.0;
        let rest: Vec<usize> = (0..size).filter(|index| *index != killed).collect();
        let is_converged = |simulation: &Simulation| {
            let is_dead = simulation.routers.keys().all(|viewer| {
                let view = simulation.routers[viewer].members();
                view.iter().all(|member| member.name != name(killed) || member.state == State::Dead)
            });
            is_dead && simulation.sees_exactly(&rest) && simulation.has_same_registers()
        };
        simulation.run_while(seconds(15), |simulation| !is_converged(simulation));
        prop_assert!(is_converged(&simulation));
    }
}
