//! Behaviour of a dispatcher on its own.

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
use common::runner;
use common::shard;
use common::term;
use common::workspace;
use sched::Dispatcher;
use sched::Kind;
use wire::Frame;
use wire::Refuse;

fn single(cold: u32, warm: u32) -> Dispatcher {
    let workspaces = vec![workspace("x", 1, 100), workspace("y", 1, 100)];
    ready(plan(Kind::Engine, vec![runner("e1", cold, warm)], workspaces))
}

#[test]
fn least_charged_workspace_goes_first() {
    let mut dispatcher = single(1, 1);
    enqueue(&mut dispatcher, request(1, "x", Class::Interactive), ms(0));
    assert_eq!(granted(&dispatcher.poll(ms(0))), [1]);
    enqueue(&mut dispatcher, request(2, "x", Class::Interactive), ms(0));
    enqueue(&mut dispatcher, request(3, "y", Class::Interactive), ms(1));
    let done = Frame::Done(answered(1, Cost::tokens(500)));
    dispatcher.frame(&name("r1"), &done, ms(10));
    assert_eq!(granted(&dispatcher.poll(ms(10))), [3]);
}

#[test]
fn flood_is_refused_at_once_with_time_to_come_back() {
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
        flooded: true,
    };
    assert_eq!(refusals(&dispatcher.poll(ms(0))), [expected]);
}

#[test]
fn cold_report_takes_slots_back_at_once() {
    let mut dispatcher = single(1, 3);
    dispatcher.load(&name("e1"), Some(load(0, true, 1)), ms(0));
    for id in 1..=3 {
        enqueue(&mut dispatcher, request(id, "x", Class::Interactive), ms(0));
        dispatcher.poll(ms(0));
        let done = Frame::Done(answered(id, Cost::tokens(1)));
        dispatcher.frame(&name("r1"), &done, ms(1));
    }
    dispatcher.load(&name("e1"), Some(load(0, false, 2)), ms(700));
    for id in 4..=6 {
        enqueue(&mut dispatcher, request(id, "x", Class::Interactive), ms(700));
    }
    assert_eq!(granted(&dispatcher.poll(ms(700))), [4]);
}
