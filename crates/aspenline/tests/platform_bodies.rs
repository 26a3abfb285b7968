//! Refusals of bodies over the limit.

#[path = "common/router.rs"]
mod router;

use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time;

use crate::router::HOST;
use crate::router::Platform;
use crate::router::Router;
use crate::router::WAIT_TIMEOUT;
use crate::router::configuration;
use crate::router::get;

/// Sends the head of a request and the begin of its body; returns all that the router sends until it closes.
async fn exchange(router: &Router, framing: &str, begin: &[u8]) -> String {
    let mut stream = TcpStream::connect(router.callers).await.expect("accepted");
    let head =
        format!("POST /unsafe/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: r-1\r\n{framing}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("written");
    stream.write_all(begin).await.expect("written");
    let mut answer = Vec::new();
    let reading = time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer)).await;
    // The router closes without having read all, which may reset the connection after the answer.
    drop(reading.expect("the router closes the connection"));
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a router that reads on, or waits for the rest, when a body is over the limit of 10,000 bytes.
#[tokio::test]
async fn a_body_over_the_limit_is_refused_and_its_connection_closed() {
    let platform = Platform::start("over-limit").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    let chunk = [b"2711\r\n".as_slice(), &[b'x'; 0x2711], b"\r\n"].concat();
    for (framing, begin) in
        [("content-length: 10001", b"x".as_slice()), ("transfer-encoding: chunked", &chunk)]
    {
        let answer = exchange(&router, framing, begin).await;
        assert!(answer.starts_with("HTTP/1.1 413"), "{framing}: {answer}");
        assert!(answer.contains("connection: close"), "{framing}: {answer}");
    }
    assert_eq!(runners[0].execution_count(), 0);
    assert_eq!(router.call(get("/unsafe/", "r-2")).await.status, StatusCode::OK);
}
