//! The life cycle of a call: queued, granted, sent, answered.
//!
//! Each kind of call has its own module: [`once`] for non-idempotent calls, [`stream`] for streamed answers of models,
//! and [`buffered`] for all others.

mod attempts;
mod buffered;
mod once;
mod request;
mod stream;

use std::sync::Arc;

use base::Class;
use base::EventKind;

use crate::Context;
use crate::Problem;
use crate::call::Call;
use crate::reply::Disconnected;
use crate::reply::Reply;

/// The outcome of a call.
#[derive(Debug)]
enum CallOutcome {
    /// The complete answer was sent to the caller.
    Answered,
    /// The final refusal was sent to the caller.
    Refused(Problem),
    /// The caller disconnected.
    Disconnected,
}

impl From<Disconnected> for CallOutcome {
    fn from(_: Disconnected) -> Self {
        Self::Disconnected
    }
}

/// Serves one call until the final answer is sent to the caller and the slot of the runner is released.
pub(crate) async fn serve(context: Arc<Context>, call: Call, reply: Reply) {
    context.counters.record_accepted();
    context.record_attempt(&call.caller.workspace);
    context.record_event(
        EventKind::Accepted,
        call.request,
        &call.caller.workspace,
        None,
        &format!("{} {}", call.class, call.service),
    );
    let outcome = match call.class {
        Class::Once => once::serve(&context, &call, reply).await,
        _ if call.streamed => stream::serve(&context, &call, reply).await,
        _ => buffered::serve(&context, &call, reply).await,
    };
    record_outcome(&context, &call, &outcome);
}

fn record_outcome(context: &Context, call: &Call, outcome: &CallOutcome) {
    let workspace = &call.caller.workspace;
    match outcome {
        CallOutcome::Answered => {
            context.counters.record_answered();
            context.record_event(EventKind::Finished, call.request, workspace, None, "answered");
        }
        CallOutcome::Refused(problem) => {
            context.counters.record_refusal(problem.verdict());
            let detail = format!(
                "{} {}: {}",
                problem.status().as_u16(),
                problem.verdict(),
                problem.detail()
            );
            context.record_event(EventKind::Refused, call.request, workspace, None, &detail);
        }
        CallOutcome::Disconnected => {
            context.counters.record_cancelled();
            context.record_event(
                EventKind::Cancelled,
                call.request,
                workspace,
                None,
                "the caller hung up",
            );
        }
    }
}
