//! Model calls whose answer is streamed; a stream that breaks is resumed on another runner.

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

use super::CallOutcome;
use super::attempts::Attempts;
use super::attempts::Stop;
use super::buffered;
use super::buffered::Answer;
use super::request;
use crate::Context;
use crate::Problem;
use crate::call::Call;
use crate::permit::Permit;
use crate::reply::Reply;
use crate::reply::Stream;
use crate::runner;
use crate::runner::Fault;
use crate::runner::Kind;
use crate::runner::PendingResponse;

/// Data of the last event of a complete answer.
const DONE: &str = "[DONE]";

/// The connection to the caller, before and after the first event.
#[derive(Debug)]
enum Output {
    /// Nothing has been sent.
    Head(Reply),
    /// Events are being sent.
    Events(Stream),
    /// The caller has disconnected or was answered.
    Closed,
}

/// The outcome of one attempt of a streamed call.
#[derive(Debug)]
enum StreamOutcome {
    /// The complete answer was sent.
    Complete,
    /// The runner returned an answer that is not a stream.
    NotStreamed(Answer),
    /// The runner was overloaded.
    Overloaded,
    /// The runner cannot resume the stream of another one.
    NotResumed,
    /// The caller disconnected.
    Disconnected,
}

/// The field of an event that numbers it within the answer.
#[derive(Debug, Deserialize)]
struct Token {
    index: u64,
}

/// The progress of the answer to the caller.
#[derive(Debug)]
struct Progress {
    output: Output,
    next_index: u64,
}

/// Serves a streamed call; the stream is complete or ends with an explicit error event.
pub(super) async fn serve(context: &Arc<Context>, call: &Call, reply: Reply) -> CallOutcome {
    let mut attempts = Attempts::new(context, call);
    let mut progress = Progress { output: Output::Head(reply), next_index: 0 };
    loop {
        let mut permit = match attempts.acquire(progress.output.disconnected()).await {
            Ok(permit) => permit,
            Err(Stop::Disconnected) => return CallOutcome::Disconnected,
            Err(Stop::Refused(problem)) => return progress.refuse(problem).await,
        };
        match attempt_stream(context, call, &mut permit, &mut progress).await {
            Ok(StreamOutcome::Complete) => {
                attempts.record_answer(permit);
                return CallOutcome::Answered;
            }
            Ok(StreamOutcome::NotStreamed(answer)) => {
                attempts.record_answer(permit);
                return progress.answer(answer);
            }
            Ok(StreamOutcome::Disconnected) => return CallOutcome::Disconnected,
            Ok(StreamOutcome::Overloaded) => {
                attempts.record_overload(permit);
            }
            Ok(StreamOutcome::NotResumed) => {
                attempts.record_answer(permit);
                let problem = attempts
                    .problem(StatusCode::BAD_GATEWAY, "the stream broke and cannot be resumed");
                return progress.refuse(problem.at_least(base::Verdict::MayHaveRun)).await;
            }
            Err(fault) => {
                attempts.record_failure(permit, fault);
            }
        }
    }
}

async fn attempt_stream(
    context: &Context,
    call: &Call,
    permit: &mut Permit,
    progress: &mut Progress,
) -> Result<StreamOutcome, Fault> {
    let timeouts = &call.service().timeouts;
    let first_byte = Duration::from_millis(timeouts.first_byte_ms);
    let workspace = &call.caller.workspace;
    let kind = if progress.next_index > 0 { EventKind::Resumed } else { EventKind::Sent };
    context.record_event(
        kind,
        call.request,
        workspace,
        Some(permit.runner()),
        &format!("from event {}", progress.next_index),
    );
    let sent_at = Instant::now();
    let request = request::build(call, permit, progress.next_index);
    let pending = tokio::select! {
        pending = runner::send_request(
            &context.tasks,
            permit.address(),
            request,
            first_byte,
        ) => pending?,
        () = progress.output.disconnected() => return Ok(StreamOutcome::Disconnected),
    };
    if !runner::matches_attempt(&pending.response, request::attempt_of(permit)) {
        return Err(Fault::after_sending(Kind::Mismatched));
    }
    match pending.response.status() {
        StatusCode::OK => relay(context, call, permit, progress, pending, sent_at).await,
        StatusCode::SERVICE_UNAVAILABLE => Ok(StreamOutcome::Overloaded),
        _ if progress.next_index > 0 => Ok(StreamOutcome::NotResumed),
        status => read_answer(pending, status, first_byte).await,
    }
}

async fn read_answer(
    pending: PendingResponse,
    status: StatusCode,
    frame_timeout: Duration,
) -> Result<StreamOutcome, Fault> {
    let content_type = pending.response.headers().get(http::header::CONTENT_TYPE).cloned();
    let body =
        runner::read_body(pending.response.into_body(), buffered::MAX_ANSWER_BYTES, frame_timeout)
            .await?;
    Ok(StreamOutcome::NotStreamed(Answer { status, content_type, body }))
}

async fn relay(
    context: &Context,
    call: &Call,
    permit: &mut Permit,
    progress: &mut Progress,
    pending: PendingResponse,
    sent_at: Instant,
) -> Result<StreamOutcome, Fault> {
    let timeouts = &call.service().timeouts;
    let mut limit = Duration::from_millis(timeouts.first_byte_ms);
    let mut events = BodyDataStream::<Incoming>::new(pending.response.into_body()).eventsource();
    let first_index = progress.next_index;
    loop {
        let next = tokio::select! {
            next = time::timeout(limit, events.next()) => next,
            () = progress.output.disconnected() => return Ok(StreamOutcome::Disconnected),
        };
        let event = match next {
            Ok(Some(Ok(event))) => event,
            Ok(_) => return Err(Fault::after_sending(Kind::Broken)),
            Err(_) => return Err(Fault::after_sending(Kind::TimedOut)),
        };
        if event.data == DONE {
            return Ok(progress.finish().await);
        }
        let token: Token = serde_json::from_str(&event.data)
            .map_err(|_| Fault::after_sending(Kind::Mismatched))?;
        if token.index != progress.next_index {
            return Err(Fault::after_sending(Kind::Mismatched));
        }
        if token.index == first_index {
            permit.record_first_token(sent_at.elapsed());
            context.record_event(
                EventKind::FirstByte,
                call.request,
                &call.caller.workspace,
                Some(permit.runner()),
                "",
            );
            limit = Duration::from_millis(timeouts.between_bytes_ms);
        }
        if !progress.send_event(&event.data).await {
            return Ok(StreamOutcome::Disconnected);
        }
        permit.record_usage(Cost::tokens(progress.next_index - first_index));
    }
}

impl Output {
    async fn disconnected(&mut self) {
        match self {
            Self::Head(reply) => reply.disconnected().await,
            Self::Events(stream) => stream.disconnected().await,
            Self::Closed => (),
        }
    }
}

impl Progress {
    /// Sends one event to the caller; returns false when the caller has disconnected.
    async fn send_event(&mut self, data: &str) -> bool {
        self.begin_stream();
        let Output::Events(stream) = &self.output else { return false };
        self.next_index += 1;
        stream.send_event(data).await.is_ok()
    }

    async fn finish(&mut self) -> StreamOutcome {
        self.begin_stream();
        match &self.output {
            Output::Events(stream) if stream.send_event(DONE).await.is_ok() => {
                StreamOutcome::Complete
            }
            _ => StreamOutcome::Disconnected,
        }
    }

    fn begin_stream(&mut self) {
        if let Output::Head(_) = &self.output
            && let Output::Head(reply) = std::mem::replace(&mut self.output, Output::Closed)
            && let Ok(stream) = reply.stream()
        {
            self.output = Output::Events(stream);
        }
    }

    fn answer(self, answer: Answer) -> CallOutcome {
        let Output::Head(reply) = self.output else { return CallOutcome::Disconnected };
        match reply.send(answer.response()) {
            Ok(()) => CallOutcome::Answered,
            Err(disconnected) => disconnected.into(),
        }
    }

    async fn refuse(self, problem: Problem) -> CallOutcome {
        let sent = match self.output {
            Output::Head(reply) => reply.refuse(&problem).is_ok(),
            Output::Events(stream) => stream.send_problem(&problem).await.is_ok(),
            Output::Closed => false,
        };
        if sent { CallOutcome::Refused(problem) } else { CallOutcome::Disconnected }
    }
}
