//! Compares the dispatcher with the baseline, and measures the pause when the dispatcher changes.

mod common;

use std::time::Duration;

use base::Class;
use common::fleet::Fault;
use common::fleet::Fleet;
use common::ms;
use common::name;
use common::plan;
use common::request;
use common::runner;
use common::workspace;
use sched::EntryAction;
use sched::Kind;
use sched::Plan;
use sched::baseline::Scheduler;

fn plan_of() -> Plan {
    let workspaces = vec![workspace("x", 1, 999), workspace("y", 1, 999)];
    plan(Kind::Engine, vec![runner("e1", 4, 16), runner("e2", 4, 16)], workspaces)
}

#[test]
fn independent_routers_exceed_cold_limits_and_fair_shares() {
    let mut sent = Vec::new();
    for router in 0..9_u128 {
        let mut scheduler = Scheduler::new(plan_of());
        let workspace = if router == 0 { "x" } else { "y" };
        for id in 0..20 {
            scheduler.submit(request(router * 100 + id, workspace, Class::Interactive), ms(0));
        }
        let granted = |action| match action {
            EntryAction::Granted(grant) => Some((workspace, grant.runner)),
            _ => None,
        };
        sent.extend(scheduler.poll(ms(0)).into_iter().filter_map(granted));
    }
    let on_first = sent.iter().filter(|(_, runner)| *runner == name("e1")).count();
    let of_x = sent.iter().filter(|(workspace, _)| *workspace == "x").count();
    println!("baseline: {on_first} on a cold limit of 4; x has {of_x} of {}", sent.len());
    assert_eq!((on_first, of_x, sent.len()), (90, 20, 180));
}

/// Returns the longest time without a grant before a fault and after it.
fn longest_pauses(seed: u64, fault: fn(usize) -> Fault) -> [Duration; 2] {
    let mut fleet = Fleet::new(plan_of(), 9, seed);
    fleet.load(&["x", "y"], ms(4_000), ms(50_000), 600);
    fleet.run(ms(20_000));
    let owner = fleet.dispatcher().expect("exactly one node dispatches without faults");
    fleet.fault(ms(20_000), fault(owner));
    fleet.run(ms(50_000));
    assert!(fleet.runner_states.iter().all(|state| state.max_running <= 4));
    let longest = |from: u64, to: u64| {
        let inside = |at: &&Duration| (ms(from)..ms(to)).contains(at);
        let times: Vec<Duration> = fleet.grants.iter().filter(inside).copied().collect();
        times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(ms(to - from))
    };
    [longest(10_000, 20_000), longest(20_000, 50_000)]
}

#[test]
fn grants_resume_after_the_dispatcher_is_killed_or_a_node_joins() {
    let mut pauses = Vec::new();
    for seed in 0..8 {
        pauses.push((longest_pauses(seed, Fault::Kill), longest_pauses(seed, |_| Fault::Join)));
    }
    let worst = |values: &mut dyn Iterator<Item = Duration>| values.max().unwrap_or_default();
    let before = worst(&mut pauses.iter().map(|(kill, _)| kill[0]));
    let killed = worst(&mut pauses.iter().map(|(kill, _)| kill[1]));
    let joined = worst(&mut pauses.iter().map(|(_, join)| join[1]));
    println!("longest pause of grants: steady {before:?}, killed {killed:?}, joined {joined:?}");
    assert!(killed < ms(8_000) && joined < ms(5_000));
}
