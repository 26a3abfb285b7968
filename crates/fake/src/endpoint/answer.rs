//! Answers that are written by an HTTP library.

use std::future::pending;
use std::io;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use tokio::time;

use super::FaultMode;
use super::RecordedRequest;
use super::SLOW_ANSWER;
use super::SLOW_EVENT_INTERVAL;
use super::STREAM_EVENTS;
use super::Shared;
use super::event_text;
use super::lock;

/// The time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// The time from the head of an answer to the crash of the runner that writes it.
const CRASH_DELAY: Duration = Duration::from_millis(30);

type Body = BoxBody<Bytes, io::Error>;

/// The error that makes the server close the connection without an answer.
#[derive(Debug)]
pub(super) struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without an answer on purpose")
    }
}

impl std::error::Error for Closed {}

/// Answers a request as the fault mode has it, with the added headers.
pub(super) async fn answer_with_added_headers(
    shared: &Shared,
    request: Request<Incoming>,
) -> Result<Response<Body>, Closed> {
    let mut response = answer(shared, request).await?;
    for (name, value) in lock(&shared.state).added_headers.iter().copied() {
        response.headers_mut().insert(name, HeaderValue::from_static(value));
    }
    Ok(response)
}

async fn answer(shared: &Shared, request: Request<Incoming>) -> Result<Response<Body>, Closed> {
    let Shared { id, state, .. } = shared;
    let at = Instant::now();
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Closed)?.to_bytes();
    let fault_mode = lock(state).next_fault_mode(head.uri.path());
    let is_expected =
        head.headers.get("expect-instance").is_none_or(|expected| expected == id.as_str());
    let is_executed = is_expected && fault_mode != FaultMode::Busy;
    let line = format!("{} {}", head.method, head.uri);
    let last_event = header(&head.headers, "last-event-id").and_then(|id| id.parse().ok());
    let request_id = header(&head.headers, "request-id").unwrap_or_default().to_owned();
    let is_stream = head.uri.path().contains("/stream/");
    let large = lock(state).answer_bytes.filter(|_| head.uri.path().contains("/large/"));
    let crashes = is_expected && has_part(&head.headers, lock(state).crashing_part);
    lock(state).requests.push(RecordedRequest {
        at,
        line,
        headers: head.headers,
        body,
        is_executed,
    });
    if !is_expected {
        let mut response = status(StatusCode::MISDIRECTED_REQUEST, "instance-id", id);
        response.headers_mut().insert("request-id", request_id.parse().expect("a plain id"));
        return Ok(response);
    }
    let shown =
        if fault_mode == FaultMode::WrongRequestId { "another" } else { request_id.as_str() };
    if fault_mode == FaultMode::SlowAnswer {
        time::sleep(SLOW_ANSWER).await;
    }
    let mut response = match fault_mode {
        FaultMode::Busy => status(StatusCode::SERVICE_UNAVAILABLE, "not-executed", "1"),
        FaultMode::Disconnected => return Err(Closed),
        FaultMode::Unresponsive => return pending().await,
        _ if crashes => Response::new(BodyExt::boxed(StreamBody::new(crash(shared.clone())))),
        FaultMode::InternalError => status(StatusCode::INTERNAL_SERVER_ERROR, "request-id", shown),
        _ if is_stream => {
            let truncated_at = match fault_mode {
                FaultMode::TruncatedAt(event) => Some(event),
                _ => None,
            };
            let interval = match fault_mode {
                FaultMode::SlowStream => SLOW_EVENT_INTERVAL,
                _ => EVENT_INTERVAL,
            };
            let events = events(last_event, truncated_at, interval);
            Response::new(BodyExt::boxed(StreamBody::new(events)))
        }
        _ => Response::new(full_body(
            large.map_or_else(|| format!("answer of {id}"), |bytes| "x".repeat(bytes)),
        )),
    };
    let headers = response.headers_mut();
    headers.insert("request-id", shown.parse().expect("a plain id"));
    if !matches!(fault_mode, FaultMode::MissingSeal | FaultMode::Busy) {
        headers.insert("response-seal", format!("seal-{id}").parse().expect("a plain id"));
    }
    Ok(response)
}

/// Returns whether a prompt has a part before its last one.
fn has_part(headers: &HeaderMap, part: Option<&str>) -> bool {
    let (Some(part), Some(parts)) = (part, header(headers, "prompt-prefix")) else { return false };
    let mut ids = parts.split(',').filter_map(|part| Some(part.split_once(':')?.0));
    ids.next_back();
    ids.any(|id| id == part)
}

/// Crashes the runner after a while, without any data.
fn crash(shared: Shared) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send + Sync {
    stream::once(async move {
        time::sleep(CRASH_DELAY).await;
        lock(&shared.state).crashes += 1;
        shared.crashed.notify_one();
        pending().await
    })
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn full_body(text: String) -> Body {
    Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed()
}

fn status(status: StatusCode, header: &'static str, value: &str) -> Response<Body> {
    let mut response = Response::new(full_body(String::new()));
    *response.status_mut() = status;
    response.headers_mut().insert(header, value.parse().expect("a plain value"));
    response
}

fn events(
    last: Option<u32>,
    truncated_at: Option<u32>,
    interval: Duration,
) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send + Sync {
    let first = last.map_or(1, |last| last + 1);
    stream::unfold(Some(first), move |next| async move {
        let number = next.filter(|number| *number <= STREAM_EVENTS)?;
        time::sleep(interval).await;
        let text = event_text(number);
        if truncated_at == Some(number) {
            let half = Bytes::from(text[..text.len() / 2].to_owned());
            return Some((Ok(Frame::data(half)), Some(STREAM_EVENTS + 2)));
        }
        Some((Ok(Frame::data(Bytes::from(text))), Some(number + 1)))
    })
    .chain(stream::iter(
        truncated_at.map(|_| Err(io::Error::other("stream ended early on purpose"))),
    ))
}
