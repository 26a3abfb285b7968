//! Forwarding of requests and answers by a router on the platform, against fakes of its store and runners.

#[path = "common/router.rs"]
mod router;

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use fake::endpoint::FaultMode;
use fake::endpoint::STREAM_EVENTS;
use fake::endpoint::event_text;
use http::StatusCode;
use http_body_util::Full;

use crate::router::HOST;
use crate::router::Platform;
use crate::router::call;
use crate::router::configuration;
use crate::router::get;
use crate::router::request;
use crate::router::request_with_key;

/// Returns the text of a complete stream.
fn complete_stream() -> String {
    (1..=STREAM_EVENTS).map(event_text).collect()
}

#[tokio::test]
async fn a_request_and_its_answer_are_forwarded_unchanged() {
    let platform = Platform::start("unchanged").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    let body = Bytes::from_static(b"a body \x00\xff");
    let sent = request("POST", "/keyed/a%20b?x=1&y", "r-1")
        .header("api-key", "key-2")
        .header("tenant", "forged")
        .header("hold", "forged")
        .header("kv-from", "forged")
        .header("expect-instance", "forged")
        .header("x-own", "kept")
        .body(Full::new(body.clone()))
        .expect("a request");
    let answer = router.call(sent).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["request-id"], "r-1");
    assert_eq!(answer.headers["response-seal"], "seal-engines-0");
    assert_eq!(answer.body, "answer of engines-0");
    let arrival = runners[0].requests().remove(0);
    assert_eq!(arrival.line, "POST /keyed/a%20b?x=1&y");
    assert_eq!(arrival.body, body);
    assert_eq!(arrival.headers["tenant"], "wall");
    assert_eq!(arrival.headers["expect-instance"], "engines-0");
    assert_eq!(arrival.headers["x-own"], "kept");
    assert_eq!(arrival.headers["host"], HOST);
    for name in ["api-key", "hold", "kv-from"] {
        assert!(!arrival.headers.contains_key(name), "{name}");
    }
    let left: u64 = arrival.headers["deadline-ms"].to_str().expect("text").parse().expect("ms");
    assert!((2_000..=3_000).contains(&left), "{left}");
}

#[tokio::test]
async fn requests_are_denied_before_the_first_configuration_and_outside_of_its_rules() {
    let platform = Platform::start("denied").await;
    let runners = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    let early = router.call(get("/safe/", "r-0")).await;
    assert_eq!(early.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(early.headers.contains_key("retry-after"));
    assert_eq!(call(router.ready, get("/ready", "r-0")).await.status.as_u16(), 503);
    platform.configure(&configuration(1));
    router.wait_for_runners(1).await;
    assert_eq!(call(router.ready, get("/ready", "r-0")).await.status, StatusCode::OK);
    assert_eq!(router.call(get("/nowhere/", "r-1")).await.status, StatusCode::NOT_FOUND);
    assert_eq!(router.call(get("/keyed/", "r-2")).await.status, StatusCode::UNAUTHORIZED);
    let large = request("POST", "/keyed/", "r-3")
        .header("api-key", "key-1")
        .body(Full::new(Bytes::from(vec![0; 20_000])))
        .expect("a request");
    assert_eq!(router.call(large).await.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(runners[0].execution_count(), 0);
}

#[tokio::test]
async fn an_unsafe_request_that_a_runner_rejects_runs_once_at_another() {
    let platform = Platform::start("turned-away").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    runners[0].set_fault_mode(FaultMode::Busy);
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    for number in 0..6 {
        let answer = router.call(get("/unsafe/", &format!("r-{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(runners[0].execution_count(), 0);
    assert_eq!(runners[1].execution_count(), 6);
}

#[tokio::test]
async fn an_unsafe_request_whose_answer_is_lost_is_not_retried_and_not_reported_as_not_run() {
    let platform = Platform::start("lost").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    for runner in &runners {
        runner.set_fault_mode(FaultMode::Disconnected);
    }
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    let answer = router.call(get("/unsafe/", "r-1")).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(runners[0].execution_count() + runners[1].execution_count(), 1);
}

#[tokio::test]
async fn a_safe_request_is_retried_after_a_lost_or_invalid_answer() {
    for (name, fault_mode) in [
        ("again-breaking", FaultMode::Disconnected),
        ("again-crossed", FaultMode::WrongRequestId),
        ("again-unsealed", FaultMode::MissingSeal),
        ("again-failing", FaultMode::InternalError),
    ] {
        let platform = Platform::start(name).await;
        platform.configure(&configuration(1));
        let runners = platform.runners("ledger", 2).await;
        runners[0].set_fault_mode(fault_mode);
        let router = platform.router("router-1").await;
        router.wait_for_runners(2).await;
        for number in 0..4 {
            let answer = router.call(get("/safe/", &format!("r-{number}"))).await;
            assert_eq!(answer.status, StatusCode::OK, "{fault_mode:?}");
            assert_eq!(answer.body, "answer of ledger-1", "{fault_mode:?}");
        }
    }
}

#[tokio::test]
async fn an_answer_that_belongs_to_another_request_never_reaches_a_caller() {
    let platform = Platform::start("crossed").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 1).await;
    runners[0].set_fault_mode(FaultMode::WrongRequestId);
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    let answer = router.call(get("/unsafe/", "r-1")).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(!answer.headers.contains_key("response-seal"));
}

#[tokio::test]
async fn a_resumable_stream_continues_after_its_last_complete_event() {
    let platform = Platform::start("resumed").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("engines", 2).await;
    runners[0].set_fault_mode(FaultMode::TruncatedAt(4));
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    let mut resumed = 0;
    for number in 0..6 {
        let answer =
            router.call(request_with_key("POST", "/stream/", &format!("r-{number}"))).await;
        assert!(answer.is_complete);
        assert_eq!(answer.body, complete_stream());
        let first = answer.headers["response-seal"].to_str().expect("text").to_owned();
        resumed += usize::from(first == "seal-engines-0");
    }
    assert!(resumed > 0, "no request started at the runner that truncates its stream");
    let resume_ids = runners[1].requests().into_iter().filter_map(|arrival| {
        arrival.headers.get("last-event-id").map(|id| id.to_str().expect("text").to_owned())
    });
    assert!(resume_ids.into_iter().all(|id| id == "3"));
}

#[tokio::test]
async fn a_broken_stream_that_must_not_be_resumed_is_not_reported_as_complete() {
    let platform = Platform::start("broken-stream").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("engines", 2).await;
    for runner in &runners {
        runner.set_fault_mode(FaultMode::TruncatedAt(4));
    }
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    let answer = router.call(request_with_key("POST", "/once/stream/", "r-1")).await;
    assert!(!answer.is_complete);
    assert_eq!(runners[0].execution_count() + runners[1].execution_count(), 1);
}

#[tokio::test]
async fn an_unresponsive_runner_costs_a_safe_request_at_most_half_of_its_time() {
    let platform = Platform::start("silent-runner").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    runners[0].set_fault_mode(FaultMode::Unresponsive);
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    for number in 0..2 {
        let start = Instant::now();
        let answer = router.call(get("/safe/", &format!("r-{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(start.elapsed() < Duration::from_millis(2_500));
    }
}

#[tokio::test]
async fn a_request_is_answered_promptly_when_its_route_times_out() {
    let platform = Platform::start("timeout").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 1).await;
    runners[0].set_fault_mode(FaultMode::Unresponsive);
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    let start = Instant::now();
    let answer = router.call(get("/unsafe/", "r-1")).await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(start.elapsed() < Duration::from_millis(3_500));
}
