//! What runners say about themselves in their answers, against fakes of the store and the runners.

#[path = "common/router.rs"]
mod router;

use std::time::Duration;
use std::time::Instant;

use fake::endpoint::Endpoint;
use fake::endpoint::FIRST_START_MS;
use fake::endpoint::FaultMode;
use http::StatusCode;
use tokio::time;

use crate::router::Answer;
use crate::router::Platform;
use crate::router::Router;
use crate::router::configuration;
use crate::router::get;
use crate::router::wait_for;

const LEAVING: (&str, &str) = ("server-leaving", "1");

/// Sends a number of requests to a route that any runner of `ledger` may serve.
async fn call_often(router: &Router, prefix: &str, count: usize) -> Vec<Answer> {
    let mut answers = Vec::new();
    for number in 0..count {
        answers.push(router.call(get("/safe/", &format!("{prefix}-{number}"))).await);
    }
    answers
}

/// Sends requests until a runner has received one.
async fn call_until_received(router: &Router, runner: &Endpoint, prefix: &str) {
    let start = Instant::now();
    let before = runner.requests().len();
    while runner.requests().len() == before {
        assert!(start.elapsed() < router::WAIT_TIMEOUT, "the runner received no request");
        call_often(router, prefix, 1).await;
    }
}

#[tokio::test]
async fn a_runner_that_says_leaving_in_an_answer_gets_nothing_from_any_router_until_its_next_start()
{
    let platform = Platform::start("leaving").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    let first = platform.router("router-1").await;
    let second = platform.router("router-2").await;
    first.wait_for_runners(2).await;
    second.wait_for_runners(2).await;
    wait_for(|| first.first_line("router_alive")).await;
    wait_for(|| second.first_line("router_alive")).await;
    runners[0].set_added_headers(&[LEAVING]);
    call_until_received(&first, &runners[0], "before").await;
    wait_for(|| second.first_line("runner_leaving")).await;
    let before = runners[0].requests().len();
    call_often(&first, "first", 10).await;
    call_often(&second, "second", 10).await;
    assert_eq!(runners[0].requests().len(), before);
    // Its lines are read by another thread, so that this one may still be on its way.
    wait_for(|| first.first_line("runner_leaving")).await;
    assert_eq!(first.count("runner_leaving"), 1);

    // The record of the same start says nothing new; that of a later start does.
    platform.list_runner(&runners[0], "ledger", "ready", 5);
    time::sleep(Duration::from_millis(300)).await;
    call_often(&first, "same", 6).await;
    assert_eq!(runners[0].requests().len(), before);
    runners[0].set_added_headers(&[]);
    let record = runners[0].record_of_start("ledger", "ready", 1, FIRST_START_MS + 1);
    platform.store.put("keyed.servers", runners[0].id(), &record);
    call_until_received(&first, &runners[0], "next").await;
}

#[tokio::test]
async fn leaving_is_read_on_answers_that_are_not_passed_on() {
    let platform = Platform::start("leaving-rejected").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    runners[0].set_fault_mode(FaultMode::Busy);
    runners[0].set_added_headers(&[LEAVING]);
    call_until_received(&router, &runners[0], "before").await;
    wait_for(|| router.first_line("runner_leaving")).await;
    time::sleep(Duration::from_secs(1)).await;
    let answers = call_often(&router, "after", 10).await;
    assert!(answers.iter().all(|answer| answer.status == StatusCode::OK));
    assert_eq!(runners[0].requests().len(), 1);
}

#[tokio::test]
async fn a_runner_that_rejects_with_retry_after_gets_nothing_until_then() {
    let platform = Platform::start("retry-after").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    runners[0].set_fault_mode(FaultMode::Busy);
    runners[0].set_added_headers(&[("retry-after", "1.5")]);
    call_until_received(&router, &runners[0], "before").await;
    let rejected_at = Instant::now();
    runners[0].set_fault_mode(FaultMode::Normal);
    while rejected_at.elapsed() < Duration::from_millis(1_350) {
        let answers = call_often(&router, "meanwhile", 1).await;
        assert_eq!(answers[0].status, StatusCode::OK);
        time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(runners[0].requests().len(), 1);
    wait_for(|| router.first_line("runner_resumed")).await;
    call_until_received(&router, &runners[0], "after").await;
}

#[tokio::test]
async fn callers_are_told_the_retry_after_of_the_first_runner_when_all_want_nothing() {
    let platform = Platform::start("retry-after-all").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    for (runner, seconds) in runners.iter().zip(["9", "20"]) {
        runner.set_fault_mode(FaultMode::Busy);
        runner.set_added_headers(&[("retry-after", seconds)]);
    }
    let begin = Instant::now();
    while router.count("runner_paused") < 2 {
        assert!(begin.elapsed() < router::WAIT_TIMEOUT, "not both runners were paused");
        call_often(&router, "before", 1).await;
    }
    let start = Instant::now();
    let answer = router.call(get("/unsafe/", "refused")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(start.elapsed() < Duration::from_millis(100), "{:?}", start.elapsed());
    let stated = answer.headers["retry-after"].to_str().expect("text");
    let seconds: f64 = stated.parse().expect("a number of seconds");
    assert!((7.0..=9.0).contains(&seconds), "{seconds}");
}

#[tokio::test]
async fn a_retry_after_that_does_not_parse_is_ignored_and_logged() {
    let platform = Platform::start("retry-after-unreadable").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    runners[0].set_fault_mode(FaultMode::Busy);
    runners[0].set_added_headers(&[("retry-after", "soon")]);
    call_until_received(&router, &runners[0], "before").await;
    wait_for(|| router.first_line("retry_after_unreadable")).await;
    assert_eq!(router.count("runner_paused"), 0);
}

/// Guards against a figure that can't be true ending the use of a runner, or of the figures of others.
#[tokio::test]
async fn a_load_that_does_not_parse_is_ignored_and_logged() {
    let platform = Platform::start("load").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    for load in ["1,0,8,-3", "1,0,8,99999999999999", "1,0,8,x", "1,0,8,0"] {
        runners[0].set_added_headers(&[("runner-load", load)]);
        call_until_received(&router, &runners[0], load).await;
    }
    wait_for(|| (router.count("load_unreadable") >= 4).then_some(())).await;
    for load in ["", "1,0,8", "1,0,8,120"] {
        runners[0].set_added_headers(&[("runner-load", load)]);
        call_until_received(&router, &runners[0], &format!("good{load}")).await;
    }
    let answers = call_often(&router, "after", 6).await;
    assert!(answers.iter().all(|answer| answer.status == StatusCode::OK));
    assert_eq!(router.count("load_unreadable"), 4);
}
