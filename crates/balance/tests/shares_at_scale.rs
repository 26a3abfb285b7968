//! Shares and room of engines at many routers, with reports up to one second old.

mod common;

use std::time::Duration;

use balance::Refusal;
use base::Name;

use crate::common::fleet::Fleet;
use crate::common::floods::END;
use crate::common::floods::FLOOD;
use crate::common::floods::Load;
use crate::common::floods::RUN;
use crate::common::floods::START;
use crate::common::floods::WINDOW;
use crate::common::floods::extremes;
use crate::common::floods::name;
use crate::common::floods::play;
use crate::common::ms;
use crate::common::request;

/// The number of routers and engines of a fleet, and its load as a multiple of that at nine routers.
#[derive(Debug, Clone, Copy)]
struct Size {
    routers: usize,
    engines: usize,
    scale: u64,
}

const SMALL: Size = Size { routers: 9, engines: 6, scale: 1 };
const LARGE: Size = Size { routers: 45, engines: 24, scale: 4 };

/// The intervals of reports, in milliseconds.
const INTERVALS_MS: [u64; 4] = [100, 300, 600, 1_000];
/// The time between two steps, in milliseconds.
const STEP_MS: u64 = 10;
/// The time between two steps of plays in which a step takes long, in milliseconds.
const COARSE_STEP_MS: u64 = 20;
/// The load of a flood at nine routers, in requests a second.
const FLOOD_RATE: u64 = 400;

/// Returns the routers of floods: the first flood at all and two at one router each; the first at all and three, all at
/// one router; floods at all but two, at these two, at all.
fn spreads(routers: usize) -> [Vec<Vec<usize>>; 3] {
    let all: Vec<usize> = (0..routers).collect();
    [
        vec![all.clone(), vec![1], vec![2]],
        vec![all.clone(), vec![1], vec![1], vec![1]],
        vec![all[2..].to_vec(), vec![0, 1], all],
    ]
}

/// Asserts that no flood is granted less than half of what another one is, in any window that begins in the flood.
fn assert_floods_alike(size: Size, step_ms: u64, interval_ms: u64, spread: usize) {
    let floods = &spreads(size.routers)[spread];
    let mut fleet = Fleet::new(size.routers, size.engines, RUN, ms(interval_ms));
    play(&mut fleet, floods, Load { scale: size.scale, start: FLOOD - 2, step_ms });
    let grants: Vec<(u64, u64)> =
        (FLOOD..=END - WINDOW).map(|from| extremes(&fleet, floods, from)).collect();
    for (offset, (least, most)) in grants.iter().enumerate() {
        assert!(
            least * 2 >= *most,
            "{} routers, reports {interval_ms} ms apart, {WINDOW} s from {offset} s of the flood on: least {least}, most {most}; all windows: {grants:?}",
            size.routers
        );
    }
}

/// Defines tests that guard against what routers grant before they hear of the others' floods, by interval and spread.
macro_rules! floods_alike {
    ($($name:ident: $size:ident, $step_ms:ident, $interval_ms:literal, $spreads:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for spread in $spreads {
                    assert_floods_alike($size, $step_ms, $interval_ms, spread);
                }
            }
        )*
    };
}

floods_alike! {
    floods_at_9_routers_get_alike_with_reports_100_ms_apart: SMALL, STEP_MS, 100, 0..3;
    floods_at_9_routers_get_alike_with_reports_300_ms_apart: SMALL, STEP_MS, 300, 0..3;
    floods_at_9_routers_get_alike_with_reports_600_ms_apart: SMALL, STEP_MS, 600, 0..3;
    floods_at_9_routers_get_alike_with_reports_1000_ms_apart: SMALL, STEP_MS, 1_000, 0..3;
    floods_at_45_routers_get_alike_with_reports_100_ms_apart_two_at_one_router_each: LARGE, COARSE_STEP_MS, 100, [0];
    floods_at_45_routers_get_alike_with_reports_100_ms_apart_three_at_one_router: LARGE, COARSE_STEP_MS, 100, [1];
    floods_at_45_routers_get_alike_with_reports_100_ms_apart_at_all_but_two_at_these_and_at_all: LARGE, COARSE_STEP_MS, 100, [2];
    floods_at_45_routers_get_alike_with_reports_300_ms_apart_two_at_one_router_each: LARGE, COARSE_STEP_MS, 300, [0];
    floods_at_45_routers_get_alike_with_reports_300_ms_apart_three_at_one_router: LARGE, COARSE_STEP_MS, 300, [1];
    floods_at_45_routers_get_alike_with_reports_300_ms_apart_at_all_but_two_at_these_and_at_all: LARGE, COARSE_STEP_MS, 300, [2];
    floods_at_45_routers_get_alike_with_reports_600_ms_apart_two_at_one_router_each: LARGE, COARSE_STEP_MS, 600, [0];
    floods_at_45_routers_get_alike_with_reports_600_ms_apart_three_at_one_router: LARGE, COARSE_STEP_MS, 600, [1];
    floods_at_45_routers_get_alike_with_reports_600_ms_apart_at_all_but_two_at_these_and_at_all: LARGE, COARSE_STEP_MS, 600, [2];
    floods_at_45_routers_get_alike_with_reports_1000_ms_apart_two_at_one_router_each: LARGE, COARSE_STEP_MS, 1_000, [0];
    floods_at_45_routers_get_alike_with_reports_1000_ms_apart_three_at_one_router: LARGE, COARSE_STEP_MS, 1_000, [1];
    floods_at_45_routers_get_alike_with_reports_1000_ms_apart_at_all_but_two_at_these_and_at_all: LARGE, COARSE_STEP_MS, 1_000, [2];
}

/// Returns floods at all routers.
fn floods_everywhere(size: Size) -> Vec<Vec<usize>> {
    vec![(0..size.routers).collect(); 3]
}

/// Submits requests of floods for one step.
fn submit_floods(fleet: &mut Fleet, now: Duration, floods: &[Vec<usize>], scale: u64) {
    let requests = FLOOD_RATE * scale * STEP_MS / 1_000;
    let step = now.as_millis() as u64 / STEP_MS;
    for (index, routers) in floods.iter().enumerate() {
        for number in step * requests..(step + 1) * requests {
            let router = routers[number as usize % routers.len()];
            let part = 1_000 * (index as u64 + 1) + number % 40;
            fleet.submit(now, router, request(now, &name(index), part, 2_000));
        }
    }
}

fn steps(from_ms: u64, duration_ms: u64) -> impl Iterator<Item = Duration> {
    (from_ms..from_ms + duration_ms).step_by(STEP_MS as usize).map(ms)
}

/// Asserts that routers grant no more than engines may run in the interval of reports in which floods begin.
fn assert_first_interval_is_bounded(size: Size) {
    let mut excess = Vec::new();
    for interval_ms in INTERVALS_MS {
        let mut fleet = Fleet::new(size.routers, size.engines, RUN, ms(interval_ms));
        let floods = floods_everywhere(size);
        for now in steps(FLOOD * 1_000, interval_ms) {
            fleet.step(now);
            submit_floods(&mut fleet, now, &floods, size.scale);
        }
        let granted = fleet.all_granted_between(FLOOD, END);
        let limit = fleet.running_limit(0);
        if granted > limit + size.routers as u64 {
            excess.push(format!("{interval_ms} ms: granted {granted}, limit {limit}"));
        }
    }
    assert!(
        excess.is_empty(),
        "{} routers, first interval of a flood: {}",
        size.routers,
        excess.join("; ")
    );
}

/// Guards against nine routers that each fill all engines, since none has heard of the others' requests.
#[test]
fn the_first_interval_of_a_flood_at_9_routers_grants_no_more_than_engines_may_run() {
    assert_first_interval_is_bounded(SMALL);
}

/// Guards against 45 routers that each fill all engines, since none has heard of the others' requests.
#[test]
fn the_first_interval_of_a_flood_at_45_routers_grants_no_more_than_engines_may_run() {
    assert_first_interval_is_bounded(LARGE);
}

/// Asserts that a router which starts again in a flood leaves half of the engines' room to others until it hears of them.
fn assert_start_is_bounded(size: Size) {
    let interval_ms = 1_000;
    let router = 1;
    let mut fleet = Fleet::new(size.routers, size.engines, RUN, ms(interval_ms));
    let floods = &spreads(size.routers)[0];
    let restart_ms = FLOOD * 1_000 + 3 * interval_ms;
    for now in steps(FLOOD * 1_000, 4 * interval_ms) {
        fleet.step(now);
        if now == ms(restart_ms) {
            fleet.restart(router);
        }
        submit_floods(&mut fleet, now, floods, size.scale);
    }
    let (placed, limit) = (fleet.running_of(router), fleet.running_limit(router));
    assert!(
        placed * 2 <= limit,
        "{} routers, {interval_ms} ms from the start on: placed {placed}, limit of all engines {limit}",
        size.routers
    );
}

/// Guards against a new process that takes engines for idle, since it has heard of nobody's requests.
#[test]
fn a_router_that_starts_again_in_a_flood_at_9_routers_leaves_half_of_the_room_to_others() {
    assert_start_is_bounded(SMALL);
}

/// Guards against the same with 45 routers.
#[test]
fn a_router_that_starts_again_in_a_flood_at_45_routers_leaves_half_of_the_room_to_others() {
    assert_start_is_bounded(LARGE);
}

/// The routers of a large site.
const SITE_ROUTERS: usize = 60;
/// The engines of a large site.
const SITE_ENGINES: usize = 32;
/// The zones of a large site.
const SITE_ZONES: usize = 3;
/// The intervals of reports after which other zones know the sums of a zone.
const SITE_DELAY: usize = 2;
/// The requests that all engines of a large site can run, at 64 each.
const SITE_RUNNING: u64 = 64 * SITE_ENGINES as u64;
/// The requests that they can do in a second.
const SITE_CAPACITY: u64 = SITE_RUNNING * 1_000 / RUN.as_millis() as u64;
/// The workspaces that ask for little.
const MODEST: u64 = 12;
/// The requests that each of them asks for in a second.
const MODEST_RATE: u64 = 10;
/// The requests that another workspace usually asks for in a second.
const USUAL_RATE: u64 = 30;
/// The requests that it asks for in a second from the fourth second on.
const SURGE_RATE: u64 = 7 * USUAL_RATE;
/// The requests that the largest workspace asks for in a second, so that all ask for 0.9 of what engines can do.
const LARGEST_RATE: u64 = SITE_CAPACITY * 9 / 10 - SURGE_RATE - MODEST * MODEST_RATE;
/// The tokens of the last part of a prompt; with no part in a cache, engines could take in all prompts too.
const SITE_OWN_TOKENS: u64 = 500;

/// Plays twelve workspaces that ask for little, a large one, and one that asks for seven times its usual from a second on.
fn play_site() -> Fleet {
    let mut fleet = Fleet::new(SITE_ROUTERS, SITE_ENGINES, RUN, ms(600));
    fleet.divide(SITE_ZONES, SITE_DELAY);
    let mut random = 0_u64;
    let mut draw = |limit: u64| {
        random =
            random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) % limit
    };
    for now in (START * 1_000..(FLOOD + 8) * 1_000).step_by(COARSE_STEP_MS as usize).map(ms) {
        fleet.step(now);
        let is_surge = now >= Duration::from_secs(FLOOD);
        let modest = (0..MODEST).map(|number| (format!("modest-{number}"), MODEST_RATE));
        let others = [
            ("surging".to_owned(), if is_surge { SURGE_RATE } else { USUAL_RATE }),
            ("largest".to_owned(), LARGEST_RATE),
        ];
        for (workspace, rate) in modest.chain(others) {
            // In the mean, the requests of a step; their number varies from step to step.
            let (tries, one_in) = (rate * COARSE_STEP_MS / 50, 20);
            let tries =
                if draw(1_000) < rate * COARSE_STEP_MS % 50 * 20 { tries + 1 } else { tries };
            let requests = (0..tries).filter(|_| draw(one_in) == 0).count();
            for _ in 0..requests {
                let (router, part) = (draw(SITE_ROUTERS as u64) as usize, draw(1 << 31));
                fleet.submit(now, router, request(now, &workspace, part, SITE_OWN_TOKENS));
            }
        }
    }
    fleet
}

/// Guards against a share that shrinks with what is granted, so that less and less is granted beside engines with room.
#[test]
fn a_large_site_whose_engines_can_do_all_that_is_asked_does_not_refuse_ever_more_for_shares() {
    let fleet = play_site();
    for from in FLOOD..=FLOOD + 2 {
        let to = from + WINDOW;
        let granted = fleet.granted_between("surging", from, to);
        let asked = fleet.asked_between("surging", from, to);
        assert!(granted * 2 >= asked, "{from} to {to} s: {granted} of {asked} of one workspace");
        let (granted, asked) =
            (fleet.all_granted_between(from, to), fleet.all_asked_between(from, to));
        assert!(granted * 10 >= asked * 8, "{from} to {to} s: {granted} of {asked} of all");
    }
}

/// Guards against refusals for a share while engines stand idle.
#[test]
fn a_large_site_refuses_none_for_its_share_while_engines_run_less_than_half_of_their_limits() {
    let fleet = play_site();
    let over_share = || fleet.refused.iter().filter(|refused| refused.reason == Refusal::OverShare);
    let idle = || over_share().filter(|refused| (refused.running as u64) < SITE_RUNNING / 2);
    let (count, least) = (idle().count(), idle().map(|refused| refused.running).min());
    let times = (idle().next().map(|first| first.at), idle().next_back().map(|last| last.at));
    assert!(
        count == 0,
        "{count} of {} refusals for the share while engines ran less than half of {SITE_RUNNING}, from and to {times:?}; the least {least:?}",
        over_share().count()
    );
}

/// Guards against too few places for a workspace at one router whose requests run four times as long as the others'.
#[test]
fn a_flood_of_requests_that_run_long_gets_like_one_of_short_ones() {
    let floods = [(0..SMALL.routers).collect(), vec![1]];
    let mut fleet = Fleet::new(SMALL.routers, SMALL.engines, RUN / 2, ms(100));
    fleet.long = Some((Name::new(&name(1)), RUN * 2));
    play(&mut fleet, &floods, Load { start: FLOOD - 2, ..Load::default() });
    for from in FLOOD..=END - WINDOW {
        let (least, most) = extremes(&fleet, &floods, from);
        assert!(least * 2 >= most, "from {from} s on: least {least}, most {most}");
    }
}
