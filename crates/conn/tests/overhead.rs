//! Responses whose framing has no end, or takes many bytes.

use std::time::Duration;

use bytes::Bytes;
use conn::Connection;
use conn::Failure;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);
const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
/// The bytes that a peer may at most write before its connection is closed, with what the kernel holds.
const MAX_WRITTEN: usize = 16 << 20;

/// Writes `begin`, `times` times `repeated`, and `end` as a response; returns what the caller gets, and what was written.
async fn exchange(
    begin: &str,
    repeated: &str,
    times: usize,
    end: &str,
) -> (Result<Bytes, Failure>, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let serve = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.expect("a request"));
        }
        let text = format!("{begin}{}{end}", repeated.repeat(times));
        let mut written = 0;
        for part in text.as_bytes().chunks(4 << 10) {
            if stream.write_all(part).await.is_err() {
                break;
            }
            written += part.len();
        }
        written
    };
    let call = async {
        let mut connection = Connection::open(address, TIMEOUT).await?;
        let request = Request::get("/").header("host", "x");
        let request = request.body(Full::<Bytes>::default()).expect("a request");
        let response = connection.send(request).await?;
        connection.collect(response.into_body(), MAX_WRITTEN).await
    };
    tokio::time::timeout(TIMEOUT, async { tokio::join!(call, serve) }).await.expect("in time")
}

/// Guards against framing without an end that is read until the deadline of a call.
#[tokio::test]
async fn framing_without_an_end_breaks_the_response() {
    for (begin, repeated) in [
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        (HEAD, "0"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1", " "),
        (HEAD, "1;a=bcdefgh\r\nx\r\n"),
        (HEAD, "1\r\nx\r\n"),
    ] {
        let (response, written) = exchange(begin, repeated, (64 << 20) / repeated.len(), "").await;
        assert_eq!(response, Err(Failure::Broken), "{repeated:?}");
        assert!(written < MAX_WRITTEN, "{repeated:?}: {written} bytes");
    }
}

/// Guards against a limit that sound responses exceed.
#[tokio::test]
async fn responses_in_small_chunks_are_read_whole() {
    for (chunk, times) in [("1\r\nx\r\n", 20_000), ("5\r\nhello\r\n", 200_000)] {
        let (response, _) = exchange(HEAD, chunk, times, "0\r\n\r\n").await;
        let length = chunk.lines().nth(1).map_or(0, str::len) * times;
        assert_eq!(response.map(|body| body.len()), Ok(length), "{chunk:?}");
    }
    let hints = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";
    let (response, _) = exchange("", hints, 100, &format!("{HEAD}0\r\n\r\n")).await;
    assert_eq!(response, Ok(Bytes::new()));
}

/// Guards against counts of one response that are added to those of the next on its connection.
#[tokio::test]
async fn a_kept_connection_has_the_limit_for_each_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let serve = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let padding = "x-a: bcdefgh\r\n".repeat(90);
        let response = format!("HTTP/1.1 200 OK\r\n{padding}content-length: 2\r\n\r\nok");
        for _ in 0..1_000 {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.expect("a request"));
            }
            stream.write_all(response.as_bytes()).await.expect("the caller reads");
        }
    };
    let call = async {
        let mut connection = Connection::open(address, TIMEOUT).await.expect("a connection");
        for _ in 0..1_000 {
            let request = Request::get("/").header("host", "x");
            let request = request.body(Full::<Bytes>::default()).expect("a request");
            let response = connection.send(request).await.expect("a response");
            let body = connection.collect(response.into_body(), 100).await;
            assert_eq!(body, Ok(Bytes::from_static(b"ok")));
        }
    };
    tokio::join!(call, serve);
}
