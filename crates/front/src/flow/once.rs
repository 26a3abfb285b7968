//! Non-idempotent calls, which run at most once: each is claimed in the platform's log before its first byte is sent.

use std::sync::Arc;
use std::time::Duration;

use base::EventKind;
use base::Verdict;
use bytes::Bytes;
use claim::Decision;
use claim::Refusal;
use claim::Ticket;
use http::HeaderValue;
use http::StatusCode;
use sha2::Digest;
use sha2::Sha256;

use super::CallOutcome;
use super::attempts::Attempts;
use super::attempts::Stop;
use super::buffered;
use super::buffered::Answer;
use crate::Context;
use crate::Problem;
use crate::call::Call;
use crate::permit::Permit;
use crate::reply::Reply;
use crate::runner::Fault;

/// Retry delay sent to a caller that repeats a call whose outcome is not recorded yet.
const OUTCOME_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The result of claiming a call.
enum ClaimResult {
    /// The claim was acquired; the call may be sent under this ticket.
    Acquired(Ticket),
    /// The call is answered without being sent.
    Final(Result<Answer, Problem>),
}

/// Serves a call; once it is claimed, it continues even if the caller disconnects.
pub(super) async fn serve(context: &Arc<Context>, call: &Call, mut reply: Reply) -> CallOutcome {
    let mut attempts = Attempts::new(context, call);
    let mut ticket = None;
    loop {
        let acquired = match &ticket {
            None => attempts.acquire(reply.disconnected()).await,
            Some(_) => attempts.acquire(std::future::pending()).await,
        };
        let permit = match acquired {
            Ok(permit) => permit,
            Err(Stop::Disconnected) => return CallOutcome::Disconnected,
            Err(Stop::Refused(problem)) => {
                release_claim(context, ticket).await;
                return refuse(reply, problem);
            }
        };
        if ticket.is_none() {
            match claim_call(context, call).await {
                ClaimResult::Acquired(claimed) => ticket = Some(claimed),
                ClaimResult::Final(result) => {
                    permit.release(wire::Outcome::Unused);
                    return send_result(reply, result);
                }
            }
        }
        match buffered::fetch(context, call, &permit).await {
            Ok(answer) => {
                return deliver(context, call, &attempts, permit, ticket, reply, answer).await;
            }
            Err(fault) if fault.verdict == Verdict::NotRun => {
                attempts.record_failure(permit, fault);
            }
            Err(fault) => return give_up(&mut attempts, permit, fault, reply),
        }
    }
}

async fn claim_call(context: &Context, call: &Call) -> ClaimResult {
    let Some(key) = call.key else {
        return ClaimResult::Final(Err(Problem::rejected(
            StatusCode::BAD_REQUEST,
            "the call has no Idempotency-Key",
        )));
    };
    let request = claim::Request {
        workspace: call.caller.workspace.clone(),
        service: call.service.clone(),
        key,
        digest: content_digest(call),
        request: call.request,
    };
    match context.claims.claim(request).await {
        Decision::Acquired(ticket) => {
            context.record_event(
                EventKind::Claimed,
                call.request,
                &call.caller.workspace,
                None,
                &format!("key {key}"),
            );
            ClaimResult::Acquired(ticket)
        }
        Decision::Finished(answer) => ClaimResult::Final(Ok(recorded_answer(answer))),
        Decision::Unfinished => ClaimResult::Final(Err(Problem::new(
            StatusCode::CONFLICT,
            Verdict::MayHaveRun,
            "a call with this key was sent before and its outcome is not recorded; ask again with the same key",
        )
        .retry_after(OUTCOME_RETRY_AFTER)
        .request(call.request))),
        Decision::Refused(refusal) => {
            ClaimResult::Final(Err(refusal_problem(&refusal).request(call.request)))
        }
    }
}

async fn deliver(
    context: &Context,
    call: &Call,
    attempts: &Attempts<'_>,
    permit: Permit,
    ticket: Option<Ticket>,
    reply: Reply,
    answer: Answer,
) -> CallOutcome {
    attempts.record_answer(permit);
    let outcome = claim::Answer {
        status: answer.status.as_u16(),
        content_type: answer
            .content_type
            .as_ref()
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        body: answer.body.to_vec(),
    };
    let sent = reply.send(answer.response());
    if let Some(ticket) = ticket {
        match context.claims.record(&ticket, outcome).await {
            Ok(()) => {
                context.record_event(
                    EventKind::Recorded,
                    call.request,
                    &call.caller.workspace,
                    None,
                    "",
                );
            }
            Err(error) => log::warn!(
                "front: the outcome of call {} is not recorded yet: {error}",
                call.request
            ),
        }
    }
    match sent {
        Ok(()) => CallOutcome::Answered,
        Err(disconnected) => disconnected.into(),
    }
}

fn give_up(attempts: &mut Attempts<'_>, permit: Permit, fault: Fault, reply: Reply) -> CallOutcome {
    attempts.record_failure(permit, fault);
    let detail = format!(
        "the call was sent and its answer did not arrive ({}); it is not sent again",
        fault.kind
    );
    refuse(reply, attempts.problem(StatusCode::BAD_GATEWAY, &detail))
}

async fn release_claim(context: &Context, ticket: Option<Ticket>) {
    if let Some(ticket) = ticket {
        context.claims.release(ticket).await;
    }
}

fn send_result(reply: Reply, result: Result<Answer, Problem>) -> CallOutcome {
    match result {
        Ok(answer) => match reply.send(answer.response()) {
            Ok(()) => CallOutcome::Answered,
            Err(disconnected) => disconnected.into(),
        },
        Err(problem) => refuse(reply, problem),
    }
}

fn refuse(reply: Reply, problem: Problem) -> CallOutcome {
    match reply.refuse(&problem) {
        Ok(()) => CallOutcome::Refused(problem),
        Err(disconnected) => disconnected.into(),
    }
}

fn recorded_answer(answer: claim::Answer) -> Answer {
    Answer {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        content_type: answer.content_type.and_then(|text| HeaderValue::from_str(&text).ok()),
        body: Bytes::from(answer.body),
    }
}

fn refusal_problem(refusal: &Refusal) -> Problem {
    match refusal {
        Refusal::KeyTooOld => {
            Problem::rejected(StatusCode::BAD_REQUEST, "the Idempotency-Key is too old")
        }
        Refusal::KeyFromFuture => {
            Problem::rejected(StatusCode::BAD_REQUEST, "the Idempotency-Key is from the future")
        }
        Refusal::KeyReused => Problem::rejected(
            StatusCode::UNPROCESSABLE_ENTITY,
            "the Idempotency-Key was used for another call",
        ),
        Refusal::NotReady { retry_after } => Problem::rejected(
            StatusCode::SERVICE_UNAVAILABLE,
            "this router is still reading the claims of earlier calls",
        )
        .retry_after(*retry_after),
        Refusal::LogDown { retry_after } => Problem::rejected(
            StatusCode::SERVICE_UNAVAILABLE,
            "the platform's log does not answer, so calls that may not be repeated are not taken",
        )
        .retry_after(*retry_after),
    }
}

fn content_digest(call: &Call) -> [u8; 32] {
    let mut digest = Sha256::new();
    digest.update(call.method.as_str());
    digest.update([0]);
    digest.update(&call.path);
    digest.update([0]);
    digest.update(&call.body);
    digest.finalize().into()
}
