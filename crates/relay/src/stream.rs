//! Forwarding of a runner's stream of events to the caller.
//!
//! A stream that may be resumed is passed on in complete events only, so that another runner can continue after the
//! last of them. Dropping a stream closes the connection to its runner at once.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use balance::Health;
use balance::Kind;
use bytes::Bytes;
use bytes::BytesMut;
use conn::Connection;
use http::response;
use http_body::Body;
use http_body::Frame;
use hyper::body::Incoming;
use tokio::time;
use tokio::time::Sleep;

use crate::Call;
use crate::Router;
use crate::acquire::Permit;
use crate::acquire::SOUND_AFTER;
use crate::buffer::Reservation;
use crate::event;
use crate::forward;
use crate::forward::AttemptHistory;
use crate::forward::Reply;
use crate::sse;

/// Interval between two checks for the deadline and for unresponsive runners.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a runner may send no data before a stream that may be resumed moves to another runner.
const DATA_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a runner may send no data before its first event, in latency targets of the route.
const FIRST_DATA_TIMEOUT_TARGETS: u32 = 3;
/// Minimum number of events of an answer from which the time per token is measured.
const MIN_TIMED_EVENTS: u32 = 6;
/// The reason for a stream whose connection ended before the stream did.
const BROKEN: &str = "broken";
/// Maximum size of an incomplete event that is held back, in bytes.
const MAX_PARTIAL_BYTES: usize = 1 << 20;

/// The reason why a stream ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Error {
    /// The runner broke the stream off and no other runner can resume it.
    Broken,
    /// The deadline of the request has passed.
    Timeout,
}

impl std::error::Error for Error {}

type ResumeFuture = Pin<Box<dyn Future<Output = Option<(Reply, AttemptHistory)>>>>;

/// The connection to the runner that currently sends the events.
struct Source {
    permit: Permit,
    connection: Connection,
    body: Incoming,
    keep_alive: Option<Duration>,
    sent_at: Duration,
}

/// A stream of events that is forwarded to a caller.
pub struct Stream {
    router: Rc<Router>,
    call: Rc<Call>,
    source: Option<Source>,
    resuming: Option<ResumeFuture>,
    history: Option<AttemptHistory>,
    partial: BytesMut,
    partial_reservation: Reservation,
    /// The last bytes of a stream that is passed on as it arrives.
    tail: sse::Tail,
    last_event: Option<String>,
    last_contact: Duration,
    has_data: bool,
    first_at: Duration,
    events: u32,
    is_sound: bool,
    /// The error that ends the stream.
    error: Option<Error>,
    check_timer: Pin<Box<Sleep>>,
}

impl Stream {
    /// Creates the stream of an answer whose head has arrived.
    pub(crate) fn new(
        router: &Rc<Router>,
        call: &Rc<Call>,
        reply: Reply,
        runs: u32,
    ) -> (response::Parts, Self) {
        let head = reply.head.clone();
        let history = AttemptHistory {
            sends: runs,
            runs,
            rejections: 0,
            avoid: vec![reply.permit.grant.runner],
            probes: None,
        };
        let stream = Self {
            router: Rc::clone(router),
            call: Rc::clone(call),
            last_contact: reply.sent_at,
            source: Some(Source::new(router, reply)),
            resuming: None,
            history: Some(history),
            partial: BytesMut::new(),
            partial_reservation: router.buffer.reservation(),
            tail: sse::Tail::default(),
            last_event: None,
            has_data: false,
            first_at: Duration::ZERO,
            events: 0,
            is_sound: false,
            error: None,
            check_timer: Box::pin(time::sleep(CHECK_INTERVAL)),
        };
        (head, stream)
    }

    /// Handles bytes of the runner and returns those that may be passed on.
    fn handle_data(&mut self, bytes: Bytes) -> Option<Bytes> {
        let now = self.router.now();
        if !self.has_data {
            self.has_data = true;
            self.first_at = now;
            self.last_contact = now;
            self.events = 0;
            if let Some(source) = &mut self.source {
                let took = now.saturating_sub(source.sent_at);
                source.permit.record_first_token(took);
            }
        }
        self.record_sound();
        self.events += sse::count_events(&bytes);
        if self.call.route.kind != Kind::Resumable {
            self.tail.push(&bytes);
            self.last_contact = now;
            return Some(bytes);
        }
        let events = self.take_events(bytes);
        if events.is_empty() {
            return None;
        }
        self.record_events(now, &events);
        Some(events)
    }

    /// Adds bytes to the incomplete event and returns the events that are complete.
    fn take_events(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() && sse::complete_length(&bytes) == bytes.len() {
            return bytes;
        }
        // What came before has no complete event, so only an end that reaches into the new bytes can complete one.
        let searched = self.partial.len().saturating_sub(sse::TAIL_BYTES);
        self.partial.extend_from_slice(&bytes);
        let length = match sse::complete_length(&self.partial[searched..]) {
            0 => 0,
            length => searched + length,
        };
        let events = self.partial.split_to(length).freeze();
        if self.partial.is_empty() {
            self.partial_reservation = self.router.buffer.reservation();
        }
        events
    }

    /// Records complete events; bytes of an incomplete one are no sign that the runner makes progress.
    fn record_events(&mut self, now: Duration, events: &[u8]) {
        self.last_contact = now;
        if let Some(id) = sse::last_id(events) {
            self.last_event = Some(id.to_owned());
        }
    }

    /// Records once that the request has not crashed its runner, when data has been arriving for a while.
    fn record_sound(&mut self) {
        if self.is_sound || self.data_for().is_none_or(|data_for| data_for < SOUND_AFTER) {
            return;
        }
        self.is_sound = true;
        if let Some(source) = &self.source {
            source.permit.record_sound();
        }
    }

    /// Handles the end of the runner's answer; returns whether the stream is complete.
    fn handle_end(&mut self) -> bool {
        let Some(mut source) = self.source.take() else { return false };
        if !self.partial.is_empty() || !self.tail.is_between_events() {
            source.permit.update_health(Health::record_failure);
            return false;
        }
        source.connection.mark_used();
        if self.events >= MIN_TIMED_EVENTS {
            let took = self.last_contact.saturating_sub(self.first_at);
            source
                .permit
                .record_token_time(took / ((self.events - 1) * self.call.event_tokens.max(1)));
        }
        source.permit.record_answer();
        source.permit.record_sound();
        let runner = source.permit.grant.runner;
        self.router.pool.borrow_mut().put(runner, source.connection, source.keep_alive);
        self.log("stream_finished", String::new());
        true
    }

    /// Handles a runner that broke off or is unresponsive; begins to resume at another runner if that is allowed.
    fn handle_break(&mut self, reason: &str) -> Result<(), Error> {
        if let Some(source) = self.source.take() {
            if reason == BROKEN {
                source.permit.record_break(self.data_for());
            }
            source.permit.update_health(Health::record_unreachable);
            self.router.pool.borrow_mut().discard(source.permit.grant.runner);
        }
        self.partial.clear();
        let history = self.history.take().filter(|_| self.call.route.kind == Kind::Resumable);
        let Some(history) = history else {
            self.log("stream_broken", reason.to_owned());
            return Err(Error::Broken);
        };
        self.log("stream_resuming", reason.to_owned());
        let (router, call) = (Rc::clone(&self.router), Rc::clone(&self.call));
        let last_event = self.last_event.clone();
        self.resuming = Some(Box::pin(forward::resume(router, call, history, last_event)));
        Ok(())
    }

    /// Returns the time since the first data of the runner, if there was any.
    fn data_for(&self) -> Option<Duration> {
        self.has_data.then(|| self.router.now().saturating_sub(self.first_at))
    }

    fn handle_resumed(&mut self, resumed: Option<(Reply, AttemptHistory)>) -> Result<(), Error> {
        self.resuming = None;
        let Some((reply, history)) = resumed else {
            self.log("stream_broken", "no other runner could resume the stream".to_owned());
            return Err(Error::Broken);
        };
        self.history = Some(history);
        self.last_contact = self.router.now();
        self.has_data = false;
        self.is_sound = false;
        self.source = Some(Source::new(&self.router, reply));
        Ok(())
    }

    /// Checks the deadline, and how long the runner has sent no data.
    fn check_timeouts(&mut self, context: &mut Context<'_>) -> Result<(), Error> {
        while self.check_timer.as_mut().poll(context).is_ready() {
            self.check_timer.as_mut().reset(time::Instant::now() + CHECK_INTERVAL);
            let now = self.router.now();
            if now >= self.call.deadline {
                self.log("stream_broken", "timeout".to_owned());
                return Err(Error::Timeout);
            }
            let data_timeout = if self.has_data {
                DATA_TIMEOUT
            } else {
                DATA_TIMEOUT.max(self.call.route.target * FIRST_DATA_TIMEOUT_TARGETS)
            };
            let is_unresponsive = now > self.last_contact + data_timeout && self.source.is_some();
            if is_unresponsive && self.may_resume() {
                self.handle_break("silent")?;
            }
        }
        Ok(())
    }

    fn may_resume(&self) -> bool {
        let has_more =
            self.history.as_ref().is_some_and(|history| history.runs < self.call.route.attempts);
        self.call.route.kind == Kind::Resumable && has_more
    }

    fn log(&self, event: &'static str, outcome: String) {
        let mut line = forward::line(&self.call, event).outcome(outcome);
        line.took_ms = Some(event::millis(self.router.now().saturating_sub(self.call.arrived)));
        self.router.log(line);
    }

    /// Polls for the next bytes, unless the stream has timed out.
    fn poll_data(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        if let Err(error) = self.check_timeouts(context) {
            self.source = None;
            return Poll::Ready(Some(Err(error)));
        }
        self.poll_source(context)
    }

    /// Returns whether the incomplete event is not too large.
    fn reserve_partial(&mut self) -> bool {
        let bytes = self.partial.len();
        bytes <= MAX_PARTIAL_BYTES && self.partial_reservation.resize(bytes)
    }

    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        loop {
            if let Some(resuming) = &mut self.resuming {
                let resumed = std::task::ready!(resuming.as_mut().poll(context));
                if let Err(error) = self.handle_resumed(resumed) {
                    return Poll::Ready(Some(Err(error)));
                }
            }
            let Some(source) = &mut self.source else { return Poll::Ready(None) };
            let frame = source.connection.poll_frame(&mut source.body, context);
            let result = match std::task::ready!(frame) {
                Some(Ok(frame)) => match frame.into_data().map(|bytes| self.handle_data(bytes)) {
                    Ok(Some(bytes)) => return Poll::Ready(Some(Ok(bytes))),
                    _ if !self.reserve_partial() => self.handle_break("event too large"),
                    _ => continue,
                },
                Some(Err(_)) => self.handle_break(BROKEN),
                None if self.handle_end() => return Poll::Ready(None),
                None => self.handle_break("unfinished event"),
            };
            if let Err(error) = result {
                return Poll::Ready(Some(Err(error)));
            }
        }
    }
}

impl Source {
    fn new(router: &Router, reply: Reply) -> Self {
        let keep_alive = (router.protocol.keep_alive)(&reply.head);
        let Reply { permit, connection, body, sent_at, .. } = reply;
        Self { permit, connection, body, keep_alive, sent_at }
    }
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let stream = self.get_mut();
        if let Some(error) = stream.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match stream.poll_data(context) {
            Poll::Ready(Some(Err(error))) => {
                // The connection writes what it holds before it learns of the error, which drops the rest.
                stream.error = Some(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled.map(|next| next.map(|bytes| bytes.map(Frame::data))),
        }
    }
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Stream").field("call", &self.call.id).finish_non_exhaustive()
    }
}
