//! Answers of runners that stall, have no end, end with their connection or come twice, against fakes of the store and the runners.

#[path = "common/router.rs"]
mod router;

use std::time::Duration;
use std::time::Instant;

use fake::endpoint::Endpoint;
use fake::endpoint::FaultMode;
use fake::endpoint::STREAM_EVENTS;
use fake::endpoint::event_text;
use http::StatusCode;
use tokio::task::JoinSet;
use tokio::time;

use crate::router::Platform;
use crate::router::Router;
use crate::router::call;
use crate::router::configuration;
use crate::router::get;
use crate::router::request_with_key;
use crate::router::wait_for;

/// The memory of the smallest instance, in KiB.
const INSTANCE_KIB: u64 = 88 << 10;

/// Starts a router and runners of which the first one has a fault.
async fn start(
    test: &str,
    service: &str,
    fault: FaultMode,
    sound: usize,
) -> (Platform, Router, Vec<Endpoint>) {
    let platform = Platform::start(test).await;
    platform.configure(&configuration(1));
    let runners = platform.runners(service, 1 + sound).await;
    runners[0].set_fault_mode(fault);
    let router = platform.router("router-1").await;
    router.wait_for_runners(1 + sound).await;
    (platform, router, runners)
}

fn complete_stream() -> String {
    (1..=STREAM_EVENTS).map(event_text).collect()
}

/// Sends streams until the faulty runner has received one, and returns the answer to that.
async fn stream_at(runner: &Endpoint, router: &Router, path: &str) -> router::Answer {
    for number in 0..100 {
        let answer = router.call(request_with_key("POST", path, &format!("s-{number}"))).await;
        if !runner.requests().is_empty() {
            return answer;
        }
    }
    panic!("the runner received no request");
}

#[tokio::test]
async fn a_stream_that_ends_with_its_connection_is_passed_on_whole() {
    for path in ["/stream/x", "/once/stream/x"] {
        let (_platform, router, runners) =
            start("unframed", "engines", FaultMode::Unframed, 0).await;
        let answer = stream_at(&runners[0], &router, path).await;
        assert_eq!(answer.body, complete_stream(), "{path}");
        assert!(answer.is_complete, "{path}");
    }
}

#[tokio::test]
async fn a_stream_that_ends_inside_an_event_does_not_look_complete() {
    let fault = FaultMode::UnframedTruncatedAt(4);
    for path in ["/stream/x", "/once/stream/x"] {
        let (_platform, router, runners) = start("inside-event", "engines", fault, 0).await;
        let answer = stream_at(&runners[0], &router, path).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(!answer.is_complete, "{path}");
    }
}

#[tokio::test]
async fn a_stream_that_ends_with_its_connection_before_any_data_does_not_look_complete() {
    let fault = FaultMode::UnframedTruncatedAt(0);
    for path in ["/stream/x", "/once/stream/x"] {
        let (_platform, router, runners) = start("no-data", "engines", fault, 0).await;
        let answer = stream_at(&runners[0], &router, path).await;
        assert!(!answer.is_complete, "{path}");
        wait_for(|| router.first_line("attempt_broken")).await;
    }
}

#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_resumed_where_that_is_allowed() {
    let fault = FaultMode::UnframedTruncatedAt(4);
    let (_platform, router, runners) = start("inside-event-resumed", "engines", fault, 1).await;
    let answer = stream_at(&runners[0], &router, "/stream/x").await;
    assert_eq!(answer.body, complete_stream());
    assert!(answer.is_complete);
}

#[tokio::test]
async fn a_stream_that_stalls_with_a_byte_now_and_then_is_resumed_where_that_is_allowed() {
    let (_platform, router, runners) =
        start("stalled", "engines", FaultMode::StalledAt(4), 1).await;
    let answer = stream_at(&runners[0], &router, "/stream/x").await;
    assert_eq!(answer.body, complete_stream());
    assert!(answer.is_complete);
}

#[tokio::test]
async fn a_stream_that_stalls_with_a_byte_now_and_then_ends_at_its_deadline() {
    let (_platform, router, runners) =
        start("stalled-once", "engines", FaultMode::StalledAt(4), 0).await;
    let start = Instant::now();
    let answer = stream_at(&runners[0], &router, "/once/stream/x").await;
    assert!(!answer.is_complete);
    assert!(start.elapsed() < Duration::from_millis(3_500), "{:?}", start.elapsed());
}

#[tokio::test]
async fn a_slow_stream_is_not_cut_while_no_other_runner_can_resume_it() {
    for path in ["/stream/x", "/once/stream/x"] {
        let (_platform, router, runners) =
            start("slow-stream", "engines", FaultMode::PausedAt(4), 0).await;
        let answer = stream_at(&runners[0], &router, path).await;
        assert_eq!(answer.body, complete_stream(), "{path}");
        assert!(answer.is_complete, "{path}");
    }
}

#[tokio::test]
async fn a_rejection_whose_body_has_no_end_does_not_hold_the_request() {
    let (_platform, router, runners) =
        start("endless-rejection", "ledger", FaultMode::EndlessRejection, 1).await;
    let start = Instant::now();
    for number in 0..20 {
        let answer = router.call(get("/unsafe/", &format!("r-{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert!(!runners[0].requests().is_empty(), "the faulty runner received no request");
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
}

/// Sends many requests at once to a runner whose answers have no end; returns the peak memory of the router in KiB.
async fn peak_memory(test: &str, service: &str, path: &'static str, fault: FaultMode) -> u64 {
    let (_platform, router, _runners) = start(test, service, fault, 0).await;
    let mut calls = JoinSet::new();
    for number in 0..60 {
        let request = request_with_key("POST", path, &format!("r-{number}"));
        calls.spawn(call(router.callers, request));
    }
    while let Some(answer) = calls.join_next().await {
        let answer = answer.expect("no call panics");
        let is_success = answer.status == StatusCode::OK && answer.is_complete;
        assert!(!is_success, "an answer without an end became a success");
    }
    router.peak_memory_kib()
}

#[tokio::test]
async fn many_answers_without_an_end_fit_the_memory_of_the_smallest_instance() {
    for (test, service, path, fault) in [
        ("endless-body", "ledger", "/unsafe/", FaultMode::EndlessBody),
        ("endless-head", "ledger", "/unsafe/", FaultMode::EndlessHead),
        ("endless-event", "engines", "/stream/x", FaultMode::EndlessBody),
    ] {
        let peak = peak_memory(test, service, path, fault).await;
        assert!(peak < INSTANCE_KIB, "{test}: {peak} KiB");
    }
}

/// Sends requests to a runner that sends late answers on kept connections; none may get another's or run unsaid.
async fn assert_late_answers_are_ignored(test: &str, fault: FaultMode) {
    let (_platform, router, runners) = start(test, "ledger", fault, 0).await;
    for number in 0..6 {
        let id = format!("unsafe-{number}");
        let before = runners[0].execution_count();
        let answer = router.call(get("/unsafe/", &id)).await;
        let executions = runners[0].execution_count() - before;
        match answer.status {
            StatusCode::OK => assert_eq!((answer.body, executions), (id.into(), 1)),
            StatusCode::BAD_GATEWAY => assert_eq!(executions, 1),
            status => assert_eq!((status, executions), (StatusCode::SERVICE_UNAVAILABLE, 0)),
        }
    }
}

#[tokio::test]
async fn a_late_second_copy_of_an_answer_reaches_no_other_caller() {
    assert_late_answers_are_ignored("late-copies", FaultMode::LateCopies).await;
}

#[tokio::test]
async fn a_late_rejection_of_an_earlier_request_is_not_taken_for_that_of_the_next() {
    assert_late_answers_are_ignored("late-rejections", FaultMode::LateRejections).await;
}

/// Guards against a rejection that a runner writes again being taken for that of a request which runs.
#[tokio::test]
async fn a_request_gets_its_own_answer_after_an_earlier_rejection_is_written_again() {
    let fault = FaultMode::RepeatedRejections;
    let (_platform, router, runners) = start("repeated-rejections", "ledger", fault, 0).await;
    for number in 0..20 {
        let id = format!("r-{number}");
        let answer = router.call(get("/unsafe/", &id)).await;
        // The first request on each connection is rejected.
        let is_run = runners[0].requests().last().is_some_and(|request| request.is_executed);
        let expected = if is_run { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        assert_eq!(answer.status, expected, "{id}");
        assert!(!is_run || answer.body == id, "{id}: {:?}", answer.body);
    }
    assert!(runners[0].execution_count() > 15, "{}", runners[0].execution_count());
}

/// Sends streams to runners of which the first one breaks off and the other one has a fault; checks each answer.
async fn assert_no_foreign_bytes(test: &str, path: &str, second: FaultMode) {
    let (_platform, router, runners) =
        start(test, "engines", FaultMode::UnframedTruncatedAt(4), 1).await;
    runners[1].set_fault_mode(second);
    let whole = complete_stream();
    for number in 0..4 {
        let request = request_with_key("POST", path, &format!("s-{number}"));
        let answer = router.call(request).await;
        if answer.status != StatusCode::OK {
            continue;
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(whole.starts_with(&text), "{second:?} at {path}: {text:?}");
        assert!(
            !answer.is_complete || text == whole,
            "{second:?} at {path} looks complete: {text:?}"
        );
        // A runner that was blocked is tried again.
        time::sleep(Duration::from_millis(450)).await;
    }
    assert!(runners.iter().all(|runner| !runner.requests().is_empty()), "{second:?} at {path}");
}

/// Guards against the text of an error, or its whole head, in the middle of a caller's stream.
#[tokio::test]
async fn a_stream_that_goes_on_at_a_faulty_runner_has_no_bytes_that_are_not_its_own() {
    for (number, second) in [
        FaultMode::ErrorAt(6),
        FaultMode::ErrorAt(5),
        FaultMode::ErrorAt(STREAM_EVENTS + 1),
        FaultMode::PlainText,
        FaultMode::Garbage,
        FaultMode::UnframedTruncatedAt(6),
        FaultMode::InternalError,
        FaultMode::Busy,
    ]
    .into_iter()
    .enumerate()
    {
        for path in ["/stream/x", "/once/stream/x"] {
            assert_no_foreign_bytes(&format!("foreign-{number}"), path, second).await;
        }
    }
}
