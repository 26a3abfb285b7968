//! The algebraic laws of merging registers.

use mesh::Register;
use mesh::RegisterTable;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

/// Generates registers of one key that often have some fields in common.
fn registers() -> impl Strategy<Value = Register> {
    let value = vec(0_u8..3, 0..3);
    (0_u64..3, any::<bool>(), value, select(vec!["a", "b", "c"])).prop_map(
        |(counter, wins_ties, value, by)| Register {
            key: "zone/a".into(),
            counter,
            wins_ties,
            value,
            by: by.into(),
        },
    )
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(20_261_203), ..ProptestConfig::default() }
}

fn register(counter: u64, wins_ties: bool, value: &[u8]) -> Register {
    Register { key: "k".into(), counter, wins_ties, value: value.to_vec(), by: "op".into() }
}

#[test]
fn a_higher_counter_wins_over_the_tie_flag() {
    let back = register(2, false, b"back");
    let out = register(1, true, b"out");
    assert_eq!(out.merge(back.clone()), back);
}

#[test]
fn the_tie_flag_wins_at_the_same_counter() {
    let back = register(1, false, b"later in the alphabet");
    let out = register(1, true, b"early");
    assert_eq!(back.merge(out.clone()), out);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn merging_is_commutative(one in registers(), other in registers()) {
        prop_assert_eq!(one.clone().merge(other.clone()), other.merge(one));
    }

    #[test]
    fn merging_is_associative(one in registers(), two in registers(), three in registers()) {
        let left = one.clone().merge(two.clone()).merge(three.clone());
        prop_assert_eq!(left, one.merge(two.merge(three)));
    }

    #[test]
    fn merging_is_idempotent(one in registers(), other in registers()) {
        let merged = one.clone().merge(other.clone());
        prop_assert_eq!(merged.clone().merge(other), merged.clone());
        prop_assert_eq!(merged.clone().merge(one), merged);
    }

    #[test]
    fn a_table_does_not_depend_on_the_order(mut all in vec(registers(), 1..8)) {
        let mut forward = RegisterTable::default();
        all.iter().for_each(|register| { forward.merge(register); });
        all.reverse();
        let mut backward = RegisterTable::default();
        all.iter().for_each(|register| { backward.merge(register); });
        let forward: Vec<&Register> = forward.iter().collect();
        prop_assert_eq!(forward, backward.iter().collect::<Vec<_>>());
    }
}
