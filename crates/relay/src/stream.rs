//! A runner's stream of events on its way to the caller.
//!
//! A stream that may be resumed is handed over in whole events only, so that it can go on at another runner behind the
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
use crate::event;
use crate::forward;
use crate::forward::Opened;
use crate::forward::Trail;
use crate::sse;

/// Time between two looks at the deadline and at silent runners.
const LOOK: Duration = Duration::from_millis(250);
/// For how long a runner may be silent before a stream that may be resumed goes on elsewhere.
const SILENCE: Duration = Duration::from_millis(1_200);
/// For how long a runner may be silent before its first event, in targets of the route.
const FIRST_SILENCE: u32 = 3;
/// Events of an answer from which the time of a token can be told.
const PACED_EVENTS: u32 = 6;
/// The reason of a stream whose connection has ended before it.
const BROKEN: &str = "broken";
/// Bytes of an unfinished event that are held back.
const EVENT_BYTES: usize = 1 << 20;

/// Why a stream ends early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Break {
    /// The runner has broken off and the stream can't go on elsewhere.
    Broken,
    /// The time of the request has passed.
    Timeout,
}

impl std::error::Error for Break {}

type Resuming = Pin<Box<dyn Future<Output = Option<(Opened, Trail)>>>>;

/// The runner that sends events now.
struct Source {
    permit: Permit,
    connection: Connection,
    body: Incoming,
    keep_alive: Option<Duration>,
    sent_at: Duration,
}

/// A stream of events.
pub struct Stream {
    router: Rc<Router>,
    call: Rc<Call>,
    source: Option<Source>,
    resuming: Option<Resuming>,
    trail: Option<Trail>,
    partial: BytesMut,
    last_event: Option<String>,
    heard: Duration,
    has_begun: bool,
    first_at: Duration,
    events: u32,
    look: Pin<Box<Sleep>>,
}

impl Stream {
    /// Takes over an answer whose head has arrived.
    pub(crate) fn begin(
        router: &Rc<Router>,
        call: &Rc<Call>,
        opened: Opened,
        runs: u32,
    ) -> (response::Parts, Self) {
        let head = opened.head.clone();
        let trail =
            Trail { sends: runs, runs, rejections: 0, avoid: vec![opened.permit.grant.runner] };
        let stream = Self {
            router: Rc::clone(router),
            call: Rc::clone(call),
            heard: opened.sent_at,
            source: Some(Source::new(router, opened)),
            resuming: None,
            trail: Some(trail),
            partial: BytesMut::new(),
            last_event: None,
            has_begun: false,
            first_at: Duration::ZERO,
            events: 0,
            look: Box::pin(time::sleep(LOOK)),
        };
        (head, stream)
    }

    /// Takes in bytes of the runner and returns those that may be handed over.
    fn received(&mut self, bytes: Bytes) -> Option<Bytes> {
        let now = self.router.now();
        self.heard = now;
        if !self.has_begun {
            self.has_begun = true;
            self.first_at = now;
            self.events = 0;
            if let Some(source) = &mut self.source {
                let took = now.saturating_sub(source.sent_at);
                source.permit.first_token(took);
            }
        }
        self.events += sse::events(&bytes);
        if self.call.route.kind != Kind::Resumable {
            return Some(bytes);
        }
        let whole = if self.partial.is_empty() { sse::whole_length(&bytes) } else { 0 };
        if whole == bytes.len() {
            self.remember(&bytes);
            return Some(bytes);
        }
        self.partial.extend_from_slice(&bytes);
        let whole = sse::whole_length(&self.partial);
        let events = self.partial.split_to(whole).freeze();
        self.remember(&events);
        Some(events).filter(|events| !events.is_empty())
    }

    fn remember(&mut self, events: &[u8]) {
        if let Some(id) = sse::last_id(events) {
            self.last_event = Some(id.to_owned());
        }
    }

    /// Takes in that the runner has ended its answer; returns whether the stream is whole.
    fn finished(&mut self) -> bool {
        let Some(mut source) = self.source.take() else { return false };
        if !self.partial.is_empty() {
            source.permit.judge(Health::record_failure);
            return false;
        }
        source.connection.mark_used();
        if self.events >= PACED_EVENTS {
            let took = self.heard.saturating_sub(self.first_at);
            source.permit.tokens(took / ((self.events - 1) * self.call.event_tokens.max(1)));
        }
        source.permit.answered();
        let runner = source.permit.grant.runner;
        self.router.pool.borrow_mut().put(runner, source.connection, source.keep_alive);
        self.log("stream_finished", String::new());
        true
    }

    /// Takes in that the runner has broken off or is silent; begins to go on elsewhere if that is allowed.
    fn broken(&mut self, reason: &str) -> Result<(), Break> {
        if let Some(source) = self.source.take() {
            if reason == BROKEN {
                source.permit.crashed();
            }
            source.permit.judge(Health::record_unreachable);
            self.router.pool.borrow_mut().forget(source.permit.grant.runner);
        }
        self.partial.clear();
        let trail = self.trail.take().filter(|_| self.call.route.kind == Kind::Resumable);
        let Some(trail) = trail else {
            self.log("stream_broken", reason.to_owned());
            return Err(Break::Broken);
        };
        self.log("stream_resuming", reason.to_owned());
        let (router, call) = (Rc::clone(&self.router), Rc::clone(&self.call));
        let last_event = self.last_event.clone();
        self.resuming = Some(Box::pin(forward::resume(router, call, trail, last_event)));
        Ok(())
    }

    fn resumed(&mut self, resumed: Option<(Opened, Trail)>) -> Result<(), Break> {
        self.resuming = None;
        let Some((opened, trail)) = resumed else {
            self.log("stream_broken", "no other runner may go on".to_owned());
            return Err(Break::Broken);
        };
        self.trail = Some(trail);
        self.heard = self.router.now();
        self.has_begun = false;
        self.source = Some(Source::new(&self.router, opened));
        Ok(())
    }

    /// Looks at the deadline, and at how long the runner has been silent.
    fn inspect(&mut self, context: &mut Context<'_>) -> Result<(), Break> {
        while self.look.as_mut().poll(context).is_ready() {
            self.look.as_mut().reset(time::Instant::now() + LOOK);
            let now = self.router.now();
            if now >= self.call.deadline {
                self.log("stream_broken", "timeout".to_owned());
                return Err(Break::Timeout);
            }
            let patience = if self.has_begun {
                SILENCE
            } else {
                SILENCE.max(self.call.route.target * FIRST_SILENCE)
            };
            let is_silent = now > self.heard + patience && self.source.is_some();
            if is_silent && self.may_move() {
                self.broken("silent")?;
            }
        }
        Ok(())
    }

    fn may_move(&self) -> bool {
        let has_more =
            self.trail.as_ref().is_some_and(|trail| trail.runs < self.call.route.attempts);
        self.call.route.kind == Kind::Resumable && has_more
    }

    fn log(&self, event: &'static str, outcome: String) {
        let mut line = forward::line(&self.call, event).outcome(outcome);
        line.took_ms = Some(event::millis(self.router.now().saturating_sub(self.call.arrived)));
        self.router.log(line);
    }

    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Break>>> {
        loop {
            if let Some(resuming) = &mut self.resuming {
                let resumed = std::task::ready!(resuming.as_mut().poll(context));
                if let Err(stop) = self.resumed(resumed) {
                    return Poll::Ready(Some(Err(stop)));
                }
            }
            let Some(source) = &mut self.source else { return Poll::Ready(None) };
            let frame = source.connection.poll_frame(&mut source.body, context);
            let stop = match std::task::ready!(frame) {
                Some(Ok(frame)) => match frame.into_data().map(|bytes| self.received(bytes)) {
                    Ok(Some(bytes)) => return Poll::Ready(Some(Ok(bytes))),
                    _ if self.partial.len() > EVENT_BYTES => self.broken("event too large"),
                    _ => continue,
                },
                Some(Err(_)) => self.broken(BROKEN),
                None if self.finished() => return Poll::Ready(None),
                None => self.broken("unfinished event"),
            };
            if let Err(stop) = stop {
                return Poll::Ready(Some(Err(stop)));
            }
        }
    }
}

impl Source {
    fn new(router: &Router, opened: Opened) -> Self {
        let keep_alive = (router.protocol.keep_alive)(&opened.head);
        let Opened { permit, connection, body, sent_at, .. } = opened;
        Self { permit, connection, body, keep_alive, sent_at }
    }
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Break;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Break>>> {
        let stream = self.get_mut();
        if let Err(stop) = stream.inspect(context) {
            stream.source = None;
            return Poll::Ready(Some(Err(stop)));
        }
        stream.poll_source(context).map(|next| next.map(|bytes| bytes.map(Frame::data)))
    }
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Stream").field("call", &self.call.id).finish_non_exhaustive()
    }
}
