//! The life of a call: queued, granted, sent, answered; each kind of call in its own module.

mod attempts;
mod once;
mod request;
mod stream;
mod whole;

use std::sync::Arc;

use base::Class;
use base::EventKind;

use crate::Context;
use crate::Problem;
use crate::call::Call;
use crate::reply::HungUp;
use crate::reply::Reply;

/// How a call ended.
#[derive(Debug)]
enum Ending {
    /// The caller has the whole answer.
    Answered,
    /// The caller has the final refusal.
    Refused(Problem),
    /// The caller hung up.
    HungUp,
}

impl From<HungUp> for Ending {
    fn from(_: HungUp) -> Self {
        Self::HungUp
    }
}

/// Serves one call until the caller has its final answer and the runner's slot is given back.
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
    let ending = match call.class {
        Class::Once => once::serve(&context, &call, reply).await,
        _ if call.streamed => stream::serve(&context, &call, reply).await,
        _ => whole::serve(&context, &call, reply).await,
    };
    conclude(&context, &call, &ending);
}

fn conclude(context: &Context, call: &Call, ending: &Ending) {
    let workspace = &call.caller.workspace;
    match ending {
        Ending::Answered => {
            context.counters.record_answered();
            context.record_event(EventKind::Finished, call.request, workspace, None, "answered");
        }
        Ending::Refused(problem) => {
            context.counters.record_refusal(problem.verdict());
            let detail = format!(
                "{} {}: {}",
                problem.status().as_u16(),
                problem.verdict(),
                problem.detail()
            );
            context.record_event(EventKind::Refused, call.request, workspace, None, &detail);
        }
        Ending::HungUp => {
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
