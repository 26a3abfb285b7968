//! Idempotent calls whose answer is buffered and sent when it is complete.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::Class;
use base::Cost;
use base::EventKind;
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Deserialize;

use super::CallOutcome;
use super::attempts::Attempts;
use super::attempts::Stop;
use super::request;
use crate::Context;
use crate::call::Call;
use crate::permit::Permit;
use crate::problem;
use crate::reply::Reply;
use crate::runner;
use crate::runner::Fault;
use crate::runner::Kind;

/// Maximum size of a buffered answer, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A complete answer of a runner.
#[derive(Debug, Clone)]
pub(super) struct Answer {
    /// The status code.
    pub(super) status: StatusCode,
    /// The media type.
    pub(super) content_type: Option<HeaderValue>,
    /// The body.
    pub(super) body: Bytes,
}

/// The part of a model's answer that contains its cost.
#[derive(Debug, Deserialize)]
struct Completion {
    usage: Option<Usage>,
}

/// The cost of a model's answer.
#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: u64,
}

impl Answer {
    /// Returns the response to the caller.
    pub(super) fn response(self) -> Response<Body> {
        let mut response = Response::new(problem::full(self.body));
        *response.status_mut() = self.status;
        if let Some(content_type) = self.content_type {
            response.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        response
    }
}

/// Serves a call, with attempts at other runners as long as retries are allowed.
pub(super) async fn serve(context: &Arc<Context>, call: &Call, mut reply: Reply) -> CallOutcome {
    let mut attempts = Attempts::new(context, call);
    loop {
        let permit = match attempts.acquire(reply.disconnected()).await {
            Ok(permit) => permit,
            Err(Stop::Disconnected) => return CallOutcome::Disconnected,
            Err(Stop::Refused(problem)) => {
                return match reply.refuse(&problem) {
                    Ok(()) => CallOutcome::Refused(problem),
                    Err(disconnected) => disconnected.into(),
                };
            }
        };
        let answered = tokio::select! {
            answered = fetch(context, call, &permit) => answered,
            () = reply.disconnected() => return CallOutcome::Disconnected,
        };
        match answered {
            Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                attempts.record_overload(permit);
            }
            Ok(answer) => {
                attempts.record_answer(permit);
                return match reply.send(answer.response()) {
                    Ok(()) => CallOutcome::Answered,
                    Err(disconnected) => disconnected.into(),
                };
            }
            Err(fault) => {
                attempts.record_failure(permit, fault);
            }
        }
    }
}

/// Makes one attempt and reads the complete answer.
pub(super) async fn fetch(
    context: &Context,
    call: &Call,
    permit: &Permit,
) -> Result<Answer, Fault> {
    let timeouts = &call.service().timeouts;
    let between_bytes = Duration::from_millis(timeouts.between_bytes_ms);
    let sent_at = Instant::now();
    context.record_event(
        EventKind::Sent,
        call.request,
        &call.caller.workspace,
        Some(permit.runner()),
        "",
    );
    let pending = runner::send_request(
        &context.tasks,
        permit.address(),
        request::build(call, permit, 0),
        Duration::from_millis(timeouts.first_byte_ms),
    )
    .await?;
    if !runner::matches_attempt(&pending.response, request::attempt_of(permit)) {
        return Err(Fault::after_sending(Kind::Mismatched));
    }
    let status = pending.response.status();
    let content_type = pending.response.headers().get(CONTENT_TYPE).cloned();
    let body =
        runner::read_body(pending.response.into_body(), MAX_ANSWER_BYTES, between_bytes).await?;
    drop(pending.connection);
    permit.record_usage(cost_of(call, &body, sent_at.elapsed()));
    Ok(Answer { status, content_type, body })
}

fn cost_of(call: &Call, body: &[u8], elapsed: Duration) -> Cost {
    match call.class {
        Class::Lookup | Class::Once => Cost(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)),
        Class::Interactive | Class::Long => serde_json::from_slice::<Completion>(body)
            .ok()
            .and_then(|completion| completion.usage)
            .map_or(call.hint, |usage| Cost::tokens(usage.completion_tokens)),
    }
}
