//! Tests of the log client against a fake log service in the same process.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use base::Verdict;
use plat::Error;
use plat::Log;
use plat::Span;
use support::Server;
use tokio::net::TcpSocket;

const NO_WAIT: Duration = Duration::ZERO;

#[tokio::test]
async fn appended_records_are_read_in_order() {
    let server = Server::start().await;
    let log = Log::new(server.address);
    assert_eq!(log.append("claims", "one").await, Ok(1));
    assert_eq!(log.append("claims", "two").await, Ok(2));
    let page = log.read("claims", 1, 10, NO_WAIT).await.expect("a page");
    let bodies: Vec<_> = page.records.iter().map(|record| record.body.as_str()).collect();
    assert_eq!((bodies, page.first, page.next), (vec!["one", "two"], 1, 3));
    assert_eq!(log.span("claims").await, Ok(Span { first: 1, next: 3 }));
    assert_eq!(server.connections(), 1);
}

#[tokio::test]
async fn a_read_waits_for_the_next_record() {
    let server = Server::start().await;
    let log = Log::new(server.address);
    let reader = log.clone();
    let (page, offset) = tokio::join!(
        reader.read("claims", 1, 10, Duration::from_secs(20)),
        log.append("claims", "late")
    );
    assert_eq!(offset, Ok(1));
    assert_eq!(page.expect("a page").records.len(), 1);
}

#[tokio::test]
async fn a_lost_answer_is_distinguished_from_a_call_that_was_not_sent() {
    let server = Server::start().await;
    let log = Log::new(server.address);
    server.faults(|faults| faults.lose_answers = 1);
    let lost = log.append("claims", "one").await;
    assert_eq!(lost, Err(Error::Lost));
    assert_eq!(server.bodies(), vec!["one"]);
    // A socket that is bound and does not listen refuses connections and keeps its port from other tests.
    let reserved = TcpSocket::new_v4().expect("a socket");
    reserved.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = reserved.local_addr().expect("an address");
    assert_eq!(Log::new(address).append("claims", "two").await, Err(Error::Unreachable));
}

#[tokio::test]
async fn appends_during_an_outage_or_throttling_have_no_effect() {
    let server = Server::start().await;
    let log = Log::new(server.address);
    let retry_after = Duration::from_secs(1);
    server.faults(|faults| faults.down = true);
    assert_eq!(log.append("claims", "one").await, Err(Error::Unavailable { retry_after }));
    server.faults(|faults| *faults = support::Faults { appends_per_second: Some(0), ..*faults });
    server.faults(|faults| faults.down = false);
    assert_eq!(log.append("claims", "one").await, Err(Error::Unavailable { retry_after }));
    assert_eq!(server.bodies(), Vec::<String>::new());
}

#[tokio::test]
async fn a_read_of_expired_records_returns_gone() {
    let server = Server::start().await;
    let log = Log::new(server.address);
    server.append("one");
    server.append("two");
    server.retain_from(2);
    let gone = log.read("claims", 1, 10, NO_WAIT).await;
    assert_eq!(gone, Err(Error::Gone { first: 2, next: 3 }));
}

#[tokio::test]
async fn a_new_connection_is_used_after_a_timeout() {
    let server = Server::start().await;
    let log = Log::new(server.address);
    let (one, two) = tokio::join!(log.append("claims", "one"), log.append("claims", "two"));
    assert_eq!((one.is_ok(), two.is_ok(), server.connections()), (true, true, 2));
    server.stall_open_connections();
    assert_eq!(log.append("claims", "three").await, Err(Error::Lost));
    assert_eq!(log.append("claims", "four").await, Ok(3));
    assert_eq!(server.connections(), 3);
}

#[test]
fn only_errors_of_calls_that_may_have_taken_effect_have_the_verdict_may_have_run() {
    let retry_after = Duration::from_secs(1);
    let errors = [
        Error::Unreachable,
        Error::Unavailable { retry_after },
        Error::Lost,
        Error::Gone { first: 2, next: 3 },
        Error::Malformed,
    ];
    let verdicts = errors.map(|error| error.verdict());
    let (no, may) = (Verdict::NotRun, Verdict::MayHaveRun);
    assert_eq!(verdicts, [no, no, may, no, may]);
}
