//! The sending side of the answer to one call.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::HeaderValue;
use http::Response;
use http::header::CONTENT_TYPE;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time;

use crate::Problem;

/// Number of events buffered for a slow caller; beyond it, reading from the runner pauses.
const BUFFERED_EVENTS: usize = 16;
/// Timeout for a caller that reads no bytes; afterwards its call is cancelled.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The sender of the answer to a call, used once.
#[derive(Debug)]
pub(crate) struct Reply {
    head: oneshot::Sender<Response<Body>>,
}

/// The sender of the events of a streamed answer.
#[derive(Debug)]
pub(crate) struct Stream {
    events: mpsc::Sender<Result<Frame<Bytes>, io::Error>>,
}

/// The caller has disconnected or reads no bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Disconnected;

impl Reply {
    /// Creates a reply and the receiver of its response.
    pub(crate) fn new() -> (Self, oneshot::Receiver<Response<Body>>) {
        let (head, receiver) = oneshot::channel();
        (Self { head }, receiver)
    }

    /// Completes when the caller disconnects.
    pub(crate) async fn disconnected(&mut self) {
        self.head.closed().await;
    }

    /// Sends a complete answer.
    pub(crate) fn send(self, response: Response<Body>) -> Result<(), Disconnected> {
        self.head.send(response).map_err(|_| Disconnected)
    }

    /// Sends a problem.
    pub(crate) fn refuse(self, problem: &Problem) -> Result<(), Disconnected> {
        self.send(problem.response())
    }

    /// Starts a streamed answer of server-sent events.
    pub(crate) fn stream(self) -> Result<Stream, Disconnected> {
        let (events, mut receiver) = mpsc::channel(BUFFERED_EVENTS);
        let body = StreamBody::new(stream::poll_fn(move |context| receiver.poll_recv(context)))
            .boxed_unsync();
        let mut response = Response::new(body);
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        self.send(response)?;
        Ok(Stream { events })
    }
}

impl Stream {
    /// Completes when the caller disconnects.
    pub(crate) async fn disconnected(&self) {
        self.events.closed().await;
    }

    /// Sends one event, waiting for a slow caller up to a timeout.
    pub(crate) async fn send_event(&self, data: &str) -> Result<(), Disconnected> {
        self.write(format!("data: {data}\n\n")).await
    }

    /// Ends the stream with an explicit error event.
    pub(crate) async fn send_problem(&self, problem: &Problem) -> Result<(), Disconnected> {
        self.write(format!("event: error\ndata: {}\n\n", problem.json())).await
    }

    async fn write(&self, text: String) -> Result<(), Disconnected> {
        let frame = Frame::data(Bytes::from(text));
        match time::timeout(STALL_TIMEOUT, self.events.send(Ok(frame))).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(Disconnected),
        }
    }
}
