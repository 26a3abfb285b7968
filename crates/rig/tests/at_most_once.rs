//! Tests that non-idempotent calls run at most once, whatever fails.

mod small_fleet;

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::Verdict;
use http::Method;
use http::header::RETRY_AFTER;
use rig::Answer;
use rig::Call;
use rig::Faults;
use rig::RunnerPlan;
use serde_json::json;
use small_fleet::MODEL;
use small_fleet::PLAIN;
use small_fleet::builder;
use small_fleet::executions;
use small_fleet::model;
use small_fleet::next;
use small_fleet::send;
use small_fleet::start;
use small_fleet::wait_until;
use tokio::task::JoinSet;
use tokio::time::Instant;
use uuid::NoContext;
use uuid::Timestamp;
use uuid::Uuid;

/// The maximum time of an immediate refusal, with room for a loaded machine.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(5);

fn slow() -> RunnerPlan {
    RunnerPlan::new().args(&["--service-ms", "300"])
}

fn outcome(answer: &Answer) -> (Option<u16>, Option<Verdict>) {
    (answer.status.map(|status| status.as_u16()), answer.verdict())
}

async fn faults(fleet: &rig::Fleet, faults: Faults) {
    fleet.platform().control("faults", &faults).await.expect("an accepted control request");
}

#[tokio::test]
async fn a_key_sent_concurrently_to_two_routers_is_executed_once() {
    let test_fleet = start(builder(2, &model(), &slow())).await;
    let fleet = &test_fleet.fleet;
    for round in 0..5 {
        let call = Call::non_idempotent(PLAIN, "/ascents", &format!("round {round}"));
        let mut calls = JoinSet::new();
        send(&mut calls, fleet, 0, &call);
        send(&mut calls, fleet, 1, &call);
        let answers = [next(&mut calls).await, next(&mut calls).await];
        let served = answers.iter().filter(|answer| answer.is_success()).count();
        let unknown = (Some(409), Some(Verdict::MayHaveRun));
        let refused = answers.iter().filter(|answer| outcome(answer) == unknown).count();
        assert!(served >= 1 && served + refused == 2, "{answers:?}");
        assert_eq!(executions(fleet).await, round + 1);
        wait_until("the recorded outcome", async || {
            fleet.caller_of("crag", 1).call(&call).await.is_success()
        })
        .await;
    }
    assert_eq!(executions(fleet).await, 5);
}

#[tokio::test]
async fn without_the_log_only_non_idempotent_calls_are_refused_immediately() {
    let test_fleet = start(builder(2, &model(), &RunnerPlan::new())).await;
    let fleet = &test_fleet.fleet;
    let caller = fleet.caller_of("crag", 0);
    faults(fleet, Faults { log_down: Some(true), ..Faults::default() }).await;
    for number in 0..4 {
        let started = Instant::now();
        let answer =
            caller.call(&Call::non_idempotent(PLAIN, "/ascents", &format!("{number}"))).await;
        println!("refused after {:?}", started.elapsed());
        assert!(started.elapsed() < MAX_REFUSAL_TIME, "{:?}", started.elapsed());
        assert_eq!(outcome(&answer), (Some(503), Some(Verdict::NotRun)));
        assert!(answer.headers.contains_key(RETRY_AFTER) && answer.retry_after().is_some());
        assert!(caller.call(&Call::lookup(PLAIN, "/routes/17")).await.is_success());
        let complete = caller.call(&Call::completion(MODEL, "on", 3)).await.check_complete("on", 3);
        assert_eq!(complete, Ok(()));
    }
    assert_eq!(executions(fleet).await, 0);
    faults(fleet, Faults { log_down: Some(false), ..Faults::default() }).await;
    let call = Call::non_idempotent(PLAIN, "/ascents", "back");
    wait_until("calls after the log has recovered", async || caller.call(&call).await.is_success())
        .await;
    assert_eq!(executions(fleet).await, 1);
}

#[tokio::test]
async fn a_call_whose_append_was_not_answered_is_executed_exactly_once() {
    let test_fleet = start(builder(2, &model(), &RunnerPlan::new())).await;
    let fleet = &test_fleet.fleet;
    let call = Call::non_idempotent(PLAIN, "/ascents", "route 17");
    faults(fleet, Faults { lose_answers: Some(1), ..Faults::default() }).await;
    let answer = fleet.caller_of("crag", 0).call(&call).await;
    assert!(answer.is_success(), "{answer:?}");
    wait_until("the recorded outcome", async || {
        fleet.caller_of("crag", 1).call(&call).await.body == answer.body
    })
    .await;
    assert_eq!(executions(fleet).await, 1);
}

#[tokio::test]
async fn a_router_restarted_without_state_returns_the_recorded_outcome() {
    let mut test_fleet = start(builder(2, &model(), &RunnerPlan::new())).await;
    let fleet = &mut test_fleet.fleet;
    let call = Call::non_idempotent(PLAIN, "/ascents", "route 17");
    let answer = fleet.caller_of("crag", 0).call(&call).await;
    assert!(answer.is_success(), "{answer:?}");
    wait_until("the recorded outcome", async || {
        fleet.caller_of("crag", 1).call(&call).await.body == answer.body
    })
    .await;
    fleet.restart(0).expect("restarted");
    wait_until("the recorded outcome at the router restarted without state", async || {
        fleet.caller_of("crag", 0).call(&call).await.body == answer.body
    })
    .await;
    assert_eq!(executions(fleet).await, 1);
}

#[tokio::test]
async fn a_key_sent_again_after_its_router_was_killed_is_not_executed_twice() {
    let mut test_fleet = start(builder(2, &model(), &slow())).await;
    let fleet = &mut test_fleet.fleet;
    let call = Call::non_idempotent(PLAIN, "/ascents", "route 17");
    let mut calls = JoinSet::new();
    send(&mut calls, fleet, 0, &call);
    wait_until("the execution", async || executions(fleet).await == 1).await;
    fleet.kill(0);
    let first = next(&mut calls).await;
    assert!(first.failure.is_some(), "{first:?}");
    let caller = fleet.caller_of("crag", 1);
    wait_until("a verdict at the other router", async || {
        outcome(&caller.call(&call).await) == (Some(409), Some(Verdict::MayHaveRun))
    })
    .await;
    assert_eq!(executions(fleet).await, 1);
}

#[tokio::test]
async fn invalid_or_expired_keys_are_refused_as_not_run() {
    let test_fleet = start(builder(1, &model(), &RunnerPlan::new())).await;
    let fleet = &test_fleet.fleet;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs();
    let old = Uuid::new_v7(Timestamp::from_unix(NoContext, now - 7200, 0)).to_string();
    let early = Uuid::new_v7(Timestamp::from_unix(NoContext, now + 7200, 0)).to_string();
    let call = Call::non_idempotent(PLAIN, "/ascents", "route 17");
    let keyless = Call::new(Method::POST, PLAIN, "/ascents").body("route 17");
    let calls = [
        keyless,
        call.clone().key("7"),
        call.clone().key("c2b4cd3c-3f8c-4d3e-9a54-3c2f3a1f6d10"),
        call.clone().key(&old),
        call.clone().key(&early),
    ];
    let caller = fleet.caller_of("crag", 0);
    for call in &calls {
        let answer = caller.call(call).await;
        assert_eq!(outcome(&answer), (Some(400), Some(Verdict::NotRun)), "{answer:?}");
    }
    assert_eq!(executions(fleet).await, 0);
    assert!(caller.call(&call).await.is_success());
    let other = call.clone().body("route 18");
    let reused = caller.call(&other).await;
    assert_eq!(outcome(&reused), (Some(422), Some(Verdict::NotRun)));
    assert_eq!(executions(fleet).await, 1);
}

#[tokio::test]
async fn a_call_whose_runner_crashes_may_have_run() {
    let mut test_fleet = start(builder(2, &model(), &RunnerPlan::new())).await;
    let fleet = &mut test_fleet.fleet;
    for (crash, executed) in [("before_run", 0), ("after_run", 1)] {
        small_fleet::control_runner(fleet, "ledger-1", "crash", &json!({ crash: true })).await;
        let call = Call::non_idempotent(PLAIN, "/ascents", crash);
        let answer = fleet.caller_of("crag", 0).call(&call).await;
        assert_eq!(outcome(&answer), (Some(502), Some(Verdict::MayHaveRun)));
        let again = fleet.caller_of("crag", 1).call(&call).await;
        assert_eq!(outcome(&again), (Some(409), Some(Verdict::MayHaveRun)));
        assert_eq!(executions(fleet).await, executed);
    }
}
