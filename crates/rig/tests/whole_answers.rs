//! Tests that callers receive complete answers or refusals with a correct verdict.

mod small_fleet;

use std::net::SocketAddr;
use std::time::Duration;

use base::Verdict;
use fake::journal::Outcome;
use http::Method;
use rig::Answer;
use rig::Call;
use rig::Caller;
use rig::Failure;
use rig::RunnerPlan;
use serde_json::json;
use small_fleet::HANG_TIMEOUT;
use small_fleet::MODEL;
use small_fleet::PLAIN;
use small_fleet::builder;
use small_fleet::control_runner;
use small_fleet::entries;
use small_fleet::model;
use small_fleet::next;
use small_fleet::send;
use small_fleet::start;
use small_fleet::wait_until;
use small_fleet::wait_until_streaming;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::Instant;

const PROMPT: &str = "a route for a matte van";

fn problem(answer: &Answer) -> (Option<u16>, Option<Verdict>) {
    (answer.status.map(|status| status.as_u16()), answer.verdict())
}

#[tokio::test]
async fn an_answer_that_belongs_to_another_attempt_is_dropped() {
    let mut test_fleet = start(builder(1, &model(), &RunnerPlan::new())).await;
    let fleet = &mut test_fleet.fleet;
    let caller = fleet.caller_of("crag", 0);
    let wrong = json!({ "wrong_attempt": true });
    control_runner(fleet, "ledger-1", "late", &wrong).await;
    let lookup = caller.call(&Call::lookup(PLAIN, "/routes/17")).await;
    assert_eq!((lookup.is_success(), lookup.text()), (true, r#"{"path":"/routes/17"}"#.to_owned()));
    assert_eq!(entries(fleet).await.len(), 2, "the first attempt was not dropped");
    control_runner(fleet, "ledger-1", "late", &wrong).await;
    let once = caller.call(&Call::non_idempotent(PLAIN, "/ascents", "route 17")).await;
    assert_eq!(problem(&once), (Some(502), Some(Verdict::MayHaveRun)));
    assert_eq!(small_fleet::executions(fleet).await, 1);
}

#[tokio::test]
async fn a_broken_stream_is_resumed_on_another_runner_and_complete() {
    let mut test_fleet = start(builder(1, &model(), &RunnerPlan::new())).await;
    let fleet = &mut test_fleet.fleet;
    let mut calls = JoinSet::new();
    send(&mut calls, fleet, 0, &Call::completion(MODEL, PROMPT, 60));
    let first = wait_until_streaming(fleet, 5).await;
    control_runner(fleet, &first, "crash", &json!({})).await;
    assert_eq!(next(&mut calls).await.check_complete(PROMPT, 60), Ok(()));
    let found = entries(fleet).await;
    let resumed = found.iter().filter(|found| found.runner != first);
    let tokens: Vec<u64> = resumed.map(|found| found.entry.tokens).collect();
    assert!(matches!(tokens.as_slice(), [1..=55]), "{found:?}");
}

#[tokio::test]
async fn a_stream_that_cannot_be_resumed_ends_with_an_explicit_error() {
    let mut test_fleet = start(builder(1, &model(), &RunnerPlan::new())).await;
    let fleet = &mut test_fleet.fleet;
    for runner in ["belay-1", "belay-2"] {
        control_runner(fleet, runner, "refuse_resume", &json!({ "on": true })).await;
    }
    let mut calls = JoinSet::new();
    send(&mut calls, fleet, 0, &Call::completion(MODEL, PROMPT, 60));
    let first = wait_until_streaming(fleet, 5).await;
    control_runner(fleet, &first, "crash", &json!({})).await;
    let answer = next(&mut calls).await;
    assert_eq!((answer.failure, answer.is_done), (None, false));
    assert_eq!(answer.verdict(), Some(Verdict::MayHaveRun));
    assert!((1..60).contains(&answer.tokens.len()), "{answer:?}");
}

#[tokio::test]
async fn a_caller_that_hangs_up_cancels_its_call_and_frees_the_slot() {
    let slow = RunnerPlan::new().args(&["--token-interval-ms", "20"]).limits(1, 1);
    let test_fleet = start(builder(1, &slow, &RunnerPlan::new())).await;
    let fleet = &test_fleet.fleet;
    let caller = fleet.caller_of("crag", 0);
    for _ in 0..2 {
        let call = Call::completion(MODEL, PROMPT, 100_000).hang_up_after(2);
        assert_eq!(caller.call(&call).await.failure, Some(Failure::HungUp));
    }
    let left = Instant::now();
    wait_until("cancelled calls", async || {
        let found = entries(fleet).await;
        found.iter().filter(|found| found.entry.outcome == Some(Outcome::Cancelled)).count() == 2
    })
    .await;
    println!("cancelled {:?} after the caller hung up", left.elapsed());
    for _ in 0..2 {
        let answer = caller.call(&Call::completion(MODEL, PROMPT, 3)).await;
        assert_eq!(answer.check_complete(PROMPT, 3), Ok(()));
    }
}

#[tokio::test]
async fn a_request_that_crashes_runners_is_stopped_after_two_falls_in_the_whole_fleet() {
    let mut test_fleet = start(builder(3, &model(), &RunnerPlan::new())).await;
    let fleet = &mut test_fleet.fleet;
    let mut other_calls = JoinSet::new();
    let crashing_call =
        Call::completion(MODEL, &format!("{} please", fake::engine::CRASH_MARKER), 5);
    for round in 0..3 {
        for router in 0..3 {
            let prompt = format!("neighbour {round} at {router}");
            let (caller, call) =
                (fleet.caller_of("gym", router), Call::completion(MODEL, &prompt, 40));
            other_calls.spawn(async move {
                let answer = caller.call(&call).await;
                answer
                    .check_complete(&prompt, 40)
                    .map_err(|mismatch| format!("{prompt}: {mismatch}: {answer:?}"))
            });
            let answer = fleet.caller_of("crag", router).call(&crashing_call).await;
            assert!(answer.problem.is_some(), "{answer:?}");
        }
    }
    for complete in other_calls.join_all().await {
        assert_eq!(complete, Ok(()));
    }
    let journals = fleet.journals().await.expect("journals");
    let crashes: u64 = journals.values().map(|journal| journal.crashes).sum();
    let crashed = |entry: &&fake::journal::Entry| entry.outcome == Some(Outcome::Crashed);
    let seen: Vec<_> = journals
        .iter()
        .flat_map(|(name, journal)| journal.requests.iter().filter(crashed).map(move |e| (name, e)))
        .collect();
    assert!((1..=2).contains(&crashes), "{crashes} crashes: {seen:?}");
    let last = fleet.caller_of("crag", 0).call(&crashing_call).await;
    assert_eq!(problem(&last), (Some(422), Some(Verdict::MayHaveRun)));
    small_fleet::expect_no_panic(fleet);
}

#[tokio::test]
async fn a_router_that_shuts_down_interrupts_no_stream() {
    let plan = model().args(&["--slots", "64"]).limits(64, 64);
    let mut test_fleet = start(builder(2, &plan, &RunnerPlan::new())).await;
    let fleet = &mut test_fleet.fleet;
    let mut calls = JoinSet::new();
    for number in 0..60 {
        let prompt = format!("stream {number}");
        let (caller, call) = (fleet.caller_of("crag", 0), Call::completion(MODEL, &prompt, 60));
        calls.spawn(async move { caller.call(&call).await.check_complete(&prompt, 60) });
    }
    wait_until("streams in progress", async || {
        entries(fleet).await.iter().filter(|found| found.entry.tokens > 0).count() == 60
    })
    .await;
    fleet.terminate(0).expect("running");
    assert_eq!(fleet.wait(0, HANG_TIMEOUT).expect("ended").code(), Some(0));
    let complete = calls.join_all().await;
    assert_eq!(complete, vec![Ok(()); 60]);
}

#[tokio::test]
async fn invalid_requests_are_refused_as_not_run() {
    let limits = json!({ "drain_ms": 300, "body_bytes": 2048, "header_bytes": 8192 });
    let test_fleet =
        start(builder(1, &model(), &RunnerPlan::new()).setting("limits", limits)).await;
    let fleet = &test_fleet.fleet;
    let caller = fleet.caller_of("crag", 0);
    let untrusted = Caller::new("no-such-token", &[fleet.router(0).caller_address()]);
    let lookup = Call::lookup(PLAIN, "/routes/17");
    let large = Call::non_idempotent(PLAIN, "/ascents", &"x".repeat(4096));
    let malformed = Call::new(Method::POST, MODEL, "v1/completions").body("{\"prompt\":");
    let answers = [
        (413, caller.call(&large).await),
        (401, untrusted.call(&lookup).await),
        (404, caller.call(&Call::lookup("no-such-service", "/x")).await),
        (400, caller.call(&malformed).await),
    ];
    for (status, answer) in answers {
        assert_eq!(problem(&answer), (Some(status), Some(Verdict::NotRun)), "{answer:?}");
    }
    assert!(entries(fleet).await.is_empty());
    assert!(caller.call(&lookup).await.is_success());
}

#[tokio::test]
async fn a_head_that_is_too_large_is_refused_as_not_run() {
    let limits = json!({ "drain_ms": 300, "header_bytes": 8192 });
    let test_fleet =
        start(builder(1, &model(), &RunnerPlan::new()).setting("limits", limits)).await;
    let fleet = &test_fleet.fleet;
    let header = Call::non_idempotent(PLAIN, "/ascents", "x").key(&"k".repeat(10_000));
    let answer = fleet.caller_of("crag", 0).call(&header).await;
    assert_eq!(problem(&answer), (Some(431), Some(Verdict::NotRun)), "{answer:?}");
    assert!(entries(fleet).await.is_empty());
}

#[tokio::test]
async fn a_slow_caller_gets_the_complete_answer_and_uses_little_router_memory() {
    let padded = ["--event-bytes", "32768", "--token-interval-ms", "1", "--first-token-ms", "1"];
    let test_fleet = start(builder(1, &RunnerPlan::new().args(&padded), &RunnerPlan::new())).await;
    let fleet = &test_fleet.fleet;
    let before = resident_kib(fleet).await;
    let mut slow = Vec::new();
    for _ in 0..2 {
        slow.push(SlowCaller::call(fleet.router(0).caller_address(), 1500).await);
    }
    wait_for_stall(fleet).await;
    let stalled: Vec<u64> = entries(fleet).await.iter().map(|found| found.entry.tokens).collect();
    let grown = resident_kib(fleet).await.saturating_sub(before);
    println!("stalled at {stalled:?} of 1500 events of 32 KiB; the router grew by {grown} KiB");
    assert!(stalled.iter().all(|tokens| *tokens < 1500), "the calls never stalled: {stalled:?}");
    assert!(grown < 8 * 1024, "the router holds {grown} KiB for two slow callers");
    for caller in slow {
        assert_eq!(caller.read_all().await, (0..1500).collect::<Vec<u64>>());
    }
}

async fn resident_kib(fleet: &rig::Fleet) -> u64 {
    let answer =
        fleet.send_as_operator(0, Method::GET, "/operator/status", "").await.expect("a status");
    let status: serde_json::Value = serde_json::from_slice(answer.body()).expect("JSON");
    status["control"]["rss_kb"].as_u64().expect("a number")
}

/// Waits until the runners generate no more tokens.
async fn wait_for_stall(fleet: &rig::Fleet) {
    let mut last = u64::MAX;
    wait_until("stalled calls", async || {
        tokio::time::sleep(Duration::from_millis(700)).await;
        let tokens = entries(fleet).await.iter().map(|found| found.entry.tokens).sum();
        let is_stalled = std::mem::replace(&mut last, tokens) == tokens;
        is_stalled && tokens > 0
    })
    .await;
}

/// A caller that sends a model call and doesn't read the answer until requested.
struct SlowCaller(TcpStream);

impl SlowCaller {
    async fn call(router: SocketAddr, tokens: u32) -> Self {
        let mut stream = TcpStream::connect(router).await.expect("connected");
        let body = json!({ "prompt": PROMPT, "max_tokens": tokens, "stream": true }).to_string();
        let head = format!(
            "POST /v1/services/{MODEL}/v1/completions HTTP/1.1\r\nhost: router\r\n\
             authorization: Bearer crag-token\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(format!("{head}{body}").as_bytes()).await.expect("sent");
        Self(stream)
    }

    /// Reads to the end, checks that the end mark comes last and returns the indices of all tokens.
    async fn read_all(self) -> Vec<u64> {
        let mut indices = Vec::new();
        let mut lines = BufReader::new(self.0).lines();
        let mut is_done = false;
        while let Some(line) = lines.next_line().await.expect("read") {
            let Some(data) = line.strip_prefix("data: ") else { continue };
            is_done = data == "[DONE]";
            let token: Option<serde_json::Value> = serde_json::from_str(data).ok();
            indices.extend(token.and_then(|token| token["index"].as_u64()));
        }
        assert!(is_done, "no end mark after {} tokens", indices.len());
        indices
    }
}

#[tokio::test]
async fn random_datagrams_at_the_peer_port_change_nothing() {
    let mut test_fleet = start(builder(2, &model(), &RunnerPlan::new())).await;
    let fleet = &mut test_fleet.fleet;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("bound");
    let mut bytes: u32 = 1;
    for number in 0..2_000_usize {
        let packet: Vec<u8> = (0..number % 1400)
            .map(|_| {
                bytes = bytes.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                bytes.to_be_bytes()[0]
            })
            .collect();
        let _ = socket.send_to(&packet, fleet.router(number % 2).peer_address()).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.wait_until_ready(HANG_TIMEOUT).await.expect("a ready fleet");
    for router in 0..2 {
        let answer =
            fleet.caller_of("crag", router).call(&Call::completion(MODEL, PROMPT, 5)).await;
        assert_eq!(answer.check_complete(PROMPT, 5), Ok(()));
        let log = fleet.router(router).process.log();
        assert!(!log.contains("suspect") && !log.contains("panicked"), "{log}");
    }
}
