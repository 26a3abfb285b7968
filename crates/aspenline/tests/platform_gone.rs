//! Callers that have left before the router reads their requests, against fakes of the store and the runners.

#[path = "common/router.rs"]
mod router;

use std::io;
use std::time::Duration;

use fake::endpoint::Endpoint;
use http::StatusCode;
use rustix::process::Signal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time;

use crate::router::HOST;
use crate::router::Platform;
use crate::router::Router;
use crate::router::configuration;
use crate::router::get;

/// Number of callers that leave in each round.
const CALLERS: usize = 12;
/// Number of rounds.
const ROUNDS: usize = 5;
/// The time after which the router has read all requests that wait.
const READ_TIME: Duration = Duration::from_millis(300);
/// A limit on descriptors that every process exceeds.
const NO_DESCRIPTORS: u64 = 3;

/// How a caller leaves.
#[derive(Debug, Clone, Copy)]
enum Departure {
    /// It closes its connection.
    Closed,
    /// It resets its connection.
    Reset,
}

/// Sends a request with this body.
async fn send(stream: &mut TcpStream, id: &str, body: &str) -> io::Result<()> {
    let request = format!(
        "POST /safe/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: 3000\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await
}

/// Sends a request with this body and leaves.
async fn send_and_leave(mut stream: TcpStream, id: &str, body: &str, departure: Departure) {
    send(&mut stream, id, body).await.expect("written");
    if let Departure::Reset = departure {
        stream.set_zero_linger().expect("set");
    }
}

/// Opens a connection on which the router has answered a request.
async fn open_and_use(router: &Router, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(router.callers).await.expect("connected");
    send(&mut stream, id, "").await.expect("written");
    let mut answer = Vec::new();
    while !answer.ends_with(b"answer of ledger-0") {
        assert!(stream.read_buf(&mut answer).await.expect("read") > 0, "{answer:?}");
    }
    stream
}

/// Starts a router with one runner.
async fn start(test: &str) -> (Platform, Router, Endpoint) {
    let platform = Platform::start(test).await;
    platform.configure(&configuration(1));
    let runner = platform.runners("ledger", 1).await.remove(0);
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    (platform, router, runner)
}

/// Sends a request that is answered, so that a connection to the runner is kept and a request can be sent at once.
async fn call(router: &Router, id: &str) {
    assert_eq!(router.call(get("/safe/", id)).await.status, StatusCode::OK);
}

/// Sends a request from each of many callers that leave at once.
async fn call_and_leave(router: &Router, name: &str, body: &str, departure: Departure) {
    for number in 0..CALLERS {
        let stream = TcpStream::connect(router.callers).await.expect("connected");
        send_and_leave(stream, &format!("left-{name}-{number}"), body, departure).await;
    }
}

/// Returns the names of all rounds, with the body and the departure of the callers.
fn rounds() -> Vec<(String, &'static str, Departure)> {
    let mut rounds = Vec::new();
    for round in 0..ROUNDS {
        for departure in [Departure::Closed, Departure::Reset] {
            for body in ["", "piece"] {
                rounds.push((format!("{departure:?}-{}-{round}", body.len()), body, departure));
            }
        }
    }
    rounds
}

/// Returns the ids of received requests whose callers had left.
fn left(runner: &Endpoint) -> Vec<String> {
    let requests = runner.requests().into_iter();
    let ids = requests.map(|request| request.headers["request-id"].to_str().expect("text").into());
    ids.filter(|id: &String| id.starts_with("left")).collect()
}

#[tokio::test]
async fn requests_of_callers_that_left_while_the_router_was_suspended_reach_no_runner() {
    let (_platform, router, runner) = start("left-suspended").await;
    for (name, body, departure) in rounds() {
        call(&router, &format!("before-{name}")).await;
        router.suspend().await;
        call_and_leave(&router, &name, body, departure).await;
        router.signal(Signal::CONT);
        time::sleep(READ_TIME).await;
        call(&router, &format!("after-{name}")).await;
    }
    assert_eq!(left(&runner), Vec::<String>::new());
}

#[tokio::test]
async fn requests_of_callers_that_left_while_no_descriptors_were_free_reach_no_runner() {
    let (_platform, router, runner) = start("left-descriptors").await;
    for (name, body, departure) in rounds() {
        call(&router, &format!("before-{name}")).await;
        router.limit_descriptors(Some(NO_DESCRIPTORS));
        call_and_leave(&router, &name, body, departure).await;
        router.limit_descriptors(None);
        time::sleep(READ_TIME).await;
        call(&router, &format!("after-{name}")).await;
    }
    assert_eq!(left(&runner), Vec::<String>::new());
}

#[tokio::test]
async fn requests_of_callers_that_left_kept_connections_reach_no_runner() {
    let (_platform, router, runner) = start("left-kept").await;
    for (name, body, departure) in rounds() {
        let mut streams = Vec::new();
        for number in 0..CALLERS {
            streams.push(open_and_use(&router, &format!("before-{name}-{number}")).await);
        }
        router.suspend().await;
        for (number, stream) in streams.into_iter().enumerate() {
            send_and_leave(stream, &format!("left-{name}-{number}"), body, departure).await;
        }
        router.signal(Signal::CONT);
        time::sleep(READ_TIME).await;
        call(&router, &format!("after-{name}")).await;
    }
    assert_eq!(left(&runner), Vec::<String>::new());
}
