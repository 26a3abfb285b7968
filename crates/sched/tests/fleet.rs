//! Properties of entries and dispatchers together under frame loss, crashes, pauses and partitions.

mod common;

use common::fleet::Fault;
use common::fleet::Fleet;
use common::ms;
use common::plan;
use common::runner;
use common::workspace;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use sched::Kind;
use sched::Plan;

const NODES: usize = 5;

fn cold_plan() -> Plan {
    let workspaces = vec![workspace("x", 1, 500), workspace("y", 3, 500)];
    plan(Kind::Engine, vec![runner("e1", 4, 16), runner("e2", 2, 16)], workspaces)
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_203);
    ProptestConfig { cases: 64, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let fault = prop_oneof![
        (0..NODES).prop_map(Fault::Kill),
        (0..NODES, 500_u64..6_000).prop_map(|(node, span)| Fault::Pause(node, ms(span))),
        proptest::collection::vec(0..NODES, 1..4).prop_map(Fault::Split),
        proptest::strategy::Just(Fault::Heal),
        proptest::strategy::Just(Fault::Join),
    ];
    proptest::collection::vec((5_000_u64..40_000, fault), 0..5)
}

fn run(seed: u64, faults: &[(u64, Fault)]) -> Fleet {
    let mut fleet = Fleet::new(cold_plan(), NODES, seed);
    fleet.load(&["x", "y"], ms(2_000), ms(45_000), 250);
    let mut kills = 0;
    for (at, fault) in faults {
        kills += u32::from(matches!(fault, Fault::Kill(_)));
        if !matches!(fault, Fault::Kill(_)) || kills < 3 {
            fleet.fault(ms(*at), fault.clone());
        }
    }
    fleet.fault(ms(50_000), Fault::Heal);
    fleet.run(ms(90_000));
    fleet
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn cold_limits_hold_and_each_request_ends_once(seed in 0_u64..1 << 32, faults in faults()) {
        let fleet = run(seed, &faults);
        let limits: Vec<usize> = vec![4, 2];
        for (state, limit) in fleet.runner_states.iter().zip(limits) {
            prop_assert!(
                state.max_running <= limit,
                "{} on a limit of {}", state.max_running, limit
            );
        }
        prop_assert!(fleet.results.values().all(|result| result.granted <= 1));
        prop_assert_eq!(fleet.unsettled(), Vec::new());
        prop_assert!(fleet.results.values().any(|result| result.granted == 1));
    }
}
