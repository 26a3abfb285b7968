//! Routers on the platform, as real processes against stand-ins of its store and runners.

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
use crate::router::PATIENCE;
use crate::router::Platform;
use crate::router::call;
use crate::router::configuration;
use crate::router::get;
use crate::router::keyed;
use crate::router::request;
use crate::router::until;

/// Returns the text of a whole stream.
fn whole_stream() -> String {
    (1..=STREAM_EVENTS).map(event_text).collect()
}

#[tokio::test]
async fn a_request_and_its_answer_pass_unchanged() {
    let platform = Platform::start("unchanged").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.settled(1).await;
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
async fn what_no_configuration_allows_is_denied_and_nothing_is_before_there_is_one() {
    let platform = Platform::start("denied").await;
    let runners = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    let early = router.call(get("/safe/", "r-0")).await;
    assert_eq!(early.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(early.headers.contains_key("retry-after"));
    assert_eq!(call(router.ready, get("/ready", "r-0")).await.status.as_u16(), 503);
    platform.configure(&configuration(1));
    router.settled(1).await;
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
async fn an_unsafe_request_that_a_runner_turns_away_runs_once_at_another() {
    let platform = Platform::start("turned-away").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    runners[0].set_fault_mode(FaultMode::Busy);
    let router = platform.router("router-1").await;
    router.settled(2).await;
    for number in 0..6 {
        let answer = router.call(get("/unsafe/", &format!("r-{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(runners[0].execution_count(), 0);
    assert_eq!(runners[1].execution_count(), 6);
}

#[tokio::test]
async fn an_unsafe_request_whose_answer_is_lost_is_not_sent_again_and_not_called_not_run() {
    let platform = Platform::start("lost").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    for runner in &runners {
        runner.set_fault_mode(FaultMode::Disconnected);
    }
    let router = platform.router("router-1").await;
    router.settled(2).await;
    let answer = router.call(get("/unsafe/", "r-1")).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(runners[0].execution_count() + runners[1].execution_count(), 1);
}

#[tokio::test]
async fn a_safe_request_is_sent_again_where_its_answer_was_lost_or_is_no_answer() {
    for (name, mood) in [
        ("again-breaking", FaultMode::Disconnected),
        ("again-crossed", FaultMode::WrongRequestId),
        ("again-unsealed", FaultMode::MissingSeal),
        ("again-failing", FaultMode::InternalError),
    ] {
        let platform = Platform::start(name).await;
        platform.configure(&configuration(1));
        let runners = platform.runners("ledger", 2).await;
        runners[0].set_fault_mode(mood);
        let router = platform.router("router-1").await;
        router.settled(2).await;
        for number in 0..4 {
            let answer = router.call(get("/safe/", &format!("r-{number}"))).await;
            assert_eq!(answer.status, StatusCode::OK, "{mood:?}");
            assert_eq!(answer.body, "answer of ledger-1", "{mood:?}");
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
    router.settled(1).await;
    let answer = router.call(get("/unsafe/", "r-1")).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(!answer.headers.contains_key("response-seal"));
}

#[tokio::test]
async fn a_stream_that_may_be_resumed_goes_on_behind_its_last_whole_event() {
    let platform = Platform::start("resumed").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("engines", 2).await;
    runners[0].set_fault_mode(FaultMode::TruncatedAt(4));
    let router = platform.router("router-1").await;
    router.settled(2).await;
    let mut resumed = 0;
    for number in 0..6 {
        let answer = router.call(keyed("POST", "/stream/", &format!("r-{number}"))).await;
        assert!(answer.is_whole);
        assert_eq!(answer.body, whole_stream());
        let first = answer.headers["response-seal"].to_str().expect("text").to_owned();
        resumed += usize::from(first == "seal-engines-0");
    }
    assert!(resumed > 0, "no request began at the runner that breaks off");
    let goes_on = runners[1].requests().into_iter().filter_map(|arrival| {
        arrival.headers.get("last-event-id").map(|id| id.to_str().expect("text").to_owned())
    });
    assert!(goes_on.into_iter().all(|id| id == "3"));
}

#[tokio::test]
async fn a_stream_that_may_not_be_repeated_does_not_look_whole_when_it_breaks() {
    let platform = Platform::start("broken-stream").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("engines", 2).await;
    for runner in &runners {
        runner.set_fault_mode(FaultMode::TruncatedAt(4));
    }
    let router = platform.router("router-1").await;
    router.settled(2).await;
    let answer = router.call(keyed("POST", "/once/stream/", "r-1")).await;
    assert!(!answer.is_whole);
    assert_eq!(runners[0].execution_count() + runners[1].execution_count(), 1);
}

#[tokio::test]
async fn a_silent_runner_costs_a_safe_request_no_more_than_half_of_its_time() {
    let platform = Platform::start("silent-runner").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    runners[0].set_fault_mode(FaultMode::Unresponsive);
    let router = platform.router("router-1").await;
    router.settled(2).await;
    for number in 0..2 {
        let begun = Instant::now();
        let answer = router.call(get("/safe/", &format!("r-{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(begun.elapsed() < Duration::from_millis(2_500));
    }
}

#[tokio::test]
async fn a_request_whose_route_has_timed_out_is_answered_at_once() {
    let platform = Platform::start("timeout").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 1).await;
    runners[0].set_fault_mode(FaultMode::Unresponsive);
    let router = platform.router("router-1").await;
    router.settled(1).await;
    let begun = Instant::now();
    let answer = router.call(get("/unsafe/", "r-1")).await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(begun.elapsed() < Duration::from_millis(3_500));
}

#[tokio::test]
async fn a_draining_runner_gets_no_more_requests() {
    let platform = Platform::start("draining").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    let router = platform.router("router-1").await;
    router.settled(2).await;
    platform.list(&runners[0], "ledger", "draining", 2);
    until(|| (router.count("runner") >= 3).then_some(())).await;
    let before = runners[0].execution_count();
    for number in 0..10 {
        router.call(get("/unsafe/", &format!("r-{number}"))).await;
    }
    assert_eq!(runners[0].execution_count(), before);
    assert_eq!(runners[1].execution_count(), 10);
}

#[tokio::test]
async fn records_that_cannot_be_read_disturb_nothing() {
    let platform = Platform::start("unreadable").await;
    platform.configure(&configuration(1));
    platform.store.put("keyed.servers", "bad-1", b"{\"service\":3}");
    platform.store.put("keyed.servers", "bad-2", b"\xff\xfe");
    let runners = platform.runners("ledger", 1).await;
    platform.store.put("keyed.servers", runners[0].id(), b"{}");
    let router = platform.router("router-1").await;
    until(|| (router.count("runner_unreadable") >= 3).then_some(())).await;
    platform.list(&runners[0], "ledger", "ready", 3);
    until(|| router.line("runner")).await;
    platform.store.put("keyed.op", "config", b"not a configuration");
    until(|| router.line("configuration_unreadable")).await;
    assert_eq!(router.call(get("/safe/", "r-1")).await.status, StatusCode::OK);
}

#[tokio::test]
async fn a_key_that_was_taken_away_is_refused_and_an_older_configuration_never_comes_back() {
    let platform = Platform::start("revoked").await;
    platform.configure(&configuration(5));
    let runners = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.settled(1).await;
    assert_eq!(router.call(keyed("GET", "/keyed/", "r-1")).await.status, StatusCode::OK);
    let mut revoked = configuration(6);
    revoked["tenants"][0]["api_keys"] = serde_json::json!(["key-2"]);
    platform.configure(&revoked);
    until(|| (router.count("configuration_adopted") == 2).then_some(())).await;
    platform.configure(&configuration(5));
    platform.store.compact("keyed.op");
    time::sleep(Duration::from_millis(300)).await;
    assert_eq!(router.call(keyed("GET", "/keyed/", "r-2")).await.status, StatusCode::UNAUTHORIZED);
    assert_eq!(runners[0].execution_count(), 1);
}

#[tokio::test]
async fn a_router_that_does_not_hear_of_the_store_serves_no_keys_but_public_routes() {
    let platform = Platform::start("store-away").await;
    platform.configure(&configuration(1));
    let ledger = platform.runners("ledger", 1).await;
    let engines = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.settled(2).await;
    platform.store.set_fault_mode(fake::store::FaultMode::Unresponsive);
    time::sleep(Duration::from_millis(1_600)).await;
    let refused = router.call(keyed("GET", "/keyed/", "r-1")).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(router.call(get("/safe/", "r-2")).await.status, StatusCode::OK);
    platform.store.set_fault_mode(fake::store::FaultMode::Normal);
    let begun = Instant::now();
    while router.call(keyed("GET", "/keyed/", "r-3")).await.status != StatusCode::OK {
        assert!(begun.elapsed() < Duration::from_secs(2), "keys are not served again");
        time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!((ledger[0].execution_count(), engines[0].execution_count()), (1, 1));
}

#[tokio::test]
async fn routers_name_each_other_until_one_leaves() {
    let platform = Platform::start("directory").await;
    platform.configure(&configuration(1));
    let first = platform.router("router-1").await;
    let mut second = platform.router("router-2").await;
    let named = async |router: &router::Router| {
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
    let begun = Instant::now();
    while named(&first).await != both || named(&second).await != both {
        assert!(begun.elapsed() < PATIENCE, "the routers don't know each other");
        time::sleep(Duration::from_millis(50)).await;
    }
    second.signal(Signal::TERM);
    let begun = Instant::now();
    while named(&first).await.len() != 1 {
        assert!(begun.elapsed() < Duration::from_secs(1), "a leaving router is still named");
        time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(second.ended().await, Some(0));
}

#[tokio::test]
async fn a_router_that_is_told_to_end_finishes_its_streams() {
    let platform = Platform::start("ending").await;
    platform.configure(&configuration(1));
    let _engines = platform.runners("engines", 1).await;
    let mut router = platform.router("router-1").await;
    router.settled(1).await;
    let callers = router.callers;
    let stream = call(callers, keyed("POST", "/once/stream/", "r-1"));
    let signal = async {
        time::sleep(Duration::from_millis(60)).await;
        router.signal(Signal::TERM);
    };
    let (answer, ()) = tokio::join!(stream, signal);
    assert!(answer.is_whole);
    assert_eq!(answer.body, whole_stream());
    assert_eq!(call(router.ready, get("/ready", "r-2")).await.status.as_u16(), 503);
    assert_eq!(router.ended().await, Some(0));
    assert!(router.line("stopped").is_some());
}

#[tokio::test]
async fn datagrams_of_strangers_are_ignored() {
    let platform = Platform::start("strangers").await;
    platform.configure(&configuration(1));
    let _ledger = platform.runners("ledger", 1).await;
    let router = platform.router("router-1").await;
    router.settled(1).await;
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for length in [0, 1, 16, 24, 200, 1_400] {
        stranger.send_to(&vec![7; length], router.peers).expect("sent");
    }
    assert_eq!(router.call(get("/safe/", "r-1")).await.status, StatusCode::OK);
    assert_eq!(router.count("router_alive"), 0);
}

#[tokio::test]
async fn metrics_count_what_the_log_says() {
    let platform = Platform::start("metrics").await;
    platform.configure(&configuration(1));
    let _ledger = platform.runners("ledger", 1).await;
    let router = platform.router("router-1").await;
    router.settled(1).await;
    router.call(get("/safe/", "r-1")).await;
    let metrics = call(router.metrics, get("/metrics", "r-2")).await;
    let text = String::from_utf8(metrics.body.to_vec()).expect("text");
    assert!(text.contains("aspenline_events_total{event=\"answered\"} 1"), "{text}");
    assert!(text.contains("aspenline_known_runners 1"), "{text}");
    let line = until(|| router.line("answered")).await;
    assert_eq!(line["request"], "r-1");
    assert_eq!(line["version"], 1);
    assert_eq!(line["sends"], 1);
}

#[tokio::test]
async fn settings_that_are_wrong_end_the_start_with_one_line() {
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
async fn settings_are_read_again_on_a_signal_and_kept_if_they_are_wrong() {
    let platform = Platform::start("reload").await;
    platform.configure(&configuration(1));
    let _ledger = platform.runners("ledger", 1).await;
    let router = platform.router("router-1").await;
    router.settled(1).await;
    router.signal(Signal::HUP);
    until(|| router.line("settings_reloaded")).await;
    drop(platform.command("router-1", "{"));
    router.signal(Signal::HUP);
    until(|| router.line("settings_refused")).await;
    assert_eq!(router.call(get("/safe/", "r-1")).await.status, StatusCode::OK);
}

#[tokio::test]
async fn a_router_whose_position_is_trimmed_reads_anew_and_does_not_take_the_store_for_lost() {
    let platform = Platform::start("trimmed").await;
    platform.configure(&configuration(1));
    let _runners = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.settled(1).await;
    let begun = Instant::now();
    let mut version = 1;
    // A record that is read before it is trimmed leaves the position where it may be read from.
    while router.count("position_trimmed") == 0 {
        assert!(begun.elapsed() < PATIENCE, "no position was trimmed");
        version += 1;
        platform.configure(&configuration(version));
        platform.store.compact("keyed.op");
        time::sleep(Duration::from_millis(50)).await;
    }
    let adopted = format!("\"version\":{version}}}");
    until(|| router.last("configuration_adopted").filter(|line| line.contains(&adopted))).await;
    assert_eq!(router.count("store_lost"), 0);
    assert_eq!(router.call(keyed("POST", "/keyed/", "r-1")).await.status, StatusCode::OK);
}

#[tokio::test]
async fn the_line_of_a_send_names_the_runner_of_a_stream_and_what_decided() {
    let platform = Platform::start("sent").await;
    platform.configure(&configuration(1));
    let _runners = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.settled(1).await;
    let answer = router.call(keyed("POST", "/stream/", "r-1")).await;
    assert_eq!(answer.body, whole_stream());
    let line = until(|| router.line("sent")).await;
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
async fn each_refused_request_keeps_its_line_while_other_events_are_bounded() {
    let platform = Platform::start("bounded").await;
    platform.configure(&configuration(1));
    let router = platform.router("router-1").await;
    until(|| router.line("configuration_adopted")).await;
    let mut calls = JoinSet::new();
    for number in 0..400 {
        calls.spawn(call(router.callers, get("/safe/", &format!("r-{number}"))));
    }
    for answer in calls.join_all().await {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    until(|| (router.count("refused") == 400).then_some(())).await;
    let _runners = platform.runners("ledger", 4).await;
    router.settled(4).await;
    let mut calls = JoinSet::new();
    for number in 0..1_000 {
        calls.spawn(call(router.callers, get("/safe/", &format!("s-{number}"))));
    }
    let begun = Instant::now();
    let answers = calls.join_all().await;
    let seconds = usize::try_from(begun.elapsed().as_secs()).expect("few") + 2;
    assert_eq!(answers.len(), 1_000);
    assert!(router.count("sent") <= 150 * seconds, "{} lines", router.count("sent"));
}
