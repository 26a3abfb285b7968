//! Shares of workspaces in the engines when several of them flood the routers.

mod common;

use std::time::Duration;

use balance::FairShare;
use balance::Work;

use crate::common::fleet::Fleet;
use crate::common::ms;
use crate::common::request;

/// The second in which the load begins.
const START: u64 = 100;
/// The second in which the floods begin.
const FLOOD: u64 = START + 4;
/// The second in which the load ends.
const END: u64 = FLOOD + 12;
/// The length of the windows in which shares are compared, in seconds.
const WINDOW: u64 = 6;
/// The time for which a request runs.
const RUN: Duration = Duration::from_millis(1_500);
/// The number of routers.
const ROUTERS: usize = 9;

/// Workspaces that flood, with the routers of their callers.
type Floods<'a> = &'a [(&'a str, &'a [usize])];

const FLOODS: Floods = &[("early", &[0]), ("second", &[1, 2]), ("third", &[3, 4, 5, 6, 7, 8])];

/// Plays floods, the first of which has used most of the engines before, when they were idle.
fn play(fleet: &mut Fleet, floods: Floods) {
    for step in 0..(END - START) * 100 {
        let now = Duration::from_secs(START) + ms(10 * step);
        let is_flooded = now >= Duration::from_secs(FLOOD);
        fleet.step(now);
        if is_flooded {
            fleet.record_slow_tokens(now);
        }
        for (index, (workspace, routers)) in floods.iter().enumerate() {
            let requests = match (is_flooded, index) {
                (true, _) => 4,
                (false, 0) => 1,
                (false, _) => u64::from(step % 5 == 0),
            };
            for request_number in 0..requests {
                let router = routers[(step + request_number) as usize % routers.len()];
                let part = 1_000 * (index as u64 + 1) + step % 40;
                fleet.submit(now, router, request(now, workspace, part, 2_000));
            }
        }
        if step % 10 == 0 {
            let router = (step / 10) as usize % ROUTERS;
            fleet.submit(now, router, request(now, "small", 9, 2_000));
        }
    }
}

/// Returns the smallest and the largest number of requests of a flood that were granted in a window.
fn extremes(fleet: &Fleet, floods: Floods, from: u64) -> (u64, u64) {
    let granted =
        || floods.iter().map(|(name, _)| fleet.granted_between(name, from, from + WINDOW));
    (granted().min().unwrap_or(0), granted().max().unwrap_or(0))
}

/// Asserts that no flood is granted less than half of what another one is, in any window that begins in the flood.
fn assert_fair(fleet: &Fleet, floods: Floods) {
    for from in FLOOD..=END - WINDOW {
        let (least, most) = extremes(fleet, floods, from);
        assert!(least * 2 >= most, "from {from} s on: least {least}, most {most}");
    }
}

/// Guards against shares far below others for a workspace that had used idle engines before a flood.
#[test]
fn use_of_idle_engines_does_not_count_against_a_workspace_when_others_flood_later() {
    let mut fleet = Fleet::new(ROUTERS, 6, RUN, ms(100));
    play(&mut fleet, FLOODS);
    assert_fair(&fleet, FLOODS);
}

#[test]
fn a_fair_share_is_what_is_left_by_those_that_ask_for_less_divided_evenly() {
    let work = |used, unmet| Work { used, unmet };
    let contended = [work(10, 0), work(50, 500), work(20, 100), work(20, 900)];
    assert_eq!(FairShare::of(contended.into_iter()).tokens(), 30);
    let idle = [work(10, 0), work(50, 0)];
    assert_eq!(FairShare::of(idle.into_iter()).tokens(), 50);
    assert_eq!(FairShare::of(std::iter::empty()).tokens(), 0);
}

#[test]
fn a_workspace_may_fill_less_of_an_engine_the_more_it_was_granted_but_never_nothing() {
    let share =
        FairShare::of([Work { used: 100, unmet: 400 }, Work { used: 100, unmet: 400 }].into_iter());
    let fractions = [0, 50, 100, 150, 10_000].map(|used| share.allowed_fraction(used));
    assert!(fractions.is_sorted_by(|more, less| more >= less), "{fractions:?}");
    assert!(fractions[0] >= 1.0 && fractions[4] > 0.0, "{fractions:?}");
}
