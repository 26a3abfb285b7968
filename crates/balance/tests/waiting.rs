//! Waiting requests when there is more work than all engines can do.

mod common;

use std::time::Duration;

use balance::Decision;
use balance::Limit;
use balance::Origin;
use balance::Outcome;
use balance::Refusal;
use base::Name;
use indexmap::IndexMap;

use crate::common::SERVICE;
use crate::common::TARGET;
use crate::common::core;
use crate::common::fleet::Fleet;
use crate::common::ms;
use crate::common::request;

const NOW: Duration = Duration::from_secs(100);

/// The time from a grant to its end at an engine under this load.
const RUN: Duration = Duration::from_millis(120);

#[test]
fn a_workspace_at_one_router_gets_its_fair_share_beside_one_that_floods_all_others() {
    let mut fleet = Fleet::new(9, 4, RUN, ms(100));
    for step in 0..600 {
        let now = NOW + ms(10 * step);
        fleet.step(now);
        for router in 1..9 {
            fleet.submit(now, router, request(now, "flood", step * 9 + router as u64, 6_000));
        }
        if step % 2 == 0 {
            fleet.submit(now, 0, request(now, "small", 100_000 + step, 6_000));
        }
    }
    let flood = fleet.granted_between("flood", 100, 106);
    let small = fleet.granted_between("small", 100, 106);
    assert!(small * 2 >= flood.min(300), "small {small} of 300, flood {flood}");
}

#[test]
fn the_workspace_with_the_largest_recent_work_leaves_capacity_for_the_others() {
    let mut core = core("router-1", 2);
    let mut queued = 0;
    for step in 0..20 {
        let outcome = core.submit(NOW, request(NOW + ms(step), "flood", step, 6_000));
        queued += u32::from(matches!(outcome, Outcome::Queued(_)));
    }
    assert!(queued > 0, "the engines were never full");
    core.registry.iter().for_each(|(_, runner)| assert!(runner.own_load.running > 0));
    let others = core.process_queue(NOW + ms(1));
    assert!(others.is_empty(), "the flood was granted a runner");
    let mut small = request(NOW + ms(1), "small", 900, 2_000);
    small.target = NOW + ms(2_000);
    let Outcome::Queued(ticket) = core.submit(NOW + ms(1), small) else { return };
    let decided = core.process_queue(NOW + ms(2));
    let granted = decided
        .iter()
        .any(|(other, decision)| *other == ticket && matches!(decision, Decision::Granted(_)));
    assert!(granted, "the small workspace was not granted a runner");
}

#[test]
fn a_request_without_a_runner_is_refused_within_its_target() {
    let mut core = core("router-1", 0);
    let Outcome::Queued(ticket) = core.submit(NOW, request(NOW, "wall", 7, 50)) else {
        panic!("there is no runner");
    };
    assert!(core.process_queue(NOW + ms(100)).is_empty());
    let due = core.next_wake().expect("a request waits");
    assert!(due <= NOW + TARGET);
    let decided = core.process_queue(due);
    assert!(matches!(decided[..], [(refused, Decision::Refused { .. })] if refused == ticket));
}

#[test]
fn a_cancelled_request_is_not_granted_a_runner() {
    let mut core = core("router-1", 0);
    let Outcome::Queued(ticket) = core.submit(NOW, request(NOW, "wall", 7, 50)) else {
        panic!("there is no runner");
    };
    core.cancel(ticket);
    core.registry.put(NOW, &common::registration("engine-0"));
    assert!(core.process_queue(NOW).is_empty());
    assert_eq!(core.waiting(), 0);
}

#[test]
fn work_that_was_not_run_is_not_charged() {
    let mut core = core("router-1", 1);
    let wall = Name::new("wall");
    let grant = common::granted(core.submit(NOW, request(NOW, "wall", 7, 50)));
    assert!(core.usage.of(NOW, &wall).used > 0);
    core.release(NOW, &grant, false);
    assert_eq!(core.usage.of(NOW, &wall).used, 0);
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut core = core("router-1", 1);
    let mut older = common::table();
    older.version = 0;
    assert!(!core.adopt(older));
    let mut newer = common::table();
    newer.version = 9;
    assert!(core.adopt(newer));
    assert!(!core.adopt(common::table()));
}

/// Returns why the last of many requests of a workspace was refused.
fn last_refusal(core: &mut balance::Core, workspace: &str, now: Duration) -> Option<Refusal> {
    let mut last = None;
    for number in 0..40 {
        let sent = now + ms(5 * number);
        core.submit(sent, request(sent, workspace, number, 2_000));
    }
    let due = core.next_wake()? + ms(200);
    for (_, decision) in core.process_queue(due) {
        if let Decision::Refused { reason, .. } = decision {
            last = Some(reason);
        }
    }
    last
}

#[test]
fn a_refusal_says_whether_the_share_of_the_workspace_or_a_lack_of_runners_is_the_reason() {
    let mut busy = core("router-1", 2);
    for part in 900..903 {
        busy.submit(NOW, request(NOW, "modest", part, 2_000));
    }
    assert_eq!(last_refusal(&mut busy, "flood", NOW), Some(Refusal::OverShare));
    let mut empty = core("router-1", 0);
    assert_eq!(last_refusal(&mut empty, "flood", NOW), Some(Refusal::NoRunner));
}

/// Returns what kept requests of a workspace from the engines until the first was refused, at a router that shares them with
/// a number of others.
fn refusing_limit(engines: usize, others: usize) -> Option<Limit> {
    let mut core = core("router-1", engines);
    core.set_peers(NOW, (0..others).map(|other| Name::new(&format!("other-{other}"))).collect());
    let outcomes = [0; 4].map(|_| core.submit(NOW, request(NOW, "flood", 0, 2_000)));
    let granted = outcomes.iter().filter(|outcome| matches!(outcome, Outcome::Decided(_))).count();
    assert!(granted < 4, "{outcomes:?}");
    let due = core.next_wake()?;
    let decided = core.process_queue(due);
    decided.into_iter().find_map(|(_, decision)| match decision {
        Decision::Refused { limit, .. } => Some(limit),
        Decision::Granted(_) => None,
    })
}

#[test]
fn a_refusal_names_the_limit_that_kept_the_request_from_the_engines() {
    assert_eq!(refusing_limit(0, 0), Some(Limit::Engines));
    assert_eq!(refusing_limit(1, 500), Some(Limit::Lease));
}

/// Returns how many of 200 requests a router places at once, of whose eight peers each has reported that it needs nothing.
fn placed_beside_idle_routers(workspace: Option<&str>) -> usize {
    let mut core = core("router-1", 6);
    let others: Vec<Name> = (0..8).map(|other| Name::new(&format!("other-{other}"))).collect();
    core.set_peers(NOW, others.clone());
    let mut placed = 0;
    for step in 0..200 {
        let now = NOW + ms(10 * step);
        for other in &others {
            core.usage.put(&Origin::Router(other.clone()), now, 1, IndexMap::new());
        }
        core.confirm_report(now);
        let mut request = request(now, "wall", step, 10);
        request.workspace = workspace.map(Name::new);
        if let Outcome::Decided(Decision::Granted(mut grant)) = core.submit(now, request) {
            core.record_first_token(now, &mut grant, &Name::new(SERVICE), ms(1), TARGET);
            placed += 1;
        }
        core.process_queue(now);
    }
    placed
}

/// Guards against engines that stand idle beside a router to which all callers connect, with or without keys.
#[test]
fn a_router_that_is_asked_for_everything_may_use_most_places() {
    let even = 6 * 64 / 9;
    for workspace in [Some("wall"), None] {
        let placed = placed_beside_idle_routers(workspace);
        assert!(placed > 2 * even, "{workspace:?}: {placed} of 200");
    }
}
