//! Properties of the order of grants: bounded fairness gap, work conservation, no starvation.

mod common;

use base::Class;
use base::Cost;
use base::Name;
use common::ms;
use common::plan;
use common::runner;
use common::simulation::Job;
use common::simulation::Simulation;
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

/// Slots of all runners of the plan.
const SLOTS: u32 = 6;
/// Exclusive upper bound on the cost of a request, in tokens.
const MAX_COST: u64 = 600;

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
    let job = (0..3_usize, select(classes), 0..8_000_u64, 50..2_500_u64, 1..MAX_COST);
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
    let largest = charges.iter().max().copied().unwrap_or_default();
    largest.saturating_sub(charges.iter().min().copied().unwrap_or_default())
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
        replacements in proptest::collection::vec(20_u32..300, 0..4),
    ) {
        let least = u64::from(weights.iter().min().copied().unwrap_or(1));
        let each = Cost::tokens(MAX_COST).0 + sched::MAX_ESTIMATE.0;
        let bound = Cost(u64::from(SLOTS) * each / least);
        let mut simulation = Simulation::new(plan_of(&weights), jobs, ms(usage_period));
        for step in 0..400_u32 {
            simulation.step();
            if replacements.contains(&step) {
                simulation.replace_dispatcher();
            }
            let status = simulation.dispatcher.status(simulation.now);
            prop_assert!(gap(&status) <= bound, "{:?} over {:?}", gap(&status), bound);
            prop_assert!(gap(&status) <= status.bound, "{:?} over {:?}", gap(&status), status.bound);
        }
    }

    #[test]
    fn no_slot_is_free_while_requests_that_may_use_it_wait(jobs in jobs(ALL)) {
        let mut simulation = Simulation::new(plan_of(&[1, 2, 3]), jobs, ms(250));
        for _ in 0..400_u32 {
            simulation.step();
            let status = simulation.dispatcher.status(simulation.now);
            let open = simulation.waiting().any(|waiting| waiting.class != Class::Long);
            prop_assert!(!open || free_slots(&status) == 0);
            // At most the reserve of each runner stays free while only long requests wait.
            let waits = simulation.waiting().next().is_some();
            prop_assert!(!waits || free_slots(&status) <= 2);
        }
    }

    #[test]
    fn every_request_is_granted_after_arrivals_end(jobs in jobs(ALL)) {
        let count = jobs.len();
        let mut simulation = Simulation::new(plan_of(&[1, 2, 3]), jobs, ms(250));
        for step in 0..4_000_u32 {
            simulation.step();
            if step % 100 == 50 {
                simulation.replace_dispatcher();
            }
        }
        prop_assert_eq!(simulation.waits.len(), count);
    }
}

fn steady(workspace: usize, class: Class, every: u64, lasts: u64, until: u64) -> Vec<Job> {
    let job =
        |at| Job { workspace, class, at: ms(at), lasts: ms(lasts), cost: Cost::tokens(lasts / 20) };
    (0..until).step_by(usize::try_from(every).expect("the number is small")).map(job).collect()
}

#[test]
fn a_long_request_is_granted_under_a_flood_of_interactive_ones() {
    let mut jobs = steady(0, Class::Interactive, 50, 1_000, 60_000);
    let long = steady(0, Class::Long, 60_000, 2_000, 60_000);
    jobs.extend(long.into_iter().map(|job| Job { at: ms(3_000), ..job }));
    let mut simulation = Simulation::new(plan_of(&[1, 1, 1]), jobs, ms(250));
    while simulation.now < ms(20_000) {
        simulation.step();
    }
    let wait = simulation.waits.values().find(|(class, _)| *class == Class::Long);
    println!("a long request under a flood waits {wait:?}");
    assert!(wait.is_some());
}

fn utilisation(interactive_every: u64) -> f64 {
    let mut jobs = steady(0, Class::Long, 500, 6_000, 300_000);
    jobs.extend(steady(1, Class::Interactive, interactive_every, 1_000, 300_000));
    let mut simulation = Simulation::new(plan_of(&[1, 1, 1]), jobs, ms(250));
    while simulation.now < ms(300_000) {
        simulation.step();
    }
    let waits = simulation.waits.values().filter(|(class, _)| *class == Class::Interactive);
    let mut waits: Vec<u128> = waits.map(|(_, wait)| wait.as_millis()).collect();
    waits.sort_unstable();
    let (median, longest) = (waits[waits.len() / 2], waits[waits.len() - 1]);
    println!(
        "an interactive request each {interactive_every} ms waits {median} ms, at most {longest} ms"
    );
    simulation.dispatcher.status(simulation.now).utilisation.expect("requests have waited")
}

#[test]
fn slots_are_used_while_long_requests_wait_at_any_rate_of_interactive_ones() {
    let measured = [300, 2_000, 8_000, 400_000].map(utilisation);
    println!("utilisation with an interactive request each 0.3, 2, 8, 400 s: {measured:.4?}");
    assert!(measured.iter().all(|fraction| *fraction >= 0.97), "{measured:?}");
}

#[test]
fn backlogged_workspaces_are_served_by_weight_over_changes_of_dispatcher() {
    let mut jobs = steady(0, Class::Interactive, 100, 1_000, 60_000);
    jobs.extend(steady(1, Class::Interactive, 100, 1_000, 60_000));
    let mut simulation = Simulation::new(plan_of(&[1, 3, 1]), jobs, ms(250));
    while simulation.now < ms(60_000) {
        simulation.step();
        if simulation.now.as_millis().is_multiple_of(5_000) {
            simulation.replace_dispatcher();
        }
    }
    let used = |name: &str| simulation.used[&Name::new(name)].0 as f64;
    let ratio = used("y") / used("x");
    println!("served ratio at weights 3 to 1: {ratio:.3}");
    assert!((2.7..3.3).contains(&ratio), "{ratio}");
}

#[test]
fn requests_are_charged_by_usage_independent_of_their_hint() {
    let mut jobs = steady(0, Class::Interactive, 100, 2_000, 60_000);
    jobs.extend(steady(1, Class::Interactive, 100, 500, 60_000));
    let mut simulation = Simulation::new(plan_of(&[1, 1, 1]), jobs, ms(250));
    while simulation.now < ms(60_000) {
        simulation.step();
    }
    let ratio =
        simulation.used[&Name::new("x")].0 as f64 / simulation.used[&Name::new("y")].0 as f64;
    println!("served ratio at equal weights and unequal requests: {ratio:.3}");
    assert!((0.9..1.1).contains(&ratio), "{ratio}");
}
