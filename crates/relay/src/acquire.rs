//! Waiting for a runner, and the right to use it.

use std::rc::Rc;
use std::time::Duration;

use balance::Decision;
use balance::Grant;
use balance::Key;
use balance::Outcome;
use balance::Request;
use balance::Ticket;

use crate::Call;
use crate::Router;

/// A granted runner, given back when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    router: Rc<Router>,
    call: Rc<Call>,
    pub(crate) grant: Grant,
    has_run: bool,
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
    /// Takes in that the runner may have begun to work.
    pub(crate) const fn record_sent(&mut self) {
        self.has_run = true;
    }

    /// Takes in that the runner has not run the request.
    pub(crate) const fn record_not_run(&mut self) {
        self.has_run = false;
    }

    /// Takes in that the first token has arrived.
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

    /// Takes in how long each token of the answer took.
    pub(crate) fn record_token_time(&self, each: Duration) {
        let now = self.router.now();
        self.router.core.borrow_mut().record_token_time(now, &self.call.service, each);
    }

    /// Takes in that the runner has broken the connection while it worked.
    pub(crate) fn record_crash(&self) {
        let now = self.router.now();
        self.router.core.borrow_mut().crash_history.record_crash(now, self.call.digest);
    }

    /// Takes in that the request was answered whole.
    pub(crate) fn record_answer(&self) {
        let now = self.router.now();
        self.router.core.borrow_mut().crash_history.record_answer(now, self.call.digest);
        self.update_health(|health, _| health.record_success());
    }

    /// Takes in a result of the runner.
    pub(crate) fn update_health(&self, update: impl FnOnce(&mut balance::Health, Duration)) {
        let now = self.router.now();
        if let Some(runner) = self.router.core.borrow_mut().registry.get_mut(self.grant.runner) {
            update(&mut runner.health, now);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.router.release(&self.grant, self.call.workspace.as_ref(), self.has_run);
    }
}

/// Waits until a runner is granted.
///
/// # Errors
/// Returns when the caller may come back if none is free in time.
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
        Decision::Granted(grant) => {
            Ok(Permit { router: Rc::clone(router), call: Rc::clone(call), grant, has_run: false })
        }
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
