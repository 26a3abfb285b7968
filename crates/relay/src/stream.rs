//! Forwarding of a runner's stream of events to the caller.
//!
//! A stream is passed on in complete events only, so that another runner can continue after the last of them where that
//! is allowed, and nothing else reaches the caller. Dropping a stream closes the connection to its runner at once.

mod progress;

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use balance::Health;
use balance::Kind;
use base::Name;
use bytes::Bytes;
use conn::Connection;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
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
use crate::event;
use crate::forward;
use crate::forward::AttemptHistory;
use crate::forward::Reply;
use crate::stream::progress::Progress;

/// Interval between two checks for the deadline and for unresponsive runners.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a runner may send no data before a stream that may be resumed moves to another runner.
const DATA_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a runner may send no data before its first event, in latency targets of the route.
const FIRST_DATA_TIMEOUT_TARGETS: u32 = 3;

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

/// The reason why the present runner can't go on with a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum Break {
    /// The connection broke.
    Broken,
    /// The stream ended before its first event or inside one.
    UnfinishedEvent,
    /// Bytes came that are no part of a stream.
    ForeignBytes,
    /// An event is too large to be held back.
    EventTooLarge,
    /// No event has come for too long.
    Silent,
    /// The runner is about to end, since another version of its service replaces it.
    Replaced,
}

type ResumeFuture = Pin<Box<dyn Future<Output = Option<(Reply, AttemptHistory)>>>>;
type PermitFuture = Pin<Box<dyn Future<Output = Option<Permit>>>>;

/// The connection to the runner that currently sends the events.
struct Source {
    permit: Permit,
    connection: Connection,
    body: Incoming,
    /// Whether the head states where the body ends, so that it is complete without the end of the connection.
    is_framed: bool,
    keep_alive: Option<Duration>,
    sent_at: Duration,
}

/// A stream of events that is forwarded to a caller.
pub struct Stream {
    router: Rc<Router>,
    call: Rc<Call>,
    source: Option<Source>,
    /// The wait for another runner while this one is silent.
    moving: Option<(Break, PermitFuture)>,
    resuming: Option<ResumeFuture>,
    history: Option<AttemptHistory>,
    progress: Progress,
    is_sound: bool,
    /// The time from the arrival of the request to the first event that was passed on.
    first_event_after: Option<Duration>,
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
            progress: Progress::new(reply.sent_at, router.buffer.reservation(call.owner)),
            source: Some(Source::new(router, reply)),
            moving: None,
            resuming: None,
            history: Some(history),
            is_sound: false,
            first_event_after: None,
            error: None,
            check_timer: Box::pin(time::sleep(CHECK_INTERVAL)),
        };
        (head, stream)
    }

    /// Handles bytes of the runner and returns those that may be passed on.
    fn handle_data(&mut self, bytes: Bytes) -> Option<Bytes> {
        let now = self.router.now();
        let is_first = self.progress.record_data(now, &bytes);
        if let Some(source) = self.source.as_mut().filter(|_| is_first) {
            let took = now.saturating_sub(source.sent_at);
            source.permit.record_first_token(took);
        }
        self.record_sound(now);
        let events = self.progress.take_events(now, bytes);
        if events.is_empty() {
            return None;
        }
        self.moving.take_if(|(reason, _)| *reason == Break::Silent);
        if self.first_event_after.is_none() {
            let took = now.saturating_sub(self.call.arrived);
            self.first_event_after = Some(took);
            self.router.metrics.record_first_event(&self.call.route.name, took);
        }
        Some(events)
    }

    /// Records once that the request has not crashed its runner, when data has been arriving for a while.
    fn record_sound(&mut self, now: Duration) {
        let data_for = self.progress.data_for(now);
        if self.is_sound || data_for.is_none_or(|data_for| data_for < SOUND_AFTER) {
            return;
        }
        self.is_sound = true;
        if let Some(source) = &self.source {
            source.permit.record_sound();
        }
    }

    /// Handles the end of the runner's answer; returns whether the stream is complete.
    fn handle_end(&mut self) -> bool {
        // The end of its connection alone does not tell a complete stream from a runner that has crashed.
        let is_marked =
            self.source.as_ref().is_some_and(|source| source.is_framed) || self.progress.has_data();
        if !is_marked || !self.progress.is_between_events() {
            return false;
        }
        let Some(mut source) = self.source.take() else { return false };
        source.connection.mark_used();
        if let Some(each) = self.progress.token_time(self.call.event_tokens) {
            source.permit.record_token_time(each);
        }
        source.permit.record_answer();
        source.permit.record_sound();
        source.permit.record_response(false);
        let runner = source.permit.grant.runner;
        let source_id = source.permit.grant.id.clone();
        self.router.pool.borrow_mut().put(runner, source.connection, source.keep_alive);
        self.log_finished(&source_id);
        true
    }

    /// Handles a runner that broke off or is unresponsive; begins to resume at another runner if that is allowed.
    ///
    /// `permit` is that for the other runner, if the stream has waited for one.
    fn handle_break(&mut self, reason: Break, permit: Option<Permit>) -> Result<(), Error> {
        self.moving = None;
        if let Some(mut source) = self.source.take() {
            if matches!(reason, Break::Broken | Break::UnfinishedEvent) {
                source.permit.record_break(self.progress.data_for(self.router.now()));
                source.permit.record_broken_response();
            }
            source.permit.record_response(reason != Break::Replaced);
            if reason != Break::Replaced {
                source.permit.update_health(Health::record_unreachable);
            }
            self.router.pool.borrow_mut().discard(source.permit.grant.runner);
        }
        self.progress.drop_partial();
        let history = self.history.take().filter(|_| self.call.route.kind == Kind::Resumable);
        let Some(history) = history else {
            self.log("stream_broken", reason.to_string());
            return Err(Error::Broken);
        };
        self.log("stream_resuming", reason.to_string());
        let (router, call) = (Rc::clone(&self.router), Rc::clone(&self.call));
        let last_event = self.progress.last_event();
        let resuming = forward::resume(router, call, history, last_event, permit);
        self.resuming = Some(Box::pin(resuming));
        Ok(())
    }

    fn handle_resumed(&mut self, resumed: Option<(Reply, AttemptHistory)>) -> Result<(), Error> {
        self.resuming = None;
        let Some((reply, history)) = resumed else {
            self.log("stream_broken", "no other runner could resume the stream".to_owned());
            return Err(Error::Broken);
        };
        self.history = Some(history);
        self.progress.restart(self.router.now());
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
                if let Some(source) = &mut self.source {
                    source.permit.record_response(true);
                }
                return Err(Error::Timeout);
            }
            if self.is_unresponsive(now) && self.may_resume() {
                self.begin_move(Break::Silent);
            } else if self.is_replaced(now) && self.may_resume() {
                self.begin_move(Break::Replaced);
            }
        }
        Ok(())
    }

    fn is_unresponsive(&self, now: Duration) -> bool {
        let timeout = if self.progress.has_data() {
            DATA_TIMEOUT
        } else {
            DATA_TIMEOUT.max(self.call.route.target * FIRST_DATA_TIMEOUT_TARGETS)
        };
        self.source.is_some() && self.progress.silent_for(now) > timeout
    }

    /// Returns whether the runner is about to end, since another version replaces it.
    fn is_replaced(&self, now: Duration) -> bool {
        let version = self.source.as_ref().map(|source| source.permit.grant.version.as_ref());
        let core = self.router.core.borrow();
        version.is_some_and(|version| core.rollouts.ends_soon(now, &self.call.service, version))
    }

    fn may_resume(&self) -> bool {
        let has_more =
            self.history.as_ref().is_some_and(|history| history.runs < self.call.route.attempts);
        self.call.route.kind == Kind::Resumable && has_more
    }

    /// Begins to wait for another runner; the present one may go on meanwhile.
    fn begin_move(&mut self, reason: Break) {
        let Some(history) = self.history.clone().filter(|_| self.moving.is_none()) else { return };
        let (router, call) = (Rc::clone(&self.router), Rc::clone(&self.call));
        self.moving = Some((
            reason,
            Box::pin(async move { forward::permit_to_resume(&router, &call, &history).await }),
        ));
    }

    /// Moves to another runner once one is free.
    fn poll_move(&mut self, context: &mut Context<'_>) -> Result<(), Error> {
        let Some((reason, moving)) = &mut self.moving else { return Ok(()) };
        let reason = *reason;
        match moving.as_mut().poll(context) {
            Poll::Pending => Ok(()),
            Poll::Ready(Some(permit)) => self.handle_break(reason, Some(permit)),
            Poll::Ready(None) => {
                self.moving = None;
                self.progress.forgive_silence(self.router.now());
                Ok(())
            }
        }
    }

    /// Logs and counts a complete stream with its time to the first event and its longest pause.
    fn log_finished(&self, runner: &Name) {
        let pause = self.progress.longest_pause();
        self.router.metrics.record_pause(&self.call.route.name, pause);
        let first = self.first_event_after.unwrap_or_default();
        let mut line = forward::line(&self.call, "stream_finished").subject(runner.as_str());
        line.took_ms = Some(event::millis(self.router.now().saturating_sub(self.call.arrived)));
        let (first, pause) = (event::millis(first), event::millis(pause));
        line.outcome = Some(format!("first event after {first} ms, longest pause {pause} ms"));
        self.router.log(line);
    }

    fn log(&self, event: &'static str, outcome: String) {
        let mut line = forward::line(&self.call, event).outcome(outcome);
        line.took_ms = Some(event::millis(self.router.now().saturating_sub(self.call.arrived)));
        self.router.log(line);
    }

    /// Polls for the next bytes, unless the stream has timed out.
    fn poll_data(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        let checked = self.check_timeouts(context).and_then(|()| self.poll_move(context));
        if let Err(error) = checked {
            self.source = None;
            return Poll::Ready(Some(Err(error)));
        }
        self.poll_source(context)
    }

    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        loop {
            if let Some(resuming) = &mut self.resuming {
                let resumed = std::task::ready!(resuming.as_mut().poll(context));
                if let Err(error) = self.handle_resumed(resumed) {
                    return Poll::Ready(Some(Err(error)));
                }
            }
            if self.progress.is_foreign() && self.source.is_some() {
                if let Err(error) = self.handle_break(Break::ForeignBytes, None) {
                    return Poll::Ready(Some(Err(error)));
                }
                continue;
            }
            let Some(source) = &mut self.source else { return Poll::Ready(None) };
            let frame = source.connection.poll_frame(&mut source.body, context);
            let result = match std::task::ready!(frame) {
                Some(Ok(frame)) => match frame.into_data().map(|bytes| self.handle_data(bytes)) {
                    Ok(Some(bytes)) => return Poll::Ready(Some(Ok(bytes))),
                    _ if !self.progress.reserve_partial() => {
                        self.handle_break(Break::EventTooLarge, None)
                    }
                    _ => continue,
                },
                Some(Err(_)) => self.handle_break(Break::Broken, None),
                None if self.handle_end() => return Poll::Ready(None),
                None => self.handle_break(Break::UnfinishedEvent, None),
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
        let headers = &reply.head.headers;
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        let Reply { permit, connection, body, sent_at, .. } = reply;
        Self { permit, connection, body, is_framed, keep_alive, sent_at }
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
