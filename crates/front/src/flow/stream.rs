//! Model calls whose answer is streamed, resumed on another runner when a stream breaks.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::Cost;
use base::EventKind;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::StatusCode;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time;

use super::Ending;
use super::attempts::Attempts;
use super::attempts::Stop;
use super::request;
use super::whole;
use super::whole::Answer;
use crate::Context;
use crate::Problem;
use crate::call::Call;
use crate::reply::Reply;
use crate::reply::Stream;
use crate::runner;
use crate::runner::Exchange;
use crate::runner::Fault;
use crate::runner::Kind;
use crate::seat::Seat;

/// Data of the last event of a whole answer.
const DONE: &str = "[DONE]";

/// The way to the caller, before and after the first event.
#[derive(Debug)]
enum Way {
    /// Nothing has been sent.
    Head(Reply),
    /// Events are being sent.
    Events(Stream),
    /// The caller is gone or answered.
    Closed,
}

/// How one attempt at a stream ended.
#[derive(Debug)]
enum Pass {
    /// The whole answer was handed over.
    Whole,
    /// The runner gave an answer that is not a stream.
    Plain(Answer),
    /// The runner was overloaded.
    Overloaded,
    /// The runner will not go on where another one stopped.
    NotResumed,
    /// The caller hung up.
    HungUp,
}

/// The index of an event of a model's answer.
#[derive(Debug, Deserialize)]
struct Token {
    index: u64,
}

/// What has been handed over so far.
#[derive(Debug)]
struct Progress {
    way: Way,
    next: u64,
}

/// Serves a streamed call: whole, or ended by an explicit error event.
pub(super) async fn serve(context: &Arc<Context>, call: &Call, reply: Reply) -> Ending {
    let mut attempts = Attempts::new(context, call);
    let mut progress = Progress { way: Way::Head(reply), next: 0 };
    loop {
        let mut seat = match attempts.acquire(progress.way.hung_up()).await {
            Ok(seat) => seat,
            Err(Stop::HungUp) => return Ending::HungUp,
            Err(Stop::Refused(problem)) => return progress.refuse(problem).await,
        };
        match pass(context, call, &mut seat, &mut progress).await {
            Ok(Pass::Whole) => {
                attempts.answered(seat);
                return Ending::Answered;
            }
            Ok(Pass::Plain(answer)) => {
                attempts.answered(seat);
                return progress.answer(answer);
            }
            Ok(Pass::HungUp) => return Ending::HungUp,
            Ok(Pass::Overloaded) => {
                attempts.overloaded(seat);
            }
            Ok(Pass::NotResumed) => {
                attempts.answered(seat);
                let problem = attempts
                    .problem(StatusCode::BAD_GATEWAY, "the stream broke and cannot be resumed");
                return progress.refuse(problem.at_least(base::Verdict::MayHaveRun)).await;
            }
            Err(fault) => {
                attempts.failed(seat, fault);
            }
        }
    }
}

async fn pass(
    context: &Context,
    call: &Call,
    seat: &mut Seat,
    progress: &mut Progress,
) -> Result<Pass, Fault> {
    let timeouts = &call.service().timeouts;
    let first_byte = Duration::from_millis(timeouts.first_byte_ms);
    let workspace = &call.caller.workspace;
    let kind = if progress.next > 0 { EventKind::Resumed } else { EventKind::Sent };
    context.record_event(
        kind,
        call.request,
        workspace,
        Some(seat.runner()),
        &format!("from event {}", progress.next),
    );
    let sent = Instant::now();
    let asked = request::build(call, seat, progress.next);
    let exchange = tokio::select! {
        exchange = runner::exchange(&context.tasks, seat.address(), asked, first_byte) => exchange?,
        () = progress.way.hung_up() => return Ok(Pass::HungUp),
    };
    if !runner::belongs_to(&exchange.response, request::attempt_of(seat)) {
        return Err(Fault::after_sending(Kind::Crossed));
    }
    match exchange.response.status() {
        StatusCode::OK => relay(context, call, seat, progress, exchange, sent).await,
        StatusCode::SERVICE_UNAVAILABLE => Ok(Pass::Overloaded),
        _ if progress.next > 0 => Ok(Pass::NotResumed),
        status => plain(exchange, status, first_byte).await,
    }
}

async fn plain(
    exchange: Exchange,
    status: StatusCode,
    between_bytes: Duration,
) -> Result<Pass, Fault> {
    let content_type = exchange.response.headers().get(http::header::CONTENT_TYPE).cloned();
    let body =
        runner::read_whole(exchange.response.into_body(), whole::ANSWER_BYTES, between_bytes)
            .await?;
    Ok(Pass::Plain(Answer { status, content_type, body }))
}

async fn relay(
    context: &Context,
    call: &Call,
    seat: &mut Seat,
    progress: &mut Progress,
    exchange: Exchange,
    sent: Instant,
) -> Result<Pass, Fault> {
    let timeouts = &call.service().timeouts;
    let mut limit = Duration::from_millis(timeouts.first_byte_ms);
    let mut events = BodyDataStream::<Incoming>::new(exchange.response.into_body()).eventsource();
    let begun_at = progress.next;
    loop {
        let next = tokio::select! {
            next = time::timeout(limit, events.next()) => next,
            () = progress.way.hung_up() => return Ok(Pass::HungUp),
        };
        let event = match next {
            Ok(Some(Ok(event))) => event,
            Ok(_) => return Err(Fault::after_sending(Kind::Broken)),
            Err(_) => return Err(Fault::after_sending(Kind::Silent)),
        };
        if event.data == DONE {
            return Ok(progress.finish().await);
        }
        let token: Token =
            serde_json::from_str(&event.data).map_err(|_| Fault::after_sending(Kind::Crossed))?;
        if token.index != progress.next {
            return Err(Fault::after_sending(Kind::Crossed));
        }
        if token.index == begun_at {
            seat.first_token(sent.elapsed());
            context.record_event(
                EventKind::FirstByte,
                call.request,
                &call.caller.workspace,
                Some(seat.runner()),
                "",
            );
            limit = Duration::from_millis(timeouts.between_bytes_ms);
        }
        if !progress.hand_over(&event.data).await {
            return Ok(Pass::HungUp);
        }
        seat.use_work(Cost::tokens(progress.next - begun_at));
    }
}

impl Way {
    async fn hung_up(&mut self) {
        match self {
            Self::Head(reply) => reply.hung_up().await,
            Self::Events(stream) => stream.hung_up().await,
            Self::Closed => (),
        }
    }
}

impl Progress {
    /// Hands one event over; returns false when the caller is gone.
    async fn hand_over(&mut self, data: &str) -> bool {
        self.begin();
        let Way::Events(stream) = &self.way else { return false };
        self.next += 1;
        stream.event(data).await.is_ok()
    }

    async fn finish(&mut self) -> Pass {
        self.begin();
        match &self.way {
            Way::Events(stream) if stream.event(DONE).await.is_ok() => Pass::Whole,
            _ => Pass::HungUp,
        }
    }

    fn begin(&mut self) {
        if let Way::Head(_) = &self.way
            && let Way::Head(reply) = std::mem::replace(&mut self.way, Way::Closed)
            && let Ok(stream) = reply.stream()
        {
            self.way = Way::Events(stream);
        }
    }

    fn answer(self, answer: Answer) -> Ending {
        let Way::Head(reply) = self.way else { return Ending::HungUp };
        match reply.send(answer.response()) {
            Ok(()) => Ending::Answered,
            Err(hung_up) => hung_up.into(),
        }
    }

    async fn refuse(self, problem: Problem) -> Ending {
        let told = match self.way {
            Way::Head(reply) => reply.refuse(&problem).is_ok(),
            Way::Events(stream) => stream.fail(&problem).await.is_ok(),
            Way::Closed => false,
        };
        if told { Ending::Refused(problem) } else { Ending::HungUp }
    }
}
