//! Routers on the platform, as real processes against fakes of its store and runners.

#[path = "common/router.rs"]
mod router;

use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use fake::endpoint::FaultMode;
use fake::endpoint::STREAM_EVENTS;
use fake::endpoint::event_text;
use http::StatusCode;
use http_body_util::Full;
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time;

use crate::router::HOST;
use crate::router::Platform;
use crate::router::WAIT_TIMEOUT;
use crate::router::call;
use crate::router::configuration;
use crate::router::get;
use crate::router::request;
use crate::router::request_with_key;
use crate::router::wait_for;

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

#[tokio::test]
async fn a_draining_runner_receives_no_further_requests() {
    let platform = Platform::start("draining").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    platform.list_runner(&runners[0], "ledger", "draining", 2);
    wait_for(|| (router.count("runner") >= 3).then_some(())).await;
    let before = runners[0].execution_count();
    for number in 0..10 {
        router.call(get("/unsafe/", &format!("r-{number}"))).await;
    }
    assert_eq!(runners[0].execution_count(), before);
    assert_eq!(runners[1].execution_count(), 10);
}

#[tokio::test]
async fn unreadable_records_do_not_affect_requests() {
    let platform = Platform::start("unreadable").await;
    platform.configure(&configuration(1));
    platform.store.put("keyed.servers", "bad-1", b"{\"service\":3}");
    platform.store.put("keyed.servers", "bad-2", b"\xff\xfe");
    let runners = platform.runners("ledger", 1).await;
    platform.store.put("keyed.servers", runners[0].id(), b"{}");
    let router = platform.router("router-1").await;
    wait_for(|| (router.count("runner_unreadable") >= 3).then_some(())).await;
    platform.list_runner(&runners[0], "ledger", "ready", 3);
    wait_for(|| router.first_line("runner")).await;
    platform.store.put("keyed.op", "config", b"not a configuration");
    wait_for(|| router.first_line("configuration_unreadable")).await;
    assert_eq!(router.call(get("/safe/", "r-1")).await.status, StatusCode::OK);
}

#[tokio::test]
async fn a_revoked_key_is_refused_and_an_older_configuration_is_never_adopted() {
    let platform = Platform::start("revoked").await;
    platform.configure(&configuration(5));
    let runners = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    assert_eq!(router.call(request_with_key("GET", "/keyed/", "r-1")).await.status, StatusCode::OK);
    let mut revoked = configuration(6);
    revoked["tenants"][0]["api_keys"] = serde_json::json!(["key-2"]);
    platform.configure(&revoked);
    wait_for(|| (router.count("configuration_adopted") == 2).then_some(())).await;
    platform.configure(&configuration(5));
    platform.store.compact("keyed.op");
    time::sleep(Duration::from_millis(300)).await;
    assert_eq!(
        router.call(request_with_key("GET", "/keyed/", "r-2")).await.status,
        StatusCode::UNAUTHORIZED
    );
    assert_eq!(runners[0].execution_count(), 1);
}

#[tokio::test]
async fn a_router_without_contact_to_the_store_serves_only_public_routes() {
    let platform = Platform::start("store-away").await;
    platform.configure(&configuration(1));
    let ledger = platform.runners("ledger", 1).await;
    let engines = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    platform.store.set_fault_mode(fake::store::FaultMode::Unresponsive);
    time::sleep(Duration::from_millis(1_600)).await;
    let refused = router.call(request_with_key("GET", "/keyed/", "r-1")).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(router.call(get("/safe/", "r-2")).await.status, StatusCode::OK);
    platform.store.set_fault_mode(fake::store::FaultMode::Normal);
    let start = Instant::now();
    while router.call(request_with_key("GET", "/keyed/", "r-3")).await.status != StatusCode::OK {
        assert!(
            start.elapsed() < Duration::from_secs(2),
            "requests with keys are not served again"
        );
        time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!((ledger[0].execution_count(), engines[0].execution_count()), (1, 1));
}

#[tokio::test]
async fn the_directory_lists_both_routers_until_one_leaves() {
    let platform = Platform::start("directory").await;
    platform.configure(&configuration(1));
    let first = platform.router("router-1").await;
    let mut second = platform.router("router-2").await;
    let listed_addresses = async |router: &router::Router| {
        let path = format!("/resolve?name={HOST}&region=north&zone=north");
        let answer = call(router.directory, get(&path, "r-1")).await;
        let answer: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let addresses = answer["addresses"].as_array().cloned().unwrap_or_default();
        let mut addresses: Vec<String> =
            addresses.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect();
        addresses.sort();
        addresses
    };
    let mut both = vec![first.callers.to_string(), second.callers.to_string()];
    both.sort();
    let start = Instant::now();
    while listed_addresses(&first).await != both || listed_addresses(&second).await != both {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the directories do not list both routers");
        time::sleep(Duration::from_millis(50)).await;
    }
    second.signal(Signal::TERM);
    let start = Instant::now();
    while listed_addresses(&first).await.len() != 1 {
        assert!(start.elapsed() < Duration::from_secs(1), "a leaving router is still listed");
        time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(second.wait_for_exit().await, Some(0));
}

#[tokio::test]
async fn a_router_that_is_told_to_terminate_finishes_its_streams() {
    let platform = Platform::start("ending").await;
    platform.configure(&configuration(1));
    let _engines = platform.runners("engines", 1).await;
    let mut router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    let callers = router.callers;
    let stream = call(callers, request_with_key("POST", "/once/stream/", "r-1"));
    let signal = async {
        time::sleep(Duration::from_millis(60)).await;
        router.signal(Signal::TERM);
    };
    let (answer, ()) = tokio::join!(stream, signal);
    assert!(answer.is_complete);
    assert_eq!(answer.body, complete_stream());
    assert_eq!(call(router.ready, get("/ready", "r-2")).await.status.as_u16(), 503);
    assert_eq!(router.wait_for_exit().await, Some(0));
    assert!(router.first_line("stopped").is_some());
}

#[tokio::test]
async fn datagrams_of_unknown_senders_are_ignored() {
    let platform = Platform::start("strangers").await;
    platform.configure(&configuration(1));
    let _ledger = platform.runners("ledger", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for length in [0, 1, 16, 24, 200, 1_400] {
        unknown_sender.send_to(&vec![7; length], router.peers).expect("sent");
    }
    assert_eq!(router.call(get("/safe/", "r-1")).await.status, StatusCode::OK);
    assert_eq!(router.count("router_alive"), 0);
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
async fn a_router_whose_position_is_trimmed_rereads_the_store_and_does_not_report_it_as_lost() {
    let platform = Platform::start("trimmed").await;
    platform.configure(&configuration(1));
    let _runners = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    let start = Instant::now();
    let mut version = 1;
    // A record that is read before it is trimmed leaves the router at a readable position, so the loop tries again.
    while router.count("position_trimmed") == 0 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the router reported no trimmed position");
        version += 1;
        platform.configure(&configuration(version));
        platform.store.compact("keyed.op");
        time::sleep(Duration::from_millis(50)).await;
    }
    let adopted = format!("\"version\":{version}}}");
    wait_for(|| router.last("configuration_adopted").filter(|line| line.contains(&adopted))).await;
    assert_eq!(router.count("store_lost"), 0);
    assert_eq!(
        router.call(request_with_key("POST", "/keyed/", "r-1")).await.status,
        StatusCode::OK
    );
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

#[tokio::test]
async fn routers_of_different_zones_learn_of_each_other_through_the_sums_of_their_zones() {
    let platform = Platform::start("zones").await;
    platform.configure(&configuration(1));
    let _runners = platform.runners("engines", 1).await;
    let mut routers = Vec::new();
    for (name, zone) in [("n-1", "north"), ("n-2", "north"), ("s-1", "south"), ("s-2", "south")] {
        routers.push(platform.router_in(name, zone).await);
    }
    for router in &routers {
        router.wait_for_runners(1).await;
    }
    for router in &routers {
        let mut named = 0;
        let start = Instant::now();
        while named < routers.len() && start.elapsed() < WAIT_TIMEOUT {
            let answer = call(router.directory, get("/resolve", "r-1")).await;
            let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            named = body["addresses"].as_array().map_or(0, Vec::len);
            time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(named, routers.len());
    }
    let aggregators = routers.iter().filter(|router| router.count("aggregator") > 0).count();
    assert!(aggregators >= 2, "{aggregators}");
}

#[tokio::test]
async fn a_router_that_the_store_rejects_learns_of_changes_from_a_router_that_it_serves() {
    let platform = Platform::start("rejected").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("engines", 2).await;
    let entrance = platform.store.open_entrance().await.expect("an entrance");
    let _served = platform.router("served").await;
    let mut settings = platform.settings("rejected");
    settings["store"] = entrance.address().to_string().into();
    let rejected = platform.router_with("rejected", &settings).await;
    rejected.wait_for_runners(2).await;
    wait_for(|| (rejected.count("router_alive") > 0).then_some(())).await;
    entrance.set_fault_mode(fake::store::FaultMode::Unavailable);
    wait_for(|| (rejected.count("store_lost") >= 2).then_some(())).await;
    platform.configure(&configuration(2));
    platform.list_runner(&runners[0], "engines", "draining", 2);
    let changed = Instant::now();
    wait_for(|| (rejected.count("configuration_adopted") == 2).then_some(())).await;
    wait_for(|| rejected.last("runner").filter(|line| line.contains("draining"))).await;
    assert!(changed.elapsed() < Duration::from_secs(2), "after {:?}", changed.elapsed());
    for number in 0..6 {
        let request = request_with_key("GET", "/keyed/", &format!("r-{number}"));
        assert_eq!(rejected.call(request).await.status, StatusCode::OK);
    }
    assert_eq!(runners[0].execution_count(), 0);
    assert!(rejected.count("records_fetched") > 0);
    assert_eq!(rejected.count("store_regained"), 0);
}
