//! Requests to runners, each on a new connection.
//!
//! A connection is never reused: a middlebox may have dropped the state of an idle connection, and a late answer to an
//! earlier request could be taken for the answer to this one.

use std::net::SocketAddr;
use std::time::Duration;

use base::Attempt;
use base::Verdict;
use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use tokio_util::task::TaskTracker;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for the acknowledgement of sent bytes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Maximum size of a load report, in bytes.
const MAX_REPORT_BYTES: usize = 4_096;
/// Header with the identifier of the attempt, which the runner repeats in its answer.
pub(crate) const ATTEMPT_HEADER: &str = "x-attempt-id";

/// The way in which a request to a runner failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Kind {
    /// The runner could not be reached.
    Unreachable,
    /// The connection broke.
    Broken,
    /// No data was received within the timeout.
    #[strum(serialize = "silent")]
    TimedOut,
    /// The answer belongs to another attempt, or its events are invalid or out of order.
    #[strum(serialize = "crossed")]
    Mismatched,
}

/// A failed request to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Fault {
    /// The way in which it failed.
    pub(crate) kind: Kind,
    /// Whether the runner may have run the call.
    pub(crate) verdict: Verdict,
}

/// An answer whose head has arrived.
///
/// Dropping it closes the connection, which cancels the request at the runner.
#[derive(Debug)]
pub(crate) struct PendingResponse {
    /// The answer; its body is not read yet.
    pub(crate) response: Response<Incoming>,
    /// Closes the connection when dropped.
    pub(crate) connection: DropGuard,
}

impl Fault {
    const fn unreachable() -> Self {
        Self { kind: Kind::Unreachable, verdict: Verdict::NotRun }
    }

    /// Creates a failure after the first byte may have been sent.
    pub(crate) const fn after_sending(kind: Kind) -> Self {
        Self { kind, verdict: Verdict::MayHaveRun }
    }
}

/// Sends a request on a new connection and waits for the head of the answer.
pub(crate) async fn send_request(
    tasks: &TaskTracker,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    first_byte: Duration,
) -> Result<PendingResponse, Fault> {
    let stream = connect(address).await?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| Fault::unreachable())?;
    let token = CancellationToken::new();
    let stop = token.clone();
    tasks.spawn(async move {
        tokio::select! {
            _ = connection => (),
            () = stop.cancelled() => (),
        }
    });
    let guard = token.drop_guard();
    match time::timeout(first_byte, sender.try_send_request(request)).await {
        Ok(Ok(response)) => Ok(PendingResponse { response, connection: guard }),
        Ok(Err(mut error)) => Err(match error.take_message() {
            Some(_unsent) => Fault::unreachable(),
            None => Fault::after_sending(Kind::Broken),
        }),
        Err(_) => Err(Fault::after_sending(Kind::TimedOut)),
    }
}

/// Returns whether the answer carries the identifier of this attempt.
pub(crate) fn matches_attempt(response: &Response<Incoming>, attempt: Attempt) -> bool {
    let expected = attempt.to_string();
    response.headers().get(ATTEMPT_HEADER).and_then(|value| value.to_str().ok())
        == Some(expected.as_str())
}

/// Returns the header value of an attempt.
pub(crate) fn attempt_value(attempt: Attempt) -> HeaderValue {
    HeaderValue::from_str(&attempt.to_string()).expect("attempt identifiers are ASCII")
}

/// Reads a complete body, with a limit on its size and a timeout between its frames.
pub(crate) async fn read_body(
    body: Incoming,
    limit: usize,
    between_bytes: Duration,
) -> Result<Bytes, Fault> {
    let mut body = Limited::new(body, limit);
    let mut bytes = Vec::new();
    loop {
        match time::timeout(between_bytes, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
            Ok(None) => return Ok(Bytes::from(bytes)),
            Ok(Some(Err(_))) => return Err(Fault::after_sending(Kind::Broken)),
            Err(_) => return Err(Fault::after_sending(Kind::TimedOut)),
        }
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, Fault> {
    let connected = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connected else { return Err(Fault::unreachable()) };
    let socket = SockRef::from(&stream);
    let configured =
        socket.set_tcp_nodelay(true).and(socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = configured {
        log::debug!("front: cannot set the socket options of a connection to a runner: {error}");
    }
    Ok(stream)
}

/// A load report as a runner sends it.
#[derive(Debug, Clone, Copy, Deserialize)]
struct Report {
    running: u32,
    waiting: u32,
    warm: bool,
    age_ms: u64,
    sequence: u64,
}

/// Requests the load report of a runner; `None` when it does not answer within `timeout`.
pub async fn fetch_load(
    tasks: &TaskTracker,
    address: SocketAddr,
    timeout: Duration,
) -> Option<sched::Load> {
    let request = Request::get("/load").header("host", "runner").body(Full::default()).ok()?;
    let body = async {
        let answer = send_request(tasks, address, request, timeout).await.ok()?;
        let body = read_body(answer.response.into_body(), MAX_REPORT_BYTES, timeout).await.ok();
        drop(answer.connection);
        body
    };
    let body = time::timeout(timeout, body).await.ok()??;
    let report: Report = serde_json::from_slice(&body).ok()?;
    Some(sched::Load {
        running: report.running,
        waiting: report.waiting,
        warm: report.warm,
        age: Duration::from_millis(report.age_ms),
        sequence: report.sequence,
    })
}
