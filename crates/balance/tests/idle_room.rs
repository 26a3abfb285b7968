//! What engines are overrun by, and what is refused while they have room, at routers that die, start again, are idle or
//! are suddenly asked for much more.

mod common;

use std::time::Duration;

use indexmap::IndexMap;

use crate::common::fleet::Fleet;
use crate::common::floods::FLOOD;
use crate::common::floods::RUN;
use crate::common::floods::START;
use crate::common::floods::WINDOW;
use crate::common::ms;
use crate::common::request;

/// The routers of a site.
const ROUTERS: usize = 45;
/// The engines of a site.
const ENGINES: usize = 24;
/// The availability zones of a site.
const ZONES: usize = 3;
/// The intervals of reports after which other zones know the sums of a zone.
const SUMS_DELAY: usize = 1;
/// The interval of reports, in milliseconds.
const INTERVAL_MS: u64 = 600;
/// The time between two steps, in milliseconds.
const STEP_MS: u64 = 20;
/// The requests that all engines can run, at 64 each.
const PLACES: u64 = 64 * ENGINES as u64;
/// The requests that all engines can do in a second.
const CAPACITY: u64 = PLACES * 1_000 / RUN.as_millis() as u64;
/// The workspaces that ask for little.
const MODEST: u64 = 12;
/// The requests that each of them asks for in a second.
const MODEST_RATE: u64 = 10;
/// The workspaces that ask for much when they flood.
const FLOODS: u64 = 3;
/// The tokens of the last part of a prompt; with no part in a cache, engines could take in all prompts too.
const OWN_TOKENS: u64 = 500;
/// The end of the plays.
const END: Duration = Duration::from_secs(FLOOD + 10);
/// The time from which on others use the places of routers that have died at the start of a flood.
const SILENT: Duration = Duration::from_secs(FLOOD + 3);
/// The fraction of free places from which on a refusal is the routers' fault.
const MAX_FREE: f64 = 0.5;

/// The requests of a workspace in one second, and the routers of its callers.
struct Demand<'a> {
    workspace: String,
    rate: u64,
    routers: &'a [usize],
}

/// Routers of a site, with a source of random numbers.
struct Site {
    fleet: Fleet,
    random: u64,
}

impl Site {
    fn new(seed: u64) -> Self {
        let mut fleet = Fleet::new(ROUTERS, ENGINES, RUN, ms(INTERVAL_MS));
        fleet.divide(ZONES, SUMS_DELAY);
        Self { fleet, random: seed }
    }

    fn draw(&mut self, limit: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % limit
    }

    /// Submits the requests of one step.
    fn submit(&mut self, now: Duration, demands: &[Demand<'_>]) {
        for Demand { workspace, rate, routers } in demands {
            let thousandths = rate * STEP_MS;
            let rest = u64::from(self.draw(1_000) < thousandths % 1_000);
            for _ in 0..thousandths / 1_000 + rest {
                let router = routers[self.draw(routers.len() as u64) as usize];
                let part = self.draw(1 << 31);
                self.fleet.submit(now, router, request(now, workspace, part, OWN_TOKENS));
            }
        }
    }

    /// Plays the time from one second to another with steady demands.
    fn play(&mut self, from: u64, to: u64, demands: &[Demand<'_>]) {
        for now in (from * 1_000..to * 1_000).step_by(STEP_MS as usize).map(ms) {
            self.fleet.step(now);
            self.submit(now, demands);
        }
    }

    /// Asserts that workspaces which ask for little get at least half of it in any window.
    fn assert_modest_served(&self, from: u64, to: u64) {
        for from in from..=to - WINDOW {
            for number in 0..MODEST {
                let name = modest_name(number);
                let asked = self.fleet.asked_between(&name, from, from + WINDOW);
                let granted = self.fleet.granted_between(&name, from, from + WINDOW);
                assert!(granted * 2 >= asked, "{name} from {from} s: {granted} of {asked}");
            }
        }
    }

    /// Asserts that no request is refused while half of the places at engines are free.
    fn assert_none_refused_beside_free(&self, from: Duration, to: Duration) {
        let refused = self.fleet.refused_beside_free(from, to, MAX_FREE);
        assert!(refused == 0, "{refused} refused beside free places; {}", self.by_second());
    }

    /// Asserts that most of what is asked or of what engines can do is granted, whichever is less.
    fn assert_engines_used(&self, from: u64, to: u64) {
        let asked = self.fleet.all_asked_between(from, to);
        let granted = self.fleet.all_granted_between(from, to);
        let possible = asked.min(CAPACITY * (to - from));
        let by_second = self.by_second();
        assert!(granted * 10 >= possible * 8, "{granted} of {possible} granted; {by_second}");
    }

    /// Asserts that no more is placed than all engines together may run, one request for each router and a fraction of all
    /// places.
    fn assert_places_kept(&self, fraction: f64) {
        let (excess, at) = self.fleet.excess;
        let bound = ROUTERS as u64 + (PLACES as f64 * fraction) as u64;
        assert!(excess <= bound, "{excess} beyond all places at {at:?}, bound {bound}");
    }

    /// Asserts that engines, each by itself, are overrun by no more than one request for each router.
    fn assert_engines_not_overrun(&self) {
        let (overrun, at) = self.fleet.overrun;
        let bound = ROUTERS as u64;
        assert!(overrun <= bound, "overrun by {overrun} at {at:?}, bound {bound}");
    }

    /// Describes what was asked, granted and refused in each second, and the mean of the free places at refusals.
    fn by_second(&self) -> String {
        let fleet = &self.fleet;
        let seconds = (FLOOD - 1..FLOOD + 10).map(|second| {
            let asked = fleet.all_asked_between(second, second + 1);
            let granted = fleet.all_granted_between(second, second + 1);
            let refused = fleet.refused.iter().filter(|refused| refused.at.as_secs() == second);
            let mut limits: IndexMap<String, usize> = IndexMap::new();
            let free = refused.map(|refused| {
                *limits.entry(refused.limit.to_string()).or_default() += 1;
                refused.free
            });
            let free: Vec<f64> = free.collect();
            let mean = free.iter().sum::<f64>() / free.len().max(1) as f64;
            format!("{asked} {granted} {} {mean:.2} {limits:?}", free.len())
        });
        format!(
            "asked, granted, refused and free by second: {}",
            seconds.collect::<Vec<String>>().join("; ")
        )
    }
}

fn modest_name(number: u64) -> String {
    format!("modest-{number}")
}

/// Returns the demands of the workspaces that ask for little, and of large ones that ask for `rate` together.
fn demands(rate: u64, routers: &[usize]) -> Vec<Demand<'_>> {
    let modest = (0..MODEST).map(|number| (modest_name(number), MODEST_RATE));
    let large = (0..FLOODS).map(|number| (format!("large-{number}"), rate / FLOODS));
    modest.chain(large).map(|(workspace, rate)| Demand { workspace, rate, routers }).collect()
}

/// Plays callers of 18 of 45 dead routers that call at the others, while all ask for 1.5 times of what engines can do.
fn play_dead_routers(seed: u64) -> Site {
    let mut site = Site::new(seed);
    let all: Vec<usize> = (0..ROUTERS).collect();
    let alive: Vec<usize> = all.iter().copied().filter(|router| router % 5 >= 2).collect();
    site.play(START, FLOOD, &demands(CAPACITY / 2, &all));
    for router in all.iter().filter(|router| !alive.contains(router)) {
        site.fleet.kill(*router);
    }
    site.play(FLOOD, FLOOD + 10, &demands(CAPACITY * 3 / 2, &alive));
    site
}

fn assert_dead_routers_hold_no_places(seed: u64) {
    let site = play_dead_routers(seed);
    site.assert_none_refused_beside_free(SILENT, END);
    site.assert_engines_used(SILENT.as_secs(), END.as_secs());
    site.assert_modest_served(FLOOD, FLOOD + 10);
    site.assert_places_kept(0.0);
}

/// Guards against the places of dead routers that stand empty for as long as these are listed.
#[test]
fn dead_routers_hold_no_places_while_others_refuse_seed_1() {
    assert_dead_routers_hold_no_places(1);
}

/// Guards against the same with other arrivals.
#[test]
fn dead_routers_hold_no_places_while_others_refuse_seed_2() {
    assert_dead_routers_hold_no_places(2);
}

/// Plays a workspace that asks for half of what engines can do, at two routers, from one moment on, while the others are asked
/// for a fifth.
fn play_idle_routers(seed: u64) -> Site {
    let mut site = Site::new(seed);
    let all: Vec<usize> = (0..ROUTERS).collect();
    let crowded = [3, 4];
    let flood = |rate| Demand { workspace: "flood".to_owned(), rate, routers: &crowded };
    let usual = || demands(CAPACITY / 5, &all);
    site.play(START, FLOOD, &usual().into_iter().chain([flood(20)]).collect::<Vec<_>>());
    let flooded: Vec<Demand<'_>> = usual().into_iter().chain([flood(CAPACITY / 2)]).collect();
    site.play(FLOOD, FLOOD + 10, &flooded);
    site
}

fn assert_idle_routers_hold_no_places(seed: u64) {
    let site = play_idle_routers(seed);
    site.assert_none_refused_beside_free(Duration::from_secs(START), END);
    for from in FLOOD..=FLOOD + 10 - WINDOW {
        let granted = site.fleet.granted_between("flood", from, from + WINDOW);
        let asked = site.fleet.asked_between("flood", from, from + WINDOW);
        assert!(granted * 10 >= asked * 9, "from {from} s: {granted} of {asked} of the flood");
    }
    site.assert_modest_served(FLOOD, FLOOD + 10);
    site.assert_places_kept(0.0);
}

/// Guards against a router that refuses a sudden flood while the places of idle routers stand empty.
#[test]
fn idle_routers_hold_no_places_while_two_suddenly_flooded_ones_refuse_seed_1() {
    assert_idle_routers_hold_no_places(1);
}

/// Guards against the same with other arrivals.
#[test]
fn idle_routers_hold_no_places_while_two_suddenly_flooded_ones_refuse_seed_2() {
    assert_idle_routers_hold_no_places(2);
}

/// Guards against bursts of a few routers that are refused at half of the load that engines bear.
#[test]
fn bursts_at_single_routers_are_not_refused_while_engines_are_half_idle() {
    let mut site = Site::new(1);
    let all: Vec<usize> = (0..ROUTERS).collect();
    for second in START..FLOOD + 10 {
        let crowded = [second as usize % ROUTERS];
        let burst = Demand { workspace: "burst".to_owned(), rate: CAPACITY / 8, routers: &crowded };
        let usual = demands(CAPACITY / 5, &all);
        site.play(second, second + 1, &usual.into_iter().chain([burst]).collect::<Vec<_>>());
    }
    site.assert_none_refused_beside_free(Duration::from_secs(START), END);
    site.assert_places_kept(0.0);
}

/// Guards against routers that, when many start again in a flood, fill engines several times over or leave them idle.
#[test]
fn routers_that_start_again_in_a_flood_neither_overrun_engines_nor_leave_them_idle() {
    let mut site = Site::new(1);
    let all: Vec<usize> = (0..ROUTERS).collect();
    let (dead, alive): (Vec<usize>, Vec<usize>) = all.iter().partition(|router| *router % 5 < 2);
    site.play(START, FLOOD, &demands(CAPACITY / 2, &all));
    for router in &dead {
        site.fleet.kill(*router);
    }
    site.play(FLOOD, FLOOD + 4, &demands(CAPACITY * 3 / 2, &alive));
    for router in &dead {
        site.fleet.restart(*router);
    }
    site.play(FLOOD + 4, FLOOD + 10, &demands(CAPACITY * 3 / 2, &all));
    site.assert_none_refused_beside_free(SILENT, END);
    site.assert_engines_used(SILENT.as_secs(), END.as_secs());
    // Until those that start again are heard, each may use an even part of the places.
    site.assert_places_kept(dead.len() as f64 / ROUTERS as f64);
}

/// Plays floods, and a workspace at two routers that asks for twelve times its usual from one moment on.
fn play_late_workspace(seed: u64) -> Site {
    let mut site = Site::new(seed);
    let all: Vec<usize> = (0..ROUTERS).collect();
    let few = [7, 8];
    let late = |rate| Demand { workspace: "late".to_owned(), rate, routers: &few };
    let floods = || demands(CAPACITY * 3 / 2, &all);
    site.play(START, FLOOD, &floods().into_iter().chain([late(5)]).collect::<Vec<_>>());
    let surge: Vec<Demand<'_>> = floods().into_iter().chain([late(60)]).collect();
    site.play(FLOOD, FLOOD + 10, &surge);
    site
}

/// Guards against a modest workspace at a few routers that gets less than its part while floods have the engines.
#[test]
fn a_workspace_at_two_routers_that_asks_for_more_in_a_flood_gets_half_of_it() {
    for seed in 1..=3 {
        let site = play_late_workspace(seed);
        for from in FLOOD - 5..=FLOOD + 10 - WINDOW {
            let granted = site.fleet.granted_between("late", from, from + WINDOW);
            let asked = site.fleet.asked_between("late", from, from + WINDOW);
            assert!(granted * 2 >= asked, "seed {seed}, from {from} s: {granted} of {asked}");
        }
        site.assert_modest_served(FLOOD - 4, FLOOD + 10);
        site.assert_places_kept(0.0);
    }
}

/// Guards against routers with old figures that all choose the engines which had least to do.
#[test]
fn engines_are_not_overrun_by_routers_with_old_figures_while_many_are_dead() {
    for seed in 1..=2 {
        play_dead_routers(seed).assert_engines_not_overrun();
    }
}

/// Guards against the same with two crowded routers.
#[test]
fn engines_are_not_overrun_by_two_crowded_routers_with_old_figures() {
    for seed in 1..=2 {
        play_idle_routers(seed).assert_engines_not_overrun();
    }
}

/// Guards against the same when all routers are asked for more than engines can do.
#[test]
fn engines_are_not_overrun_by_routers_with_old_figures_in_a_flood() {
    for seed in 1..=3 {
        play_late_workspace(seed).assert_engines_not_overrun();
    }
}
