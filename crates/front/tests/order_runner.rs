//! Orders on real connections: the request that the runner receives, and the outcome of each answer.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use front::Command;
use front::Outcome;
use front::send_command;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

fn command() -> Command {
    Command { order: "load-model".to_owned(), name: "oak@1".to_owned(), fence: 7 }
}

/// Sends an order to a runner that returns `answer`; returns the outcome and the received request.
async fn send_order(answer: &'static str, until: Instant) -> (Outcome, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let command = command();
    let runner = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = Vec::new();
        while !received.ends_with(b"}") {
            let mut part = [0; 1_024];
            match stream.read(&mut part).await {
                Ok(count) if count > 0 => received.extend_from_slice(&part[..count]),
                _ => break,
            }
        }
        let _disconnected = stream.write_all(answer.as_bytes()).await;
        String::from_utf8(received).expect("text")
    };
    tokio::join!(send_command(address, &command, until), runner)
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

#[tokio::test]
async fn an_order_carries_name_and_fence_and_the_status_determines_the_outcome() {
    let (outcome, received) =
        send_order("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", soon()).await;
    assert_eq!(outcome, Outcome::Done);
    assert!(received.starts_with("POST /orders HTTP/1.1\r\n"), "{received}");
    let body = "{\"order\":\"load-model\",\"name\":\"oak@1\",\"fence\":7}";
    assert!(received.ends_with(body), "{received}");
    let newer = send_order("HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n", soon()).await;
    assert_eq!(newer.0, Outcome::Superseded);
    let refused = send_order("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n", soon()).await;
    assert_eq!(refused.0, Outcome::Refused);
}

#[tokio::test]
async fn an_order_without_an_answer_has_the_outcome_lost() {
    assert_eq!(send_order("", soon()).await.0, Outcome::Lost);
}

#[tokio::test]
async fn nothing_is_written_after_expiry_even_on_an_open_connection() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(send_order(answer, Instant::now()).await, (Outcome::NotSent, String::new()));
}

#[tokio::test]
async fn an_order_to_an_unreachable_runner_is_not_sent() {
    // A socket that is bound and does not listen refuses connections and keeps its port from other tests.
    let reserved = TcpSocket::new_v4().expect("a socket");
    reserved.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = reserved.local_addr().expect("an address");
    assert_eq!(send_command(address, &command(), soon()).await, Outcome::NotSent);
}
