//! Shared helpers of the tests: plans, requests and simulations.
#![allow(dead_code, unreachable_pub, missing_docs)]

pub mod fleet;
pub mod simulation;

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
use sched::WorkspacePlan;
use wire::Done;
use wire::Enqueue;
use wire::Frame;
use wire::Grant;
use wire::Outcome;
use wire::Refuse;
use wire::Resync;
use wire::Shard;
use wire::Term;

pub fn shard() -> Shard {
    Shard::new("chat", "north", 0)
}

pub fn name(text: &str) -> Name {
    Name::new(text)
}

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub const fn term(millis: u64) -> Term {
    Term(Stamp::from_millis(millis))
}

pub fn runner(text: &str, cold_limit: u32, warm_limit: u32) -> RunnerPlan {
    RunnerPlan { name: name(text), zone: name("a"), warm_limit, cold_limit, out: false }
}

pub fn workspace(text: &str, weight: u32, queue_limit: u32) -> WorkspacePlan {
    WorkspacePlan { name: name(text), weight, queue_limit }
}

pub fn plan(kind: Kind, runners: Vec<RunnerPlan>, workspaces: Vec<WorkspacePlan>) -> Plan {
    Plan { shard: shard(), kind, runners, workspaces }
}

pub fn request(id: u128, workspace: &str, class: Class) -> Enqueue {
    Enqueue {
        shard: shard(),
        request: RequestId(id),
        attempt: 1,
        workspace: name(workspace),
        class,
        hint: Cost::tokens(16),
        prefix: 0,
        max_wait_ms: 60_000,
        waited_ms: 0,
        avoid: Vec::new(),
        alone: false,
    }
}

pub fn answered(id: u128, used: Cost) -> Done {
    Done {
        shard: shard(),
        request: RequestId(id),
        attempt: 1,
        used,
        outcome: Outcome::Answered,
        first_token_ms: Some(100),
    }
}

pub const fn load(running: u32, warm: bool, sequence: u64) -> Load {
    Load { running, waiting: 0, warm, age: Duration::ZERO, sequence }
}

pub fn resync(term: Term) -> Frame {
    let shard = shard();
    Frame::Resync(Resync { shard, term, waiting: Vec::new(), running: Vec::new(), totals: None })
}

/// Returns a dispatcher whose only member has answered, so that it may grant.
pub fn ready(plan: Plan) -> Dispatcher {
    let me = name("r1");
    let mut dispatcher = Dispatcher::new(plan, me.clone(), term(1), vec![me.clone()], 1, ms(0));
    dispatcher.handle_frame(&me, &resync(term(1)), ms(0));
    dispatcher.poll(ms(0));
    dispatcher
}

pub fn enqueue(dispatcher: &mut Dispatcher, enqueue: Enqueue, now: Duration) {
    dispatcher.handle_frame(&name("r1"), &Frame::Enqueue(enqueue), now);
}

pub fn grants(actions: &[Action]) -> Vec<Grant> {
    let grant = |action: &Action| match action {
        Action::Send { frame: Frame::Grant(grant), .. } => Some(grant.clone()),
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

pub fn granted(actions: &[Action]) -> Vec<u128> {
    grants(actions).iter().map(|grant| grant.request.0).collect()
}

pub fn refusals(actions: &[Action]) -> Vec<Refuse> {
    let refusal = |action: &Action| match action {
        Action::Send { frame: Frame::Refuse(refuse), .. } => Some(refuse.clone()),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}
