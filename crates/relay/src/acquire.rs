//! Waiting for a runner, and the permit to use it.

use std::rc::Rc;
use std::time::Duration;

use balance::Decision;
use balance::Grant;
use balance::Key;
use balance::Outcome;
use balance::Prompt;
use balance::Request;
use balance::Ticket;

use crate::Call;
use crate::Line;
use crate::Router;
use crate::event;
use crate::forward;

/// The permit to use a granted runner, released when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    router: Rc<Router>,
    call: Rc<Call>,
    pub(crate) grant: Grant,
    may_have_run: bool,
}

/// An entry of the queue, cancelled when dropped.
struct QueueEntry<'a> {
    router: &'a Router,
    ticket: Option<Ticket>,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.router.cancel(ticket);
        }
    }
}

impl Permit {
    /// Records that the request was sent, so that the runner may have run it.
    pub(crate) const fn record_sent(&mut self) {
        self.may_have_run = true;
    }

    /// Records that the runner has not run the request.
    pub(crate) const fn record_not_run(&mut self) {
        self.may_have_run = false;
    }

    /// Records that the first token arrived after `took`.
    pub(crate) fn record_first_token(&mut self, took: Duration) {
        let now = self.router.now();
        let target = self.call.route.target;
        let service = &self.call.service;
        self.router.core.borrow_mut().record_first_token(
            now,
            &mut self.grant,
            service,
            took,
            target,
        );
        self.router.wake_queue();
    }

    /// Records the mean time between tokens of the answer.
    pub(crate) fn record_token_time(&self, each: Duration) {
        let now = self.router.now();
        self.router.core.borrow_mut().record_token_time(now, &self.call.service, each);
    }

    /// Records that the runner broke the connection while it ran the request, `data_for` after its first data.
    pub(crate) fn record_crash(&self, data_for: Option<Duration>) {
        let now = self.router.now();
        self.router.log(self.crash_line(data_for));
        self.router.core.borrow_mut().crash_history.record_crash(now, self.call.digest);
    }

    /// Returns the log line that names the shared parts of the prompt, and for how long data of the answer had come.
    fn crash_line(&self, data_for: Option<Duration>) -> Line {
        let parts = self.call.prompt.iter().flat_map(Prompt::shared_parts);
        let parts: Vec<String> = parts.map(|part| format!("{:x}", part.id)).collect();
        let data = data_for.map_or_else(
            || "no data".to_owned(),
            |data_for| format!("data for {} ms", event::millis(data_for)),
        );
        let line = forward::line(&self.call, "attempt_broken").subject(self.grant.id.as_str());
        line.outcome(format!("{data}, shared parts {}", parts.join(" ")))
    }

    /// Records that the request was answered completely.
    pub(crate) fn record_answer(&self) {
        let now = self.router.now();
        self.router.core.borrow_mut().crash_history.record_answer(now, self.call.digest);
        self.update_health(|health, _| health.record_success());
    }

    /// Updates the health of the runner.
    pub(crate) fn update_health(&self, update: impl FnOnce(&mut balance::Health, Duration)) {
        let now = self.router.now();
        if let Some(runner) = self.router.core.borrow_mut().registry.get_mut(self.grant.runner) {
            update(&mut runner.health, now);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.router.release(&self.grant, self.call.workspace.as_ref(), self.may_have_run);
    }
}

/// Waits for the grant of a runner.
///
/// # Errors
/// Returns the delay after which the caller may retry if no runner is free in time.
pub(crate) async fn acquire(
    router: &Rc<Router>,
    call: &Rc<Call>,
    avoid: &[Key],
) -> Result<Permit, Duration> {
    let now = router.now();
    let outcome = router.core.borrow_mut().submit(now, request(call, avoid));
    let decision = match outcome {
        Outcome::Decided(decision) => decision,
        Outcome::Queued(ticket) => wait(router, ticket).await,
    };
    match decision {
        Decision::Granted(grant) => Ok(Permit {
            router: Rc::clone(router),
            call: Rc::clone(call),
            grant,
            may_have_run: false,
        }),
        Decision::Refused { retry_after } => Err(retry_after),
    }
}

async fn wait(router: &Router, ticket: Ticket) -> Decision {
    let receiver = router.add_waiter(ticket);
    let mut entry = QueueEntry { router, ticket: Some(ticket) };
    let decision = receiver.await;
    entry.ticket = None;
    decision.unwrap_or(Decision::Refused { retry_after: Duration::from_secs(1) })
}

fn request(call: &Call, avoid: &[Key]) -> Request {
    Request {
        service: call.service.clone(),
        workspace: call.workspace.clone(),
        kind: call.route.kind,
        priority: call.priority,
        prompt: call.prompt.clone(),
        arrived: call.arrived,
        target: call.arrived + call.route.target,
        deadline: call.deadline,
        avoid: avoid.to_vec(),
    }
}
