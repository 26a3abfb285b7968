//! Responses to earlier requests on a kept connection.

use std::time::Duration;

use bytes::Bytes;
use conn::Connection;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);

fn response(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Returns the id and the body of the response to the second request `b`, before whose response `before` is written in
/// pieces of this size.
async fn second_response(before: &str, piece: usize) -> Option<(String, Bytes)> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let written = [response("a", "first"), format!("{before}{}", response("b", "second"))];
    let serve = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        for text in written {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.expect("a request"));
            }
            for part in text.as_bytes().chunks(piece) {
                stream.write_all(part).await.expect("the caller reads");
                tokio::task::yield_now().await;
            }
        }
        stream
    };
    let call = async {
        let mut connection = Connection::open(address, TIMEOUT).await.expect("a connection");
        let mut last = None;
        for id in ["a", "b"] {
            let request = Request::get("/").header("host", "x").header("request-id", id);
            let request = request.body(Full::<Bytes>::default()).expect("a request");
            let response = connection.send_named(request, "request-id").await.ok()?;
            let named = response.headers()["request-id"].to_str().expect("text").to_owned();
            let body = connection.collect(response.into_body(), 100).await.ok()?;
            last = Some((named, body));
        }
        last
    };
    let (response, _stream) = tokio::join!(call, serve);
    response
}

#[tokio::test]
async fn responses_to_earlier_requests_are_left_out_however_they_arrive() {
    let expected = Some(("b".to_owned(), Bytes::from_static(b"second")));
    for before in [String::new(), response("a", "first"), response("a", "").repeat(3)] {
        for piece in [1, 7, 10_000] {
            assert_eq!(second_response(&before, piece).await, expected, "{before:?} by {piece}");
        }
    }
}

#[tokio::test]
async fn a_response_to_a_request_that_the_connection_never_carried_is_passed_on() {
    let passed = second_response(&response("c", "other"), 10_000).await;
    assert_eq!(passed, Some(("c".to_owned(), Bytes::from_static(b"other"))));
}

#[tokio::test]
async fn a_response_to_an_earlier_request_without_a_length_is_passed_on() {
    let chunked = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let passed = second_response(chunked, 10_000).await;
    assert_eq!(passed.map(|(id, _)| id), Some("a".to_owned()));
}
