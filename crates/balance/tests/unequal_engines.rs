//! Placement at engines of different speed, which state how long work takes there.

mod common;

use std::time::Duration;

use balance::Core;
use balance::Pace;
use balance::Request;
use balance::Sample;
use base::Name;
use indexmap::IndexMap;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;

use crate::common::core;
use crate::common::granted;
use crate::common::ms;
use crate::common::request;

const NOW: Duration = Duration::from_secs(100);
const ENGINES: usize = 8;
/// The figures of two kinds of engines, in percent of the usual time.
const FAST: u32 = 50;
const SLOW: u32 = 150;

/// Returns a router that has heard how long work takes at its engines: each second one is fast.
fn core_with_paces(at: Duration) -> Core {
    let mut core = core("router", ENGINES);
    for number in 0..ENGINES {
        let percent = if number.is_multiple_of(2) { FAST } else { SLOW };
        state(&mut core, number, Sample { percent, at });
    }
    core
}

fn state(core: &mut Core, number: usize, sample: Sample) {
    let key = core.registry.find(&format!("engine-{number}")).expect("known");
    core.registry.get_mut(key).expect("known").pace.record_told(sample);
}

/// Places requests without a common part and returns the prompt tokens that each engine has.
fn place(core: &mut Core, now: Duration, count: u64) -> IndexMap<Name, u64> {
    for number in 0..count {
        let asked =
            Request { arrived: now, ..request(now + ms(number), "wall", 1_000 + number, 10) };
        granted(core.submit(now, asked));
    }
    let engines = core.registry.iter();
    engines.map(|(_, runner)| (runner.registration.id.clone(), runner.own_load.backlog)).collect()
}

/// Guards against limits and costs in tokens, with which a prompt waits three times as long at a slow engine.
#[test]
fn prompts_wait_about_as_long_at_slow_engines_as_at_fast_ones() {
    let mut core = core_with_paces(NOW);
    let placed = place(&mut core, NOW, 24);
    let sum = |rest: usize| -> u64 {
        (0..ENGINES)
            .filter(|number| number % 2 == rest)
            .map(|number| placed[&Name::new(&format!("engine-{number}"))])
            .sum()
    };
    let (fast, slow) = (sum(0), sum(1));
    assert!(fast >= 2 * slow, "{fast} tokens at fast engines, {slow} at slow ones");
    assert!(slow > 0, "slow engines are used too");
}

/// Guards against prompts at an engine whose machine is slowed down for a moment.
#[test]
fn an_engine_that_is_slowed_down_now_gets_fewer_prompts_until_its_statement_is_old() {
    let tokens_at = |now: Duration| {
        let mut core = core("router", ENGINES);
        for number in 0..ENGINES {
            state(&mut core, number, Sample { percent: 100, at: NOW - ms(1_000) });
        }
        state(&mut core, 0, Sample { percent: 1_000, at: NOW });
        let placed = place(&mut core, now, 24);
        placed[&Name::new("engine-0")]
    };
    assert_eq!(tokens_at(NOW), 0, "its prompts would wait ten times as long");
    assert!(tokens_at(NOW + ms(2_000)) > 0, "the statement is too old to be used");
}

#[test]
fn a_figure_of_this_router_is_told_once_and_one_of_another_router_never() {
    let mut pace = Pace::default();
    pace.record_told(Sample { percent: 120, at: NOW });
    assert_eq!(pace.take_untold(), None);
    let own = Sample { percent: 300, at: NOW + ms(5) };
    pace.record(own);
    assert_eq!((pace.take_untold(), pace.take_untold()), (Some(own), None));
    pace.record_told(Sample { percent: 50, at: NOW });
    assert_eq!(pace.newest(), Some(own), "an older figure that arrives late has no effect");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against figures that are absurd or come in any order.
    #[test]
    fn any_figures_give_a_finite_factor(
        figures in proptest::collection::vec((any::<u32>(), 0_u64..10_000), 0..40),
        now in 0_u64..20_000,
    ) {
        let mut pace = Pace::default();
        for (percent, at) in figures {
            pace.record(Sample { percent, at: ms(at) });
        }
        for factor in [pace.factor(ms(now)), pace.undisturbed()] {
            prop_assert!((0.05..=20.0).contains(&factor), "{factor}");
        }
    }
}
