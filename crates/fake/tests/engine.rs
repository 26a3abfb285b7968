//! Tests of the fake model engine.

mod common;

use std::io::ErrorKind;
use std::net::SocketAddr;

use common::Connection;
use common::Fake;
use common::HANG_TIMEOUT;
use common::build_request;
use common::read_answer;
use common::wait_until;
use http_body_util::BodyExt;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const COMPLETIONS_PATH: &str = "/v1/completions";

fn body(prompt: &str, tokens: u32, stream: bool) -> String {
    json!({ "prompt": prompt, "max_tokens": tokens, "stream": stream }).to_string()
}

fn events(prompt: &str, from: u32, end: u32) -> String {
    let event = |index| json!({ "index": index, "text": fake::engine::token(prompt, index) });
    let lines: String = (from..end).map(|index| format!("data: {}\n\n", event(index))).collect();
    format!("{lines}data: [DONE]\n\n")
}

async fn complete(
    address: SocketAddr,
    body: &str,
    headers: &[(&str, &str)],
) -> Option<common::Answer> {
    let exchange = async {
        let mut connection = Connection::open(address).await?;
        let response =
            connection.send(build_request("POST", COMPLETIONS_PATH, body, headers)).await?;
        read_answer(response).await
    };
    tokio::time::timeout(HANG_TIMEOUT, exchange).await.expect("answered in time")
}

#[tokio::test]
async fn answers_are_complete_and_resume_at_the_requested_token() {
    let engine = Fake::start(&["engine", "--token-interval-ms", "1"]);
    let text = body("a matte van", 5, true);
    let first =
        complete(engine.address, &text, &[("x-attempt-id", "a.1")]).await.expect("an answer");
    assert_eq!(first.text, events("a matte van", 0, 5));
    let resumed =
        complete(engine.address, &text, &[("x-resume-from", "3")]).await.expect("an answer");
    assert_eq!(resumed.text, events("a matte van", 3, 5));
    let plain =
        complete(engine.address, &body("a matte van", 5, false), &[]).await.expect("an answer");
    assert_eq!(plain.json(), json!({ "text": fake::engine::answer("a matte van", 5) }));
    engine.put("/control/refuse_resume", &json!({ "on": true })).await;
    let refused =
        complete(engine.address, &text, &[("x-resume-from", "3")]).await.expect("an answer");
    assert_eq!(refused.status, 409);
}

#[tokio::test]
async fn a_cold_engine_crashes_on_too_many_requests_and_warms_up_after_enough_answers() {
    let args = ["engine", "--cold", "--warm-after", "2", "--fall-ms", "100"];
    let engine = Fake::start(&[args.as_slice(), &["--token-interval-ms", "1"]].concat());
    let slow = body("x", 100_000, true);
    let calls = tokio::join!(
        complete(engine.address, &slow, &[]),
        complete(engine.address, &slow, &[]),
        complete(engine.address, &slow, &[]),
    );
    assert_eq!(calls, (None, None, None));
    let report = wait_until(&engine, "/control/journal", |report| report["falls"] == 1).await;
    let outcomes: Vec<_> = report["requests"].as_array().expect("requests").iter().collect();
    assert!(outcomes.iter().all(|entry| entry["outcome"] == "crashed"), "{outcomes:?}");
    assert_eq!(report["peak_cold"], 3);
    wait_until(&engine, "/load", |load| load["warm"] == false && load["running"] == 0).await;
    for _ in 0..2 {
        complete(engine.address, &body("x", 1, true), &[]).await.expect("an answer");
    }
    wait_until(&engine, "/load", |load| load["warm"] == true).await;
}

#[tokio::test]
async fn a_crashed_engine_refuses_connections_and_restarts_at_the_same_address() {
    let engine = Fake::start(&["engine"]);
    assert_eq!(complete(engine.address, &body("CRASH-RUNNER", 1, true), &[]).await, None);
    tokio::time::timeout(HANG_TIMEOUT, first_refusal(engine.address))
        .await
        .expect("refused in time");
    for _ in 0..20 {
        let error = TcpStream::connect(engine.address).await.expect_err("still refused");
        assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
    }
    wait_until(&engine, "/load", |load| load["warm"] == false).await;
}

/// Connects until the address refuses; a connection that is still established must not get an answer.
///
/// The kernel resets connections that it established for a listener which closes before it accepts them.
async fn first_refusal(address: SocketAddr) {
    loop {
        match TcpStream::connect(address).await {
            Ok(mut stream) => {
                let _reset = stream.write_all(b"GET /load HTTP/1.1\r\nhost: a\r\n\r\n").await;
                let mut answer = Vec::new();
                let _reset = stream.read_to_end(&mut answer).await;
                assert_eq!(String::from_utf8_lossy(&answer), "");
            }
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
            Err(error) => return assert_eq!(error.kind(), ErrorKind::ConnectionRefused),
        }
    }
}

#[tokio::test]
async fn cancelled_requests_release_their_slots() {
    let engine = Fake::start(&["engine", "--slots", "1"]);
    let long = body("x", 100_000, true);
    let mut connection = Connection::open(engine.address).await.expect("a connection");
    let attempt = [("x-attempt-id", "a.1"), ("x-request-id", "a"), ("x-workspace", "crag")];
    let response = connection
        .send(build_request("POST", COMPLETIONS_PATH, &long, &attempt))
        .await
        .expect("an answer");
    let deleted = cancel_attempt(engine.address, "a.1").await;
    let ended = response.into_body().collect().await;
    assert!(deleted && ended.is_err(), "the answer of a cancelled request is truncated");
    let mut connection = Connection::open(engine.address).await.expect("a connection");
    let response = connection
        .send(build_request("POST", COMPLETIONS_PATH, &long, &[]))
        .await
        .expect("an answer");
    drop((connection, response));
    let report = wait_until(&engine, "/control/journal", |report| report["cancels"] == 2).await;
    let entry = &report["requests"][0];
    let seen = (&entry["request"], &entry["attempt"], &entry["workspace"], &entry["outcome"]);
    assert_eq!(seen, (&json!("a"), &json!("a.1"), &json!("crag"), &json!("cancelled")));
}

async fn cancel_attempt(address: SocketAddr, attempt: &str) -> bool {
    let mut connection = Connection::open(address).await.expect("a connection");
    let answer = connection
        .request("DELETE", &format!("{COMPLETIONS_PATH}/{attempt}"), "")
        .await
        .expect("an answer");
    answer.status == 200
}

#[tokio::test]
async fn open_connections_stall_while_new_ones_work() {
    let engine = Fake::start(&["engine", "--token-interval-ms", "1"]);
    let mut old = Connection::open(engine.address).await.expect("a connection");
    old.request("POST", COMPLETIONS_PATH, &body("x", 1, true)).await.expect("an answer");
    engine.put("/control/silent", &json!({ "on": true })).await;
    let text = body("x", 1, true);
    let (stalled, new) =
        (old.request("POST", COMPLETIONS_PATH, &text), complete(engine.address, &text, &[]));
    tokio::select! {
        biased;
        answered = stalled => panic!("the old connection answered {answered:?}"),
        answered = new => assert_eq!(answered.expect("an answer").text, events("x", 0, 1)),
    }
}

#[tokio::test]
async fn only_an_engine_that_checks_fencing_refuses_older_fences() {
    let order = |fence: u64| json!({ "order": "load-model", "name": "m", "fence": fence });
    for (args, status) in [(["engine"].as_slice(), 200), (&["engine", "--check-fencing"], 409)] {
        let engine = Fake::start(args);
        engine.post("/orders", &order(7).to_string()).await.expect("an answer");
        let older = engine.post("/orders", &order(6).to_string()).await.expect("an answer");
        assert_eq!(older.status, status);
        let orders = engine.get("/control/journal").await.json()["orders"].clone();
        assert_eq!(orders[1]["is_obeyed"], status == 200);
    }
}

#[tokio::test]
async fn raw_bytes_count_calls_but_not_load_reports_or_control_calls() {
    let engine = Fake::start(&["engine", "--token-interval-ms", "1"]);
    engine.get("/load").await;
    engine.put("/control/refuse_resume", &json!({ "on": false })).await;
    let idle = engine.get("/control/journal").await.json();
    assert_eq!((&idle["raw_bytes"], &idle["raw_connections"]), (&json!(0), &json!(0)));
    let text = body("x", 1, true);
    complete(engine.address, &text, &[]).await.expect("an answer");
    let used = engine.get("/control/journal").await.json();
    assert!(used["raw_bytes"].as_u64() > Some(text.len() as u64), "{}", used["raw_bytes"]);
    assert_eq!(used["raw_connections"], 1);
}

#[tokio::test]
async fn events_are_padded_and_a_control_call_makes_the_engine_warm() {
    let args = ["engine", "--cold", "--report-lag-ms", "10", "--event-bytes", "1000"];
    let engine = Fake::start(&args);
    wait_until(&engine, "/load", |load| load["warm"] == false).await;
    engine.put("/control/warm", &json!({})).await;
    wait_until(&engine, "/load", |load| load["warm"] == true).await;
    let answer = complete(engine.address, &body("a van", 2, true), &[]).await.expect("an answer");
    assert_eq!(answer.text.matches(&"x".repeat(1000)).count(), 2);
}
