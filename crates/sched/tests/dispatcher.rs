//! Tests of a single dispatcher.

mod common;

use base::Class;
use base::Cost;
use base::RequestId;
use base::Verdict;
use common::answered;
use common::enqueue;
use common::granted;
use common::load;
use common::ms;
use common::name;
use common::plan;
use common::ready;
use common::refusals;
use common::request;
use common::resync;
use common::runner;
use common::shard;
use common::term;
use common::workspace;
use sched::Dispatcher;
use sched::Kind;
use wire::Done;
use wire::Enqueue;
use wire::Frame;
use wire::Outcome;
use wire::Refuse;
use wire::Resync;
use wire::Total;
use wire::Totals;
use wire::Usage;

fn single(cold: u32, warm: u32) -> Dispatcher {
    let workspaces = vec![workspace("x", 1, 100), workspace("y", 1, 100)];
    ready(plan(Kind::Engine, vec![runner("e1", cold, warm)], workspaces))
}

#[test]
fn the_least_charged_workspace_is_granted_first() {
    let mut dispatcher = single(1, 1);
    enqueue(&mut dispatcher, request(1, "x", Class::Interactive), ms(0));
    assert_eq!(granted(&dispatcher.poll(ms(0))), [1]);
    enqueue(&mut dispatcher, request(2, "x", Class::Interactive), ms(0));
    enqueue(&mut dispatcher, request(3, "y", Class::Interactive), ms(1));
    let done = Frame::Done(answered(1, Cost::tokens(500)));
    dispatcher.handle_frame(&name("r1"), &done, ms(10));
    assert_eq!(granted(&dispatcher.poll(ms(10))), [3]);
}

#[test]
fn requests_beyond_the_queue_limit_are_refused_at_once_with_a_retry_delay() {
    let workspaces = vec![workspace("x", 1, 1)];
    let mut dispatcher = ready(plan(Kind::Engine, vec![runner("e1", 1, 1)], workspaces));
    enqueue(&mut dispatcher, request(1, "x", Class::Interactive), ms(0));
    dispatcher.poll(ms(0));
    enqueue(&mut dispatcher, request(2, "x", Class::Interactive), ms(0));
    enqueue(&mut dispatcher, request(3, "x", Class::Interactive), ms(0));
    let expected = Refuse {
        shard: shard(),
        term: term(1),
        request: RequestId(3),
        verdict: Verdict::NotRun,
        retry_after_ms: 2_000,
        queue_full: true,
    };
    assert_eq!(refusals(&dispatcher.poll(ms(0))), [expected]);
}

#[test]
fn a_cold_report_lowers_the_limit_at_once() {
    let mut dispatcher = single(1, 3);
    dispatcher.record_load(&name("e1"), Some(load(0, true, 1)), ms(0));
    for id in 1..=3 {
        enqueue(&mut dispatcher, request(id, "x", Class::Interactive), ms(0));
        dispatcher.poll(ms(0));
        let done = Frame::Done(answered(id, Cost::tokens(1)));
        dispatcher.handle_frame(&name("r1"), &done, ms(1));
    }
    dispatcher.record_load(&name("e1"), Some(load(0, false, 2)), ms(700));
    for id in 4..=6 {
        enqueue(&mut dispatcher, request(id, "x", Class::Interactive), ms(700));
    }
    assert_eq!(granted(&dispatcher.poll(ms(700))), [4]);
}

fn submit(dispatcher: &mut Dispatcher, ids: std::ops::RangeInclusive<u128>, at: u64) -> Vec<u128> {
    for id in ids {
        enqueue(dispatcher, request(id, "x", Class::Interactive), ms(at));
    }
    granted(&dispatcher.poll(ms(at)))
}

fn end(dispatcher: &mut Dispatcher, id: u128, outcome: Outcome, at: u64) {
    let done = Done { outcome, ..answered(id, Cost::tokens(1)) };
    dispatcher.handle_frame(&name("r1"), &Frame::Done(done), ms(at));
}

#[test]
fn a_paused_dispatcher_grants_nothing_before_a_new_term() {
    let mut dispatcher = single(2, 2);
    assert_eq!(submit(&mut dispatcher, 1..=1, 3_000), []);
    assert!(dispatcher.needs_term());
    dispatcher.begin_term(term(2));
    assert_eq!(granted(&dispatcher.poll(ms(3_000))), []);
    dispatcher.record_load(&name("e1"), Some(load(0, false, 1)), ms(3_010));
    dispatcher.handle_frame(&name("r1"), &resync(term(2)), ms(3_010));
    assert_eq!(submit(&mut dispatcher, 2..=2, 3_010), [1, 2]);
}

#[test]
fn nothing_is_granted_until_all_members_have_answered() {
    let (me, other) = (name("r1"), name("r2"));
    let plan = plan(Kind::Engine, vec![runner("e1", 2, 2)], vec![workspace("x", 1, 9)]);
    let members = vec![me.clone(), other.clone()];
    let mut dispatcher = Dispatcher::new(plan, me.clone(), term(1), members, 2, ms(0));
    dispatcher.handle_frame(&me, &resync(term(1)), ms(0));
    assert_eq!(submit(&mut dispatcher, 1..=1, 0), []);
    let running = wire::Running {
        request: RequestId(9),
        attempt: 1,
        workspace: name("x"),
        class: Class::Long,
        runner: name("e1"),
        used: Cost::ZERO,
    };
    let report = Resync {
        shard: shard(),
        term: term(1),
        waiting: Vec::new(),
        running: vec![running],
        totals: None,
    };
    dispatcher.handle_frame(&other, &Frame::Resync(report), ms(10));
    dispatcher.record_load(&name("e1"), Some(load(1, false, 1)), ms(600));
    assert_eq!(submit(&mut dispatcher, 2..=2, 600), [1]);
}

#[test]
fn the_minority_side_uses_its_share_after_the_settle_time_and_a_report() {
    let members: Vec<_> = ["r1", "r2"].map(name).to_vec();
    let plan = plan(Kind::Engine, vec![runner("e1", 5, 5)], vec![workspace("x", 1, 9)]);
    let mut dispatcher = Dispatcher::new(plan, name("r1"), term(1), members.clone(), 5, ms(0));
    for member in &members {
        dispatcher.handle_frame(member, &resync(term(1)), ms(0));
    }
    assert_eq!(submit(&mut dispatcher, 1..=5, 0), []);
    for at in [1_000, 2_000, 3_000] {
        dispatcher.record_load(&name("e1"), Some(load(0, false, at)), ms(at - 1));
        assert_eq!(granted(&dispatcher.poll(ms(at))), []);
    }
    dispatcher.record_load(&name("e1"), Some(load(0, false, 3_001)), ms(3_001));
    assert_eq!(granted(&dispatcher.poll(ms(3_001))), [1, 2]);
}

#[test]
fn a_minority_side_without_slots_refuses_requests_as_not_run() {
    let members: Vec<_> = ["r1", "r2"].map(name).to_vec();
    let plan = plan(Kind::Engine, vec![runner("e1", 2, 8)], vec![workspace("x", 1, 9)]);
    let mut dispatcher = Dispatcher::new(plan, name("r1"), term(1), members.clone(), 5, ms(0));
    for member in &members {
        dispatcher.handle_frame(member, &resync(term(1)), ms(0));
    }
    assert_eq!(submit(&mut dispatcher, 1..=2, 0), []);
    for at in [1_000, 2_000, 2_999] {
        assert_eq!(refusals(&dispatcher.poll(ms(at))), []);
    }
    let refused = refusals(&dispatcher.poll(ms(3_000)));
    let verdicts: Vec<_> =
        refused.iter().map(|refuse| (refuse.request.0, refuse.verdict)).collect();
    assert_eq!(verdicts, [(1, Verdict::NotRun), (2, Verdict::NotRun)]);
}

#[test]
fn a_request_marked_alone_shares_its_runner_with_no_other() {
    let mut dispatcher = single(2, 2);
    assert_eq!(submit(&mut dispatcher, 1..=1, 0), [1]);
    let alone = Enqueue { alone: true, ..request(2, "x", Class::Interactive) };
    enqueue(&mut dispatcher, alone, ms(0));
    assert_eq!(submit(&mut dispatcher, 3..=3, 0), []);
    end(&mut dispatcher, 1, Outcome::Answered, 10);
    assert_eq!(granted(&dispatcher.poll(ms(10))), [2]);
    end(&mut dispatcher, 2, Outcome::Answered, 20);
    assert_eq!(granted(&dispatcher.poll(ms(20))), [3]);
}

#[test]
fn a_request_that_no_runner_may_serve_is_refused_at_once() {
    let mut dispatcher = single(2, 2);
    let avoid = vec![name("e1")];
    enqueue(&mut dispatcher, Enqueue { avoid, ..request(1, "x", Class::Interactive) }, ms(0));
    let refused = refusals(&dispatcher.poll(ms(0)));
    assert_eq!(refused.iter().map(|refuse| refuse.queue_full).collect::<Vec<_>>(), [false]);
}

#[test]
fn a_request_is_refused_at_its_deadline() {
    let mut dispatcher = single(1, 1);
    assert_eq!(submit(&mut dispatcher, 1..=1, 0), [1]);
    enqueue(&mut dispatcher, Enqueue { max_wait_ms: 40, ..request(2, "x", Class::Long) }, ms(0));
    assert_eq!(refusals(&dispatcher.poll(ms(0))), []);
    assert_eq!(dispatcher.next_wake(ms(0)), Some(ms(40)));
    assert_eq!(refusals(&dispatcher.poll(ms(40))).len(), 1);
}

#[test]
fn a_workspace_gains_no_credit_while_idle() {
    let mut dispatcher = single(1, 1);
    for id in 1..=20 {
        assert_eq!(submit(&mut dispatcher, id..=id, 100), [id]);
        let done = Frame::Done(answered(id, Cost::tokens(100)));
        dispatcher.handle_frame(&name("r1"), &done, ms(100));
    }
    enqueue(&mut dispatcher, request(30, "y", Class::Interactive), ms(100));
    let status = dispatcher.status(ms(100));
    let charges: Vec<Cost> = status.workspaces.iter().map(|known| known.charge).collect();
    assert_eq!(charges, [Cost::tokens(2_000), Cost::tokens(1_900)]);
}

#[test]
fn a_new_dispatcher_takes_over_the_charges_that_a_successor_stores() {
    let plan = plan(
        Kind::Plain,
        vec![runner("p1", 1, 1)],
        vec![workspace("x", 1, 9), workspace("y", 1, 9)],
    );
    let mut dispatcher = Dispatcher::new(plan, name("r1"), term(2), vec![name("r1")], 1, ms(0));
    let total = |text, tokens| Total { workspace: name(text), charge: Cost::tokens(tokens) };
    let totals = vec![total("x", 500), total("y", 200), total("", 200)];
    let totals = Totals { shard: shard(), term: term(1), sequence: 7, totals };
    let report = Resync {
        shard: shard(),
        term: term(2),
        waiting: vec![request(1, "x", Class::Interactive), request(2, "y", Class::Long)],
        running: Vec::new(),
        totals: Some(totals),
    };
    dispatcher.handle_frame(&name("r1"), &Frame::Resync(report), ms(0));
    assert_eq!(granted(&dispatcher.poll(ms(0))), [2]);
}

#[test]
fn a_workspace_without_counter_starts_at_the_virtual_time_after_a_restart() {
    let plan = plan(Kind::Plain, vec![runner("p1", 1, 1)], vec![workspace("x", 1, 9)]);
    let mut dispatcher = Dispatcher::new(plan, name("r1"), term(2), vec![name("r1")], 1, ms(0));
    let time = Total { workspace: name(""), charge: Cost::tokens(900) };
    let totals = Totals { shard: shard(), term: term(1), sequence: 7, totals: vec![time] };
    let report = Resync {
        shard: shard(),
        term: term(2),
        waiting: vec![request(1, "x", Class::Interactive), request(2, "x", Class::Interactive)],
        running: Vec::new(),
        totals: Some(totals),
    };
    dispatcher.handle_frame(&name("r1"), &Frame::Resync(report), ms(0));
    assert_eq!(granted(&dispatcher.poll(ms(0))), [1]);
    let charge = dispatcher.status(ms(0)).workspaces[0].charge;
    assert_eq!(charge, Cost::tokens(900) + Cost::tokens(16));
}

#[test]
fn an_unreachable_runner_gets_no_grants_until_a_report_succeeds() {
    let mut dispatcher = single(2, 2);
    assert_eq!(submit(&mut dispatcher, 1..=1, 0), [1]);
    end(&mut dispatcher, 1, Outcome::Unreachable, 10);
    assert_eq!(submit(&mut dispatcher, 2..=3, 10), []);
    dispatcher.record_load(&name("e1"), Some(load(0, true, 1)), ms(50));
    assert_eq!(granted(&dispatcher.poll(ms(50))), [2]);
}

#[test]
fn a_broken_connection_makes_a_warm_runner_cold() {
    let mut dispatcher = single(1, 3);
    dispatcher.record_load(&name("e1"), Some(load(0, true, 1)), ms(0));
    for id in 1..=3 {
        submit(&mut dispatcher, id..=id, 0);
        end(&mut dispatcher, id, Outcome::Answered, 0);
    }
    assert_eq!(submit(&mut dispatcher, 4..=6, 0), [4, 5, 6]);
    end(&mut dispatcher, 4, Outcome::Broken, 5);
    assert_eq!(submit(&mut dispatcher, 7..=7, 5), []);
    end(&mut dispatcher, 5, Outcome::Answered, 9);
    end(&mut dispatcher, 6, Outcome::Answered, 9);
    assert_eq!(submit(&mut dispatcher, 8..=9, 9), [7]);
}

#[test]
fn a_slot_is_closed_to_long_requests_until_its_idle_allowance_is_spent() {
    let mut dispatcher = single(2, 2);
    assert_eq!(submit(&mut dispatcher, 1..=1, 0), [1]);
    end(&mut dispatcher, 1, Outcome::Answered, 0);
    for id in 2..=3 {
        enqueue(&mut dispatcher, request(id, "y", Class::Long), ms(0));
    }
    assert_eq!(granted(&dispatcher.poll(ms(0))), [2]);
    let usage = Usage { shard: shard(), request: RequestId(2), used: Cost::ZERO };
    dispatcher.handle_frame(&name("r1"), &Frame::Usage(vec![usage]), ms(0));
    for at in (250..=2_250).step_by(250) {
        assert_eq!(granted(&dispatcher.poll(ms(at))), []);
    }
    assert_eq!(granted(&dispatcher.poll(ms(2_500))), []);
    assert_eq!(granted(&dispatcher.poll(ms(2_750))), [3]);
}

#[test]
fn prefix_affinity_applies_among_free_runners_only() {
    let runners = vec![runner("e1", 2, 2), runner("e2", 2, 2)];
    let mut dispatcher = ready(plan(Kind::Engine, runners, vec![workspace("x", 1, 9)]));
    let mut placed = Vec::new();
    for id in 1..=4 {
        let prefix = u64::from(id != 2) * 7;
        enqueue(&mut dispatcher, Enqueue { prefix, ..request(id, "x", Class::Interactive) }, ms(0));
        let grants = common::grants(&dispatcher.poll(ms(0)));
        placed.extend(grants.into_iter().map(|grant| grant.runner));
    }
    assert_eq!(placed, ["e1", "e2", "e1", "e2"].map(name));
}

#[test]
fn a_slow_first_token_makes_a_warm_runner_cold() {
    let mut dispatcher = single(1, 2);
    dispatcher.record_load(&name("e1"), Some(load(0, true, 1)), ms(0));
    for id in 1..=10 {
        submit(&mut dispatcher, id..=id, 0);
        end(&mut dispatcher, id, Outcome::Answered, 0);
    }
    assert_eq!(submit(&mut dispatcher, 11..=12, 0), [11, 12]);
    let late = Done { first_token_ms: Some(1_200), ..answered(11, Cost::tokens(1)) };
    dispatcher.handle_frame(&name("r1"), &Frame::Done(late), ms(5));
    assert_eq!(submit(&mut dispatcher, 13..=13, 5), []);
}

#[test]
fn a_deadline_that_the_drain_rate_cannot_meet_is_refused_at_once() {
    let mut dispatcher = single(1, 1);
    submit(&mut dispatcher, 1..=30, 0);
    for id in 1..=10 {
        let at = u64::try_from(id).expect("the number is small") * 1_000;
        for tick in (at - 750..at).step_by(250) {
            dispatcher.poll(ms(tick));
        }
        end(&mut dispatcher, id, Outcome::Answered, at);
        dispatcher.poll(ms(at));
    }
    let short_wait = Enqueue { max_wait_ms: 9_000, ..request(90, "x", Class::Interactive) };
    enqueue(&mut dispatcher, short_wait, ms(10_000));
    enqueue(&mut dispatcher, request(91, "x", Class::Interactive), ms(10_000));
    let refused = refusals(&dispatcher.poll(ms(10_000)));
    let refused: Vec<_> = refused.iter().map(|one| (one.request.0, one.queue_full)).collect();
    assert_eq!(refused, [(90, false)]);
}
