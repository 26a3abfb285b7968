//! Waiting for a runner, and the permit to use it.

use std::rc::Rc;
use std::time::Duration;

use balance::Admission;
use balance::Cause;
use balance::Decision;
use balance::Grant;
use balance::Key;
use balance::Limit;
use balance::Outcome;
use balance::Prompt;
use balance::Refusal;
use balance::Request;
use balance::Ticket;

use crate::Call;
use crate::Line;
use crate::Problem;
use crate::Router;
use crate::crash_check::Break;
use crate::crediting;
use crate::event;
use crate::forward;
use crate::forward::AttemptHistory;
use crate::rollout;

/// The time since the first data of an answer from which on a crash of the runner has another cause.
pub(crate) const SOUND_AFTER: Duration = Duration::from_millis(250);

/// The permit to use a granted runner, released when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    router: Rc<Router>,
    call: Rc<Call>,
    pub(crate) grant: Grant,
    may_have_run: bool,
    sent_at: Option<Duration>,
    /// The time to the first token.
    first_token: Option<Duration>,
    /// Whether the response is recorded as evidence on its runner's version.
    is_recorded: bool,
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
    pub(crate) fn record_sent(&mut self) {
        self.may_have_run = true;
        self.sent_at = Some(self.router.now());
    }

    /// Records that the runner has not run the request.
    pub(crate) const fn record_not_run(&mut self) {
        self.may_have_run = false;
    }

    /// Records that the first token arrived after `took`.
    pub(crate) fn record_first_token(&mut self, took: Duration) {
        self.first_token = Some(took);
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
    ///
    /// A request whose answer had been arriving for a while has not crashed the runner. Otherwise it counts as the cause
    /// of a crash if the runner turns out to have ended.
    pub(crate) fn record_break(&self, data_for: Option<Duration>) {
        self.router.log(self.break_line(data_for));
        if data_for.is_none_or(|data_for| data_for < SOUND_AFTER) {
            self.router.breaks.add(Break {
                runner: self.grant.runner,
                id: self.grant.id.clone(),
                address: self.grant.address,
                incarnation: self.grant.incarnation,
                causes: self.call.causes.clone(),
                at: self.router.now(),
            });
        }
    }

    /// Records once that the response ended and whether it was bad, as evidence on the version of its runner.
    pub(crate) fn record_response(&mut self, is_bad: bool) {
        let sent_at = self.sent_at.filter(|_| !self.is_recorded);
        let Some(sent_at) = sent_at else { return };
        self.is_recorded = true;
        let took = self.first_token.unwrap_or_else(|| self.router.now().saturating_sub(sent_at));
        rollout::record_response(&self.router, &self.call, &self.grant, took, is_bad);
    }

    /// Records that the connection broke, which says nothing of the version if the request has crashed runners before.
    pub(crate) fn record_broken_response(&mut self) {
        if rollout::is_crashing(&self.router, &self.call) {
            self.is_recorded = true;
        } else {
            self.record_response(true);
        }
    }

    /// Records a response that the caller, or a timeout, has ended.
    fn record_ended(&mut self) {
        let sent_at = self.sent_at.filter(|_| self.may_have_run && !self.is_recorded);
        let Some(sent_at) = sent_at else { return };
        match self.first_token {
            Some(_) => self.record_response(false),
            None => {
                let took = self.router.now().saturating_sub(sent_at);
                rollout::record_no_response(&self.router, &self.call, &self.grant, took);
            }
        }
    }

    /// Records that the request has not crashed the runner.
    pub(crate) fn record_sound(&self) {
        let now = self.router.now();
        self.router.core.borrow_mut().crash_history.record_answer(now, &self.call.causes);
    }

    /// Returns the log line that names the shared parts of the prompt, and for how long data of the answer had come.
    fn break_line(&self, data_for: Option<Duration>) -> Line {
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
        self.record_ended();
        self.router.release(&self.grant, self.may_have_run);
    }
}

/// The reason why a request gets no runner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Error {
    /// The delay after which the caller may retry.
    pub(crate) retry_after: Duration,
    pub(crate) reason: Refusal,
    /// What kept it from the engines, for the log.
    pub(crate) limit: Option<Limit>,
}

impl From<Error> for Problem {
    fn from(error: Error) -> Self {
        let Error { retry_after, reason, limit } = error;
        Self::Refused { retry_after, reason, limit }
    }
}

/// Decides whether a request may be sent at all; returns the cause that it probes, if it is a probe.
///
/// # Errors
/// Returns an error if the request holds a quarantined cause.
pub(crate) fn admit(router: &Router, call: &Call) -> Result<Option<Cause>, Error> {
    let admission = router.core.borrow_mut().admit(router.now(), &call.causes);
    let probes = probed_cause(admission)?;
    if let Some(cause) = probes {
        router.log(forward::line(call, "quarantine_probe").subject(&cause.to_string()));
    }
    Ok(probes)
}

fn probed_cause(admission: Admission) -> Result<Option<Cause>, Error> {
    match admission {
        Admission::Admitted => Ok(None),
        Admission::Probe(cause) => Ok(Some(cause)),
        Admission::Refused { cause, retry_after } => {
            Err(Error { retry_after, reason: Refusal::Quarantined(cause), limit: None })
        }
    }
}

/// Waits for the grant of a runner.
///
/// # Errors
/// Returns an error if no runner is free in time, or if the request holds a cause that was quarantined meanwhile.
pub(crate) async fn acquire(
    router: &Rc<Router>,
    call: &Rc<Call>,
    history: &AttemptHistory,
) -> Result<Permit, Error> {
    let permit = wait_for_grant(router, call, &history.avoid).await?;
    if history.probes.is_none() {
        probed_cause(router.core.borrow_mut().readmit(router.now(), &call.causes))?;
    }
    Ok(permit)
}

async fn wait_for_grant(
    router: &Rc<Router>,
    call: &Rc<Call>,
    avoid: &[Key],
) -> Result<Permit, Error> {
    let now = router.now();
    if !router.core.borrow().knows_departures(now) {
        let mut line = forward::line(call, "departures_unknown");
        line.departures_age_ms = router.departures_age().map(event::millis);
        router.log(line);
    }
    let outcome = router.core.borrow_mut().submit(now, request(call, avoid));
    crediting::request(router);
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
            sent_at: None,
            first_token: None,
            is_recorded: false,
        }),
        Decision::Refused { retry_after, reason, limit } => {
            Err(Error { retry_after, reason, limit: Some(limit) })
        }
    }
}

async fn wait(router: &Router, ticket: Ticket) -> Decision {
    let receiver = router.add_waiter(ticket);
    let mut entry = QueueEntry { router, ticket: Some(ticket) };
    let decision = receiver.await;
    entry.ticket = None;
    decision.unwrap_or(Decision::Refused {
        retry_after: Duration::from_secs(1),
        reason: Refusal::NoRunner,
        limit: Limit::Unexamined,
    })
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
