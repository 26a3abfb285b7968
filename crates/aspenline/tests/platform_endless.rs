//! Runners that write without an end, in each part of an answer, beside sound ones, against fakes of the store and the
//! runners.

#[path = "common/router.rs"]
mod router;

use std::time::Duration;
use std::time::Instant;

use fake::endpoint::End;
use fake::endpoint::Endpoint;
use fake::endpoint::FaultMode;
use fake::endpoint::Written;
use http::StatusCode;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time;

use crate::router::Platform;
use crate::router::Router;
use crate::router::configuration;
use crate::router::get;
use crate::router::request_with_key;
use crate::router::try_call;

/// The memory of the smallest instance, in MiB.
const INSTANCE_MIB: u64 = 88;
/// The time for which callers send requests.
const PRESSED_FOR: Duration = Duration::from_millis(1_500);
/// The target of the routes, within which an ordinary request is answered.
const TARGET: Duration = Duration::from_millis(1_000);
/// The size of the larger ordinary answers, in bytes.
const ANSWER_BYTES: usize = 200_000;
/// Callers of the sound runners.
const ORDINARY_CALLERS: usize = 6;

/// The head of a success without its empty line.
macro_rules! head {
    ($($rest:expr),*) => {
        concat!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: seal\r\n", $($rest),*)
    };
}

/// The head of a success whose body comes in chunks.
macro_rules! chunked {
    ($($rest:expr),*) => {
        head!("transfer-encoding: chunked\r\n\r\n" $(, $rest)*)
    };
}

const fn endless(begin: &'static str, repeated: &'static str) -> Written {
    Written { begin, repeated, end: End::Hold }
}

/// Starts a router of the smallest instance, one sound runner and some that write without an end.
async fn start(test: &str, faulty: usize, written: Written) -> (Platform, Router, Vec<Endpoint>) {
    let platform = Platform::start(test).await;
    platform.configure(&configuration(1));
    let mut runners = platform.runners("engines", faulty).await;
    for runner in &runners {
        runner.set_fault_mode(FaultMode::Written(written));
    }
    runners.extend(platform.runners("ledger", 1).await);
    runners[faulty].set_answer_bytes(ANSWER_BYTES);
    let mut settings = platform.settings("router-1");
    settings["memory_mb"] = json!(INSTANCE_MIB);
    let router = platform.router_with("router-1", &settings).await;
    router.wait_for_runners(faulty + 1).await;
    (platform, router, runners)
}

/// Sends requests to the faulty runners from many callers until a time.
fn press(
    calls: &mut JoinSet<()>,
    router: &Router,
    path: &'static str,
    callers: usize,
    until: Instant,
) {
    for number in 0..callers {
        let address = router.callers;
        calls.spawn(async move {
            let mut turn = 0;
            while Instant::now() < until {
                let request = request_with_key("POST", path, &format!("f{number}-{turn}"));
                drop(time::timeout(PRESSED_FOR, try_call(address, request)).await);
                turn += 1;
            }
        });
    }
}

/// Sends ordinary requests one after the other until a time; returns what went wrong and the longest time of one.
async fn ordinary(
    address: std::net::SocketAddr,
    number: usize,
    until: Instant,
) -> (Vec<String>, Duration) {
    let (mut wrong, mut longest, mut turn) = (Vec::new(), Duration::ZERO, 0);
    while Instant::now() < until {
        turn += 1;
        let path = if number.is_multiple_of(2) { "/unsafe/x" } else { "/unsafe/large/x" };
        let start = Instant::now();
        let answer = try_call(address, get(path, &format!("o{number}-{turn}"))).await;
        longest = longest.max(start.elapsed());
        match answer {
            Ok(answer) if answer.status == StatusCode::OK && answer.is_complete => (),
            Ok(answer) => wrong.push(format!("{path}: {}", answer.status)),
            Err(error) => wrong.push(format!("{path}: {error:?}")),
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    (wrong, longest)
}

/// Checks the ordinary requests and the memory beside runners that write without an end.
async fn check(
    test: &str,
    path: &'static str,
    callers: usize,
    faulty: usize,
    written: Written,
) -> Vec<String> {
    let (_platform, mut router, runners) = start(test, faulty, written).await;
    let until = Instant::now() + PRESSED_FOR;
    let mut calls = JoinSet::new();
    press(&mut calls, &router, path, callers, until);
    let mut callers = JoinSet::new();
    for number in 0..ORDINARY_CALLERS {
        callers.spawn(ordinary(router.callers, number, until));
    }
    let mut faults = Vec::new();
    let mut longest = Duration::ZERO;
    while let Some(ended) = callers.join_next().await {
        let (wrong, time) = ended.expect("no caller panics");
        longest = longest.max(time);
        faults.extend(wrong);
    }
    let count = faults.len();
    faults.truncate(2);
    if count > 2 {
        faults.push(format!("{count} in all"));
    }
    if longest > TARGET {
        faults.push(format!("an ordinary request took {longest:?}"));
    }
    if !router.is_running() {
        faults.push("the router has ended".to_owned());
    } else if router.peak_memory_kib() > INSTANCE_MIB << 10 {
        faults.push(format!("{} KiB", router.peak_memory_kib()));
    }
    assert!(!runners[0].requests().is_empty(), "the faulty runner received no request");
    faults.into_iter().map(|fault| format!("{test}, {written:?}: {fault}")).collect()
}

/// Checks each case at a plain route and at one of streams, with one caller and with many at once.
async fn check_all(cases: &[(&str, Written)]) {
    let mut faults = Vec::new();
    for (name, written) in cases {
        for path in ["/keyed/x", "/stream/x"] {
            for (callers, faulty) in [(1, 1), (40, 3)] {
                let test = format!("endless-{name}-{}-{callers}", path.replace('/', ""));
                faults.extend(check(&test, path, callers, faulty, *written).await);
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against a head or interim answers without an end that keep the processor from ordinary requests.
#[tokio::test]
async fn ordinary_requests_are_served_beside_heads_without_an_end() {
    check_all(&[
        ("status", endless("HTTP/1.1 200 ", "x")),
        ("interim", endless("", "HTTP/1.1 100 Continue\r\n\r\n")),
        ("hints", endless("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n")),
        ("headers", endless(head!(), "x-a: b\r\n")),
        ("lines", endless("", "\r\n")),
        ("garbage", endless("", "\u{16}")),
    ])
    .await;
}

/// Guards against framing of chunks without an end that keeps the processor from ordinary requests.
#[tokio::test]
async fn ordinary_requests_are_served_beside_chunks_without_an_end() {
    check_all(&[
        ("size", endless(chunked!(), "0")),
        ("size-space", endless(chunked!("1"), " ")),
        ("extension", endless(chunked!("1;"), "x")),
        ("extensions", endless(chunked!(), "1;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n\n\r\n")),
        ("chunks", endless(chunked!(), "1\r\nx\r\n")),
        ("trailers", endless(chunked!("0\r\n"), "x-a: b\r\n")),
        ("trailer", endless(chunked!("0\r\nx-a: "), "b")),
    ])
    .await;
}

/// Guards against bodies without an end that take the memory of incomplete answers from ordinary ones.
#[tokio::test]
async fn ordinary_requests_are_served_beside_bodies_without_an_end() {
    check_all(&[
        ("body", endless(head!("\r\n"), "x")),
        ("length", endless(head!("content-length: 999999999999\r\n\r\n"), "x")),
        ("events", endless(head!("\r\n"), "id: 1\ndata: piece 1\n\n")),
    ])
    .await;
}

/// Guards against comments without an end that keep the processor from ordinary requests.
#[tokio::test]
async fn ordinary_requests_are_served_beside_comments_without_an_end() {
    check_all(&[
        ("comments", endless(head!("\r\n"), ":\n\n")),
        ("newlines", endless(head!("\r\n"), "\n")),
    ])
    .await;
}
