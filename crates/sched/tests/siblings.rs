//! Shards of one service count each other's work once and redirect requests to free slots.

use std::time::Duration;

use base::Class;
use base::Cost;
use base::Name;
use base::RequestId;
use base::Stamp;
use sched::Action;
use sched::Dispatcher;
use sched::Kind;
use sched::Load;
use sched::Plan;
use sched::RunnerPlan;
use sched::Sibling;
use sched::WorkspacePlan;
use wire::Enqueue;
use wire::Frame;
use wire::Redirect;
use wire::Resync;
use wire::Served;
use wire::Shard;
use wire::Term;
use wire::Total;

/// Slots of the runner of each shard.
const SLOTS: u32 = 2;

fn shard(index: u16) -> Shard {
    Shard::new("chat", "north", index)
}

fn me() -> Name {
    Name::new("r1")
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn plan(index: u16) -> Plan {
    let workspace = |name: &str| WorkspacePlan { name: name.into(), weight: 1, queue_limit: 64 };
    Plan {
        shard: shard(index),
        kind: Kind::Engine,
        runners: vec![RunnerPlan {
            name: Name::new(&format!("e{index}")),
            zone: "z".into(),
            warm_limit: SLOTS,
            cold_limit: SLOTS,
            out: false,
        }],
        workspaces: vec![workspace("a"), workspace("b")],
    }
}

/// Returns a dispatcher that has collected the state of its members and may grant, with one sibling.
fn dispatcher(index: u16, now: Duration) -> Dispatcher {
    let term = Term(Stamp::from_millis(1));
    let mut dispatcher = Dispatcher::new(plan(index), me(), term, vec![me()], 1, now);
    dispatcher.update_siblings(vec![Sibling { shard: shard(1 - index), owner: me() }]);
    dispatcher.poll(now);
    let resync =
        Resync { shard: shard(index), term, waiting: vec![], running: vec![], totals: None };
    dispatcher.handle_frame(&me(), &Frame::Resync(resync), now);
    let load = Load { running: 0, waiting: 0, warm: true, age: Duration::ZERO, sequence: 1 };
    dispatcher.record_load(&Name::new(&format!("e{index}")), Some(load), now);
    dispatcher.poll(now);
    dispatcher
}

fn enqueue(index: u16, request: u128, workspace: &str) -> Frame {
    Frame::Enqueue(Enqueue {
        shard: shard(index),
        request: RequestId(request),
        attempt: 1,
        workspace: workspace.into(),
        class: Class::Interactive,
        hint: Cost::tokens(10),
        prefix: 0,
        max_wait_ms: 60_000,
        waited_ms: 0,
        avoid: vec![],
        alone: false,
    })
}

fn served(term: u64, charge: u64, spare: u32) -> Frame {
    Frame::Served(Served {
        shard: shard(1),
        term: Term(Stamp::from_millis(term)),
        totals: vec![Total { workspace: "a".into(), charge: Cost(charge) }],
        spare,
        spare_long: spare,
    })
}

fn charge(dispatcher: &Dispatcher, workspace: &str) -> Cost {
    let status = dispatcher.status(ms(10));
    status
        .workspaces
        .iter()
        .find(|known| known.name.as_str() == workspace)
        .expect("the workspace is planned")
        .charge
}

fn frames(actions: Vec<Action>) -> Vec<Frame> {
    let frame = |action| match action {
        Action::Send { frame, .. } => Some(frame),
        Action::Event(_) => None,
    };
    actions.into_iter().filter_map(frame).collect()
}

#[test]
fn work_served_by_a_sibling_is_counted_once() {
    let mut dispatcher = dispatcher(0, ms(0));
    for frame in [served(1, 300, 0), served(1, 300, 0), served(1, 500, 0)] {
        dispatcher.handle_frame(&me(), &frame, ms(10));
    }
    assert_eq!(charge(&dispatcher, "a"), Cost(500));
}

#[test]
fn a_new_term_of_a_sibling_adds_to_the_work_counted_before() {
    let mut dispatcher = dispatcher(0, ms(0));
    for frame in [served(1, 300, 0), served(2, 100, 0), served(1, 900, 0)] {
        dispatcher.handle_frame(&me(), &frame, ms(10));
    }
    assert_eq!(charge(&dispatcher, "a"), Cost(400));
}

#[test]
fn frames_of_a_shard_that_is_no_sibling_are_ignored() {
    let mut dispatcher = dispatcher(0, ms(0));
    dispatcher.update_siblings(vec![]);
    dispatcher.handle_frame(&me(), &served(1, 300, 0), ms(10));
    assert_eq!(charge(&dispatcher, "a"), Cost::ZERO);
}

#[test]
fn waiting_requests_are_redirected_to_a_sibling_up_to_its_free_slots() {
    let mut dispatcher = dispatcher(0, ms(0));
    for request in 0..5 {
        dispatcher.handle_frame(&me(), &enqueue(0, request, "a"), ms(10));
    }
    dispatcher.handle_frame(&me(), &served(1, 0, 2), ms(10));
    let frames = frames(dispatcher.poll(ms(10)));
    let redirected: Vec<Redirect> = frames
        .iter()
        .filter_map(|frame| match frame {
            Frame::Redirect(redirect) => Some(redirect.clone()),
            _ => None,
        })
        .collect();
    let redirect = |request| Redirect {
        shard: shard(0),
        term: Term(Stamp::from_millis(1)),
        request: RequestId(request),
        to: 1,
    };
    let granted = frames.iter().filter(|frame| matches!(frame, Frame::Grant(_))).count();
    assert_eq!((granted, redirected), (2, vec![redirect(2), redirect(3)]));
}

#[test]
fn a_changed_number_of_free_slots_is_published_after_the_period() {
    let mut dispatcher = dispatcher(0, ms(0));
    dispatcher.handle_frame(&me(), &enqueue(0, 1, "b"), ms(100));
    let frames = frames(dispatcher.poll(ms(100)));
    let published = frames.iter().find_map(|frame| match frame {
        Frame::Served(served) => Some(served.clone()),
        _ => None,
    });
    let published = published.map(|served| (served.spare, served.spare_long));
    assert_eq!(published.map(|spare| spare.0), None, "unchanged within the period");
    let later = self::frames(dispatcher.poll(ms(700)));
    let spare = later.iter().find_map(|frame| match frame {
        Frame::Served(served) => Some(served.spare),
        _ => None,
    });
    assert_eq!(spare, Some(1));
}
