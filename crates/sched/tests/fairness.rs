//! Properties of the order of grants: bounded gap, work conservation, no starvation.

mod common;

use base::Class;
use base::Cost;
use base::Name;
use common::ms;
use common::plan;
use common::runner;
use common::shop::Job;
use common::shop::Shop;
use common::workspace;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::select;
use proptest::test_runner::RngSeed;
use sched::Kind;
use sched::Plan;
use sched::Status;

const SLOTS: u32 = 6;
const LARGEST: u64 = 600;

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_203);
    ProptestConfig { cases: 64, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn plan_of(weights: &[u32]) -> Plan {
    let names = ["x", "y", "z"];
    let workspaces =
        weights.iter().zip(names).map(|(weight, name)| workspace(name, *weight, 9_999));
    let runners = vec![runner("p1", 4, 4), runner("p2", 2, 2)];
    plan(Kind::Plain, runners, workspaces.collect())
}

fn jobs(classes: &'static [Class]) -> impl Strategy<Value = Vec<Job>> {
    let job = (0..3_usize, select(classes), 0..8_000_u64, 50..2_500_u64, 1..LARGEST);
    let job = job.prop_map(|(workspace, class, at, lasts, tokens)| Job {
        workspace,
        class,
        at: ms(at),
        lasts: ms(lasts),
        cost: Cost::tokens(tokens),
    });
    proptest::collection::vec(job, 20..220)
}

fn gap(status: &Status) -> Cost {
    let backlogged = status.workspaces.iter().filter(|workspace| workspace.backlog > 0);
    let charges: Vec<Cost> = backlogged.map(|workspace| workspace.charge).collect();
    let most = charges.iter().max().copied().unwrap_or_default();
    most.saturating_sub(charges.iter().min().copied().unwrap_or_default())
}

fn free_slots(status: &Status) -> u32 {
    status.runners.iter().map(|runner| runner.limit.saturating_sub(runner.running)).sum()
}

const ALL: &[Class] = &[Class::Interactive, Class::Long, Class::Lookup];
const SHORT: &[Class] = &[Class::Interactive, Class::Lookup];

proptest! {
    #![proptest_config(config())]

    #[test]
    fn gap_between_backlogged_workspaces_is_bounded(
        weights in proptest::collection::vec(1_u32..8, 3),
        jobs in prop_oneof![jobs(SHORT), jobs(ALL)],
        usage_period in select(&[250_u64, 1_000, 5_000][..]),
        rebuilds in proptest::collection::vec(20_u32..300, 0..4),
    ) {
        let least = u64::from(weights.iter().min().copied().unwrap_or(1));
        let each = Cost::tokens(LARGEST).0 + sched::MAX_ESTIMATE.0;
        let bound = Cost(u64::from(SLOTS) * each / least);
        let mut shop = Shop::new(plan_of(&weights), jobs, ms(usage_period));
        for step in 0..400_u32 {
            shop.step();
            if rebuilds.contains(&step) {
                shop.rebuild();
            }
            let status = shop.dispatcher.status(shop.now);
            prop_assert!(gap(&status) <= bound, "{:?} over {:?}", gap(&status), bound);
            prop_assert!(gap(&status) <= status.bound, "{:?} over {:?}", gap(&status), status.bound);
        }
    }

    #[test]
    fn no_slot_is_free_while_allowed_work_waits(jobs in jobs(ALL)) {
        let mut shop = Shop::new(plan_of(&[1, 2, 3]), jobs, ms(250));
        for _ in 0..400_u32 {
            shop.step();
            let status = shop.dispatcher.status(shop.now);
            let open = shop.waiting().any(|waiting| waiting.class != Class::Long);
            prop_assert!(!open || free_slots(&status) == 0);
            // At most the reserve of each runner stays free for long ones.
            let waits = shop.waiting().next().is_some();
            prop_assert!(!waits || free_slots(&status) <= 2);
        }
    }

    #[test]
    fn every_request_is_granted_once_arrivals_end(jobs in jobs(ALL)) {
        let count = jobs.len();
        let mut shop = Shop::new(plan_of(&[1, 2, 3]), jobs, ms(250));
        for step in 0..4_000_u32 {
            shop.step();
            if step % 100 == 50 {
                shop.rebuild();
            }
        }
        prop_assert_eq!(shop.waits.len(), count);
    }
}

fn steady(workspace: usize, class: Class, every: u64, lasts: u64, until: u64) -> Vec<Job> {
    let job =
        |at| Job { workspace, class, at: ms(at), lasts: ms(lasts), cost: Cost::tokens(lasts / 20) };
    (0..until).step_by(usize::try_from(every).expect("small")).map(job).collect()
}

#[test]
fn long_request_has_its_turn_under_a_flood_of_interactive_ones() {
    let mut jobs = steady(0, Class::Interactive, 50, 1_000, 60_000);
    let long = steady(0, Class::Long, 60_000, 2_000, 60_000);
    jobs.extend(long.into_iter().map(|job| Job { at: ms(3_000), ..job }));
    let mut shop = Shop::new(plan_of(&[1, 1, 1]), jobs, ms(250));
    while shop.now < ms(20_000) {
        shop.step();
    }
    let wait = shop.waits.values().find(|(class, _)| *class == Class::Long);
    println!("a long request under a flood waits {wait:?}");
    assert!(wait.is_some());
}

fn utilisation(interactive_every: u64) -> f64 {
    let mut jobs = steady(0, Class::Long, 500, 6_000, 300_000);
    jobs.extend(steady(1, Class::Interactive, interactive_every, 1_000, 300_000));
    let mut shop = Shop::new(plan_of(&[1, 1, 1]), jobs, ms(250));
    while shop.now < ms(300_000) {
        shop.step();
    }
    let waits = shop.waits.values().filter(|(class, _)| *class == Class::Interactive);
    let mut waits: Vec<u128> = waits.map(|(_, wait)| wait.as_millis()).collect();
    waits.sort_unstable();
    let (median, most) = (waits[waits.len() / 2], waits[waits.len() - 1]);
    println!(
        "an interactive request each {interactive_every} ms waits {median} ms, at most {most} ms"
    );
    shop.dispatcher.status(shop.now).utilisation.expect("work has waited")
}

#[test]
fn slots_are_used_while_long_work_waits_beside_much_little_or_no_interactive_work() {
    let measured = [300, 2_000, 8_000, 400_000].map(utilisation);
    println!("utilisation with an interactive request each 0.3, 2, 8, 400 s: {measured:.4?}");
    assert!(measured.iter().all(|part| *part >= 0.97), "{measured:?}");
}

#[test]
fn backlogged_workspaces_are_served_by_weight_over_rebuilds() {
    let mut jobs = steady(0, Class::Interactive, 100, 1_000, 60_000);
    jobs.extend(steady(1, Class::Interactive, 100, 1_000, 60_000));
    let mut shop = Shop::new(plan_of(&[1, 3, 1]), jobs, ms(250));
    while shop.now < ms(60_000) {
        shop.step();
        if shop.now.as_millis().is_multiple_of(5_000) {
            shop.rebuild();
        }
    }
    let used = |name: &str| shop.used[&Name::new(name)].0 as f64;
    let ratio = used("y") / used("x");
    println!("served ratio at weights 3 to 1: {ratio:.3}");
    assert!((2.7..3.3).contains(&ratio), "{ratio}");
}

#[test]
fn work_is_charged_by_use_whatever_its_hint_says() {
    let mut jobs = steady(0, Class::Interactive, 100, 2_000, 60_000);
    jobs.extend(steady(1, Class::Interactive, 100, 500, 60_000));
    let mut shop = Shop::new(plan_of(&[1, 1, 1]), jobs, ms(250));
    while shop.now < ms(60_000) {
        shop.step();
    }
    let ratio = shop.used[&Name::new("x")].0 as f64 / shop.used[&Name::new("y")].0 as f64;
    println!("served ratio at equal weights and unequal requests: {ratio:.3}");
    assert!((0.9..1.1).contains(&ratio), "{ratio}");
}
