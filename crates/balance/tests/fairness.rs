//! Shares of workspaces in the engines when several of them flood the routers.

mod common;

use std::time::Duration;

use balance::FairShare;
use balance::Work;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::subsequence;
use proptest::test_runner::RngSeed;

use crate::common::fleet::Fleet;
use crate::common::floods::END;
use crate::common::floods::FLOOD;
use crate::common::floods::Floods;
use crate::common::floods::Load;
use crate::common::floods::RUN;
use crate::common::floods::WINDOW;
use crate::common::floods::extremes;
use crate::common::floods::play;
use crate::common::ms;

/// The requests of the workspace that does not flood, in a window.
const SMALL_REQUESTS: u64 = 10 * WINDOW;
/// The number of routers.
const ROUTERS: usize = 9;

/// The time for which the reports of a router get lost.
const SILENCE: Duration = Duration::from_millis(1_500);

fn floods() -> Vec<Vec<usize>> {
    vec![vec![0], vec![1, 2], vec![3, 4, 5, 6, 7, 8]]
}

fn contended(used: u64, unmet: u64) -> Work {
    Work { used, contended: used, unmet }
}

/// Asserts that no flood is granted less than half of what another one is, in any window that begins in the flood.
fn assert_fair(fleet: &Fleet, floods: Floods) {
    for from in FLOOD..=END - WINDOW {
        let (least, most) = extremes(fleet, floods, from);
        assert!(least * 2 >= most, "from {from} s on: least {least}, most {most}");
    }
}

/// Asserts that a workspace that asks for little is granted at least four fifths of it, in the same windows.
fn assert_small_is_served(fleet: &Fleet) {
    for from in FLOOD..=END - WINDOW {
        let granted = fleet.granted_between("small", from, from + WINDOW);
        assert!(
            granted * 5 >= SMALL_REQUESTS * 4,
            "from {from} s on: {granted} of {SMALL_REQUESTS}"
        );
    }
}

/// Guards against shares far below others for a workspace that had used idle engines before a flood.
#[test]
fn use_of_idle_engines_does_not_count_against_a_workspace_when_others_flood_later() {
    let mut fleet = Fleet::new(ROUTERS, 6, RUN, ms(100));
    play(&mut fleet, &floods(), Load::default());
    assert_fair(&fleet, &floods());
}

/// Guards against routers that all fill the same places, since none knows of the others' requests yet.
#[test]
fn floods_at_many_routers_leave_room_for_others_whatever_the_interval_of_reports() {
    for interval in [ms(50), ms(100), ms(300)] {
        let mut fleet = Fleet::new(ROUTERS, 6, RUN, interval);
        play(&mut fleet, &floods(), Load::default());
        assert_fair(&fleet, &floods());
        assert_small_is_served(&fleet);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, rng_seed: RngSeed::Fixed(20_261_204), failure_persistence: None, max_shrink_iters: 0, ..ProptestConfig::default() })]

    #[test]
    fn floods_get_alike_wherever_their_callers_are_with_late_reports_and_a_silent_router(
        floods in vec(subsequence((0..ROUTERS).collect::<Vec<_>>(), 1..=ROUTERS), 2..5),
        interval in 5..30u64,
        silent in 0..ROUTERS,
        silent_from in 0..8u64,
    ) {
        let mut fleet = Fleet::new(ROUTERS, 6, RUN, ms(10 * interval));
        let from = Duration::from_secs(FLOOD + silent_from);
        fleet.silent = Some((silent, from, from + SILENCE));
        play(&mut fleet, &floods, Load::default());
        assert_fair(&fleet, &floods);
    }
}

#[test]
fn a_fair_share_is_what_is_left_by_those_that_ask_for_less_divided_evenly() {
    let short = [contended(10, 0), contended(50, 500), contended(20, 100), contended(20, 900)];
    assert_eq!(FairShare::of(100, &short).tokens(), 30);
    let idle = [contended(10, 0), contended(50, 0)];
    assert_eq!(FairShare::of(60, &idle).tokens(), 50);
    assert_eq!(FairShare::of(0, &[]).tokens(), 0);
}

#[test]
fn a_workspace_may_fill_less_of_an_engine_the_more_it_was_granted_but_never_nothing() {
    let share = FairShare::of(200, &[contended(100, 400), contended(100, 400)]);
    let fractions =
        [0, 50, 100, 150, 10_000].map(|used| share.allowed_fraction(contended(used, 400)));
    assert!(fractions.is_sorted_by(|more, less| more >= less), "{fractions:?}");
    assert!(fractions[0] >= 1.0 && fractions[4] > 0.0, "{fractions:?}");
}

#[test]
fn use_of_idle_engines_counts_up_to_the_fair_share_only() {
    let share = FairShare::of(200, &[contended(100, 400), contended(100, 400)]);
    let idle = |used| share.allowed_fraction(Work { used, contended: 0, unmet: 0 });
    assert_eq!(idle(900), share.allowed_fraction(contended(100, 0)));
    assert_eq!(idle(60), share.allowed_fraction(contended(60, 0)));
}
