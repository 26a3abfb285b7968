//! Settings, signals, metrics and log lines of a router process.

#[path = "common/router.rs"]
mod router;

use std::io::BufRead;
use std::io::BufReader;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use fake::endpoint::FaultMode;
use fake::endpoint::STREAM_EVENTS;
use fake::endpoint::event_text;
use http::StatusCode;
use rustix::process::Signal;
use tokio::task::JoinSet;

use crate::router::Platform;
use crate::router::call;
use crate::router::configuration;
use crate::router::get;
use crate::router::request_with_key;
use crate::router::try_call;
use crate::router::wait_for;

/// Returns the text of a complete stream.
fn complete_stream() -> String {
    (1..=STREAM_EVENTS).map(event_text).collect()
}

#[tokio::test]
async fn metrics_agree_with_the_log() {
    let platform = Platform::start("metrics").await;
    platform.configure(&configuration(1));
    let _ledger = platform.runners("ledger", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    router.call(get("/safe/", "r-1")).await;
    let metrics = call(router.metrics, get("/metrics", "r-2")).await;
    let text = String::from_utf8(metrics.body.to_vec()).expect("text");
    assert!(text.contains("aspenline_events_total{event=\"answered\"} 1"), "{text}");
    assert!(text.contains("aspenline_known_runners 1"), "{text}");
    let line = wait_for(|| router.first_line("answered")).await;
    assert_eq!(line["request"], "r-1");
    assert_eq!(line["version"], 1);
    assert_eq!(line["sends"], 1);
}

#[tokio::test]
async fn invalid_settings_stop_the_start_with_one_line_on_standard_error() {
    let platform = Platform::start("wrong-settings").await;
    let mut settings = platform.settings("router-1");
    settings["bounds"]["retry_ratio"] = serde_json::json!(-1);
    for text in [settings.to_string(), "{".to_owned(), "{\"nam\": 1}".to_owned()] {
        let output = platform.command("router-1", &text).output().expect("the program runs");
        assert_eq!(output.status.code(), Some(2));
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(error.trim().lines().count(), 1, "{error}");
    }
}

#[tokio::test]
async fn a_signal_reloads_the_settings_and_invalid_ones_are_rejected() {
    let platform = Platform::start("reload").await;
    platform.configure(&configuration(1));
    let _ledger = platform.runners("ledger", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    router.signal(Signal::HUP);
    wait_for(|| router.first_line("settings_reloaded")).await;
    drop(platform.command("router-1", "{"));
    router.signal(Signal::HUP);
    wait_for(|| router.first_line("settings_refused")).await;
    assert_eq!(router.call(get("/safe/", "r-1")).await.status, StatusCode::OK);
}

#[tokio::test]
async fn the_log_line_of_an_attempt_names_its_runner_and_the_inputs_of_the_decision() {
    let platform = Platform::start("sent").await;
    platform.configure(&configuration(1));
    let _runners = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    let answer = router.call(request_with_key("POST", "/stream/", "r-1")).await;
    assert_eq!(answer.body, complete_stream());
    let line = wait_for(|| router.first_line("sent")).await;
    assert_eq!(
        (line["request"].as_str(), line["subject"].as_str()),
        (Some("r-1"), Some("engines-0"))
    );
    assert_eq!(
        (line["route"].as_str(), line["workspace"].as_str()),
        (Some("stream"), Some("wall"))
    );
    assert_eq!(line["version"].as_u64(), Some(1));
    assert!(line["age_ms"].as_u64().is_some_and(|age| age < 5_000), "{line}");
}

#[tokio::test]
async fn each_refused_request_is_logged_while_other_events_are_rate_limited() {
    let platform = Platform::start("bounded").await;
    platform.configure(&configuration(1));
    let router = platform.router("router-1").await;
    wait_for(|| router.first_line("configuration_adopted")).await;
    let mut calls = JoinSet::new();
    for number in 0..400 {
        calls.spawn(call(router.callers, get("/safe/", &format!("r-{number}"))));
    }
    for answer in calls.join_all().await {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    wait_for(|| (router.count("refused") == 400).then_some(())).await;
    let _runners = platform.runners("ledger", 4).await;
    router.wait_for_runners(4).await;
    let mut calls = JoinSet::new();
    for number in 0..1_000 {
        calls.spawn(call(router.callers, get("/safe/", &format!("s-{number}"))));
    }
    let start = Instant::now();
    let answers = calls.join_all().await;
    let seconds = usize::try_from(start.elapsed().as_secs()).expect("few") + 2;
    assert_eq!(answers.len(), 1_000);
    assert!(router.count("sent") <= 150 * seconds, "{} lines", router.count("sent"));
}

/// Sends requests on new connections, one after the other, until the router accepts none; returns how many were cut.
async fn call_until_closed(address: std::net::SocketAddr, caller: usize) -> usize {
    let mut cut = 0;
    for number in 0..100_000 {
        let request = get("/safe/", &format!("r-{caller}-{number}"));
        match try_call(address, request).await {
            Ok(answer) => cut += usize::from(!answer.is_complete),
            Err(router::CallError::NotConnected) => break,
            Err(router::CallError::NoAnswer) => cut += 1,
        }
    }
    cut
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_under_load_cuts_no_request_on_a_connection_that_was_accepted() {
    let platform = Platform::start("planned-stop").await;
    platform.configure(&configuration(1));
    let _ledger = platform.runners("ledger", 4).await;
    let mut router = platform.router("router-1").await;
    router.wait_for_runners(4).await;
    let mut callers = JoinSet::new();
    for caller in 0..48 {
        callers.spawn(call_until_closed(router.callers, caller));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    router.signal(Signal::TERM);
    assert_eq!(router.wait_for_exit().await, Some(0));
    let cut: usize = callers.join_all().await.into_iter().sum();
    assert_eq!(cut, 0, "requests without a complete answer");
}

/// Guards against requests that are taken while the process leaves, and cut without an answer at the end of its grace.
#[tokio::test]
async fn requests_whose_runner_is_silent_are_answered_at_the_end_of_the_grace() {
    let platform = Platform::start("end-of-grace").await;
    let mut configured = configuration(1);
    for route in configured["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = serde_json::json!(20_000);
    }
    platform.configure(&configured);
    let runners = platform.runners("ledger", 1).await;
    runners[0].set_fault_mode(FaultMode::Unresponsive);
    let mut router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    let long = |path: &str, id: &str| {
        let mut request = get(path, id);
        request.headers_mut().insert("deadline-ms", "20000".parse().expect("a header value"));
        request
    };
    let mut calls = JoinSet::new();
    calls.spawn(try_call(router.callers, long("/unsafe/x", "before")));
    wait_for(|| (runners[0].execution_count() == 1).then_some(())).await;
    router.signal(Signal::TERM);
    let start = Instant::now();
    wait_for(|| router.first_line("leaving")).await;
    for number in 0..8 {
        let path = ["/unsafe/x", "/safe/x"][number % 2];
        calls.spawn(try_call(router.callers, long(path, &format!("after-{number}"))));
        tokio::time::sleep(Duration::from_millis(80)).await;
    }
    while let Some(called) = calls.join_next().await {
        let answer = called.expect("no call panics").expect("an answer");
        let is_executed = matches!(answer.status.as_u16(), 502 | 504);
        assert!(
            is_executed || answer.status == StatusCode::SERVICE_UNAVAILABLE,
            "{}",
            answer.status
        );
        assert!(answer.is_complete);
    }
    assert_eq!(router.wait_for_exit().await, Some(0));
    assert!(start.elapsed() < Duration::from_secs(4), "longer than the grace");
}

/// Guards against a process that stays after its grace since nobody reads its standard output.
#[tokio::test]
async fn a_process_whose_output_nobody_reads_ends_within_its_grace() {
    let platform = Platform::start("unread-output").await;
    platform.configure(&configuration(1));
    let settings = platform.settings("router-1").to_string();
    let mut command = platform.command("router-1", &settings);
    let mut child = command.stdout(Stdio::piped()).spawn().expect("the router starts");
    let mut output = BufReader::new(child.stdout.take().expect("standard output is piped"));
    let mut started = String::new();
    while !started.contains("\"event\":\"started\"") {
        started.clear();
        output.read_line(&mut started).expect("a line");
    }
    let callers = router::address(&started, "callers");
    // Each request writes a line, and the pipe holds 64 KiB.
    for number in 0..1_000 {
        call(callers, get("/none/", &format!("r-{number}"))).await;
    }
    let id = i32::try_from(child.id()).ok().and_then(rustix::process::Pid::from_raw);
    rustix::process::kill_process(id.expect("a process id"), Signal::TERM).expect("it runs");
    let start = Instant::now();
    let ended = loop {
        let ended = child.try_wait().expect("the status of the process can be read");
        if ended.is_some() || start.elapsed() > Duration::from_secs(4) {
            break ended;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    drop(child.kill());
    drop(child.wait());
    drop(output);
    assert_eq!(ended.and_then(|status| status.code()), Some(0), "still there after its grace");
}
