//! Limits over all routers while some of them do not hear each other, or do not know of each other yet.
//!
//! Load pattern: a fleet is cut in two, or routers are added while the store is away; each router is asked for far more
//! than the limits allow.

mod common;

use std::time::Duration;

use balance::Core;
use balance::Decision;
use balance::FleetLimits;
use balance::Outcome;
use base::Name;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::common::SERVICE;
use crate::common::fleet::Fleet;
use crate::common::limits;
use crate::common::ms;
use crate::common::registration;
use crate::common::request;
use crate::common::table;

const NOW: Duration = Duration::from_secs(100);
/// The requests that the fleet may send to a cold runner in one second: 16 x 1.5 + 5.
const COLD_LIMIT: usize = 29;
/// The requests that it is sent at least in 3 s while more wait: 0.7 of the limit of two whole seconds.
const COLD_USED: usize = 40;
/// The time for which the runner stays cold.
const COLD: Duration = Duration::from_secs(600);
/// The retries that the fleet may send in a window without requests that earn any.
const RETRY_CONSTANT: u32 = 58;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// The time after the return of the store within which all routers know each other.
const KNOWN_AFTER: Duration = Duration::from_millis(1_600);

/// The numbers of routers, and of those that the others do not hear or know.
const PARTS: [(usize, usize); 12] = [
    (9, 1),
    (9, 2),
    (9, 3),
    (9, 4),
    (9, 5),
    (9, 8),
    (45, 15),
    (45, 25),
    (45, 44),
    (90, 30),
    (90, 50),
    (90, 89),
];

fn name(number: usize) -> Name {
    Name::new(&format!("router-{number}"))
}

fn others(number: usize, known: usize) -> Vec<Name> {
    (0..known).filter(|other| *other != number).map(name).collect()
}

/// Starts a process of a router that knows a cold runner, but no router.
fn start(now: Duration, number: usize) -> Core {
    let limits = limits(name(number).as_str());
    let mut core = Core::new(FleetLimits { peers: None, started: now, ..limits });
    core.adopt(table());
    let mut cold = registration("engine-0");
    cold.cold_left = COLD;
    core.registry.put(now, &cold);
    core
}

/// Starts routers that have known the first ones among them for long.
fn start_known(routers: usize, known: usize) -> Vec<Core> {
    let cores = (0..routers).map(|number| {
        let started = NOW - Duration::from_secs(30);
        let mut core = start(started, number);
        core.set_peers(started, others(number, known));
        core
    });
    cores.collect()
}

/// Keeps a request waiting at each router, and returns how many were granted.
fn press(cores: &mut [Core], waiting: &mut IndexSet<usize>, now: Duration) -> usize {
    let mut granted = 0;
    for (number, core) in cores.iter_mut().enumerate() {
        let mut decisions: Vec<Decision> =
            core.process_queue(now).into_iter().map(|(_, decision)| decision).collect();
        if !decisions.is_empty() {
            waiting.swap_remove(&number);
        }
        if !waiting.contains(&number) {
            match core.submit(now, request(now, "wall", 7, 50)) {
                Outcome::Queued(_) => {
                    waiting.insert(number);
                }
                Outcome::Decided(decision) => decisions.push(decision),
            }
        }
        for decision in decisions {
            if let Decision::Granted(grant) = decision {
                core.release(now, &grant, true);
                granted += 1;
            }
        }
    }
    granted
}

/// Takes all retries that each router allows, and returns their number.
fn retry(cores: &mut [Core], now: Duration) -> u32 {
    let service = Name::new(SERVICE);
    let taken = cores.iter_mut().map(|core| {
        let mut taken = 0;
        while core.take_retry(now, &service) {
            taken += 1;
        }
        taken
    });
    taken.sum()
}

/// Returns the most times in any span.
fn most(times: &[Duration], span: Duration) -> usize {
    let spans = times
        .iter()
        .map(|from| times.iter().filter(|at| **at >= *from && **at < *from + span).count());
    spans.max().unwrap_or_default()
}

/// The times of requests to a cold runner, and of retries.
#[derive(Default)]
struct Sent {
    cold: Vec<Duration>,
    retries: Vec<Duration>,
    waiting: IndexSet<usize>,
}

impl Sent {
    fn press(&mut self, cores: &mut [Core], now: Duration) {
        self.cold.extend(std::iter::repeat_n(now, press(cores, &mut self.waiting, now)));
        self.retries.extend(std::iter::repeat_n(now, retry(cores, now) as usize));
    }

    fn assert_limits(&self, routers: usize, unknown: usize) {
        let cold = most(&self.cold, Duration::from_secs(1));
        assert!(cold <= COLD_LIMIT, "{unknown} of {routers}: {cold} requests in 1 s");
        let retries = most(&self.retries, RETRY_WINDOW);
        assert!(
            retries <= RETRY_CONSTANT as usize,
            "{unknown} of {routers}: {retries} retries in 10 s"
        );
    }

    fn cold_between(&self, from: Duration, to: Duration) -> usize {
        self.cold.iter().filter(|at| (from..to).contains(at)).count()
    }
}

/// Guards against routers that use the parts of those that they do not hear.
#[test]
fn routers_that_do_not_hear_each_other_keep_cold_and_retry_limits() {
    for (routers, unheard) in PARTS {
        let mut cores = start_known(routers, routers);
        let mut sent = Sent::default();
        for now in (0..5_000).step_by(step_ms(routers) as usize).map(|at| NOW + ms(at)) {
            sent.press(&mut cores, now);
        }
        sent.assert_limits(routers, unheard);
        let cold = sent.cold_between(NOW + ms(2_000), NOW + ms(5_000));
        assert!(cold >= COLD_USED, "{unheard} of {routers}: {cold} requests in 3 s");
    }
}

/// Plays routers that are added while the store is away for a time, and learn of the others before these learn of them.
fn play_added(routers: usize, added: usize, away: Duration) -> Sent {
    let known = routers - added;
    let mut cores = start_known(known, known);
    let end = NOW + away;
    let mut sent = Sent::default();
    let (first, last) =
        (NOW.as_millis() as u64, (end + RETRY_WINDOW + Duration::from_secs(3)).as_millis() as u64);
    for now in (first..last).step_by(2 * step_ms(routers) as usize).map(ms) {
        if now == NOW + ms(200) {
            cores.extend((known..routers).map(|number| start(now, number)));
        }
        if now == end {
            for (number, core) in cores.iter_mut().enumerate().skip(known) {
                core.join(now);
                core.set_peers(now, others(number, routers));
            }
        }
        if now == end + ms(400) {
            cores[known..].iter_mut().for_each(|core| core.confirm_report(now));
        }
        if now == end + KNOWN_AFTER {
            for (number, core) in cores.iter_mut().enumerate().take(known) {
                core.set_peers(now, others(number, routers));
            }
        }
        sent.press(&mut cores, now);
    }
    sent
}

/// Guards against new routers that use parts of limits which others still use, since these do not know them yet.
#[test]
fn routers_that_others_do_not_know_yet_use_no_parts_of_cold_and_retry_limits() {
    for (routers, added) in PARTS {
        for away in [Duration::from_secs(6), Duration::from_secs(14)] {
            let sent = play_added(routers, added, away);
            sent.assert_limits(routers, added);
            let end = NOW + away + RETRY_WINDOW;
            let cold = sent.cold_between(end, end + Duration::from_secs(3));
            assert!(cold >= COLD_USED, "{added} of {routers}: {cold} requests in 3 s");
        }
    }
}

/// The time for which a request runs, and the time between reports, in the plays of places.
const RUN: Duration = Duration::from_millis(1_500);
const INTERVAL: Duration = Duration::from_millis(100);
/// The time after the last report of a router from which on others use its places.
const SILENT_AFTER: Duration = Duration::from_secs(2);
/// The part of the places that may be used which is used in the mean over a second.
const USED: f64 = 0.8;
/// The numbers of routers, and of those that are not heard, in these plays.
const PLACE_PARTS: [(usize, usize); 6] = [(9, 1), (9, 3), (9, 4), (9, 5), (45, 15), (90, 50)];

/// The places at all engines, and those in use.
struct Places {
    limit: f64,
    running: f64,
}

/// Plays twice or more of what engines can do, and calls a function after each step.
fn flood(fleet: &mut Fleet, from: Duration, to: Duration, mut step: impl FnMut(Duration, Places)) {
    let step_ms = step_ms(fleet.cores.len());
    let steps = from.as_millis() as u64..to.as_millis() as u64;
    for now in steps.step_by(step_ms as usize).map(ms) {
        fleet.step(now);
        let alive = fleet.alive();
        let running: u64 = alive.iter().map(|router| fleet.running_of(*router)).sum();
        let limit = fleet.running_limit(alive[0]);
        step(now, Places { limit: limit as f64, running: running as f64 });
        for router in alive {
            for number in 0..2 {
                let part = router as u64 * 1_000 + number + now.as_millis() as u64 % 40;
                fleet.submit(now, router, request(now, "wall", part, 500));
            }
        }
    }
}

/// Returns the time between two steps in milliseconds.
const fn step_ms(routers: usize) -> u64 {
    if routers > 9 { 50 } else { 20 }
}

/// Creates routers that have filled all engines by a time.
fn full_fleet(routers: usize, by: Duration) -> Fleet {
    let mut fleet = Fleet::new(routers, routers.div_ceil(4), RUN, INTERVAL);
    flood(&mut fleet, by - Duration::from_secs(3), by, |_, _| {});
    fleet
}

/// Returns the largest fraction of all places in use in a flood, at first and then, while routers are cut off.
fn most_placed(routers: usize, cut_off: usize) -> [f64; 2] {
    let mut fleet = full_fleet(routers, NOW);
    let end = NOW + Duration::from_secs(6);
    fleet.cut = Some((cut_off, NOW, end));
    let last_report = NOW - INTERVAL;
    let mut most = [0.0_f64; 2];
    flood(&mut fleet, NOW, end, |now, Places { limit, running }| {
        let later = usize::from(now >= last_report + SILENT_AFTER);
        most[later] = most[later].max(running / limit);
    });
    most
}

/// Guards against routers that fill the places of those that they do not hear: for as long as a router may be silent, they
/// place as little beyond all places as routers that hear each other, and then each of two sides does.
#[test]
fn two_sides_that_do_not_hear_each_other_fill_all_places_once_at_first_and_twice_at_most() {
    for (routers, unheard) in PLACE_PARTS {
        let whole = most_placed(routers, 0).into_iter().fold(1.0, f64::max);
        let [first, later] = most_placed(routers, unheard);
        assert!(
            first <= whole,
            "{unheard} of {routers} cut off: {first} at first, {whole} if heard"
        );
        assert!(later <= 2.0 * whole, "{unheard} of {routers} cut off: {later}, {whole} if heard");
    }
}

/// Guards against places of routers that have ended and that nobody uses, and against routers that leave places idle beside.
#[test]
fn places_of_routers_that_have_ended_are_idle_no_longer_than_a_router_may_be_silent() {
    for (routers, ended) in PLACE_PARTS {
        let mut fleet = full_fleet(routers, NOW);
        (0..ended).for_each(|router| fleet.kill(router));
        let all_at = NOW + SILENT_AFTER + Duration::from_secs(1);
        let mut seconds: IndexMap<u64, Vec<f64>> = IndexMap::new();
        flood(
            &mut fleet,
            NOW,
            all_at + Duration::from_secs(3),
            |now, Places { limit, running }| {
                seconds.entry(now.as_secs()).or_default().push(running / limit);
            },
        );
        let heard = (routers - ended) as f64 / routers as f64;
        for (second, fractions) in seconds {
            let used = fractions.iter().sum::<f64>() / fractions.len() as f64;
            let least = if Duration::from_secs(second) < all_at { heard } else { 1.0 };
            assert!(
                used >= USED * least,
                "{ended} of {routers} killed at {NOW:?}: {used} of all places in second {second}"
            );
        }
    }
}
