//! The attempts of one call: queueing, grants, and the limits on retries.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::Instant;

use base::Attempt;
use base::EventKind;
use base::Name;
use base::Verdict;
use claim::Admission;
use http::StatusCode;
use tokio::sync::oneshot;
use wire::Crash;
use wire::Enqueue;
use wire::Grant;
use wire::Outcome;
use wire::Refuse;
use wire::Shard;

use crate::Context;
use crate::Decision;
use crate::Order;
use crate::Problem;
use crate::Submission;
use crate::call::Call;
use crate::permit::Permit;
use crate::runner::Fault;
use crate::runner::Kind;

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 4;
/// Retry delay sent to a caller after all attempts have failed.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// The reason why no further attempt is made.
#[derive(Debug)]
pub(super) enum Stop {
    /// The call ends with this final answer.
    Refused(Problem),
    /// The caller disconnected.
    Disconnected,
}

/// The attempts of one call.
#[derive(Debug)]
pub(super) struct Attempts<'a> {
    context: &'a Arc<Context>,
    call: &'a Call,
    number: u32,
    /// Whether the request is suspected of crashing runners, so that it may only run alone on a runner.
    alone: bool,
    /// The runners of earlier attempts, which the next one avoids. Cleared once it has all runners of the service.
    avoid: Vec<Name>,
    verdict: Verdict,
    waited: Duration,
}

impl<'a> Attempts<'a> {
    /// Creates the state before the first attempt.
    pub(super) const fn new(context: &'a Arc<Context>, call: &'a Call) -> Self {
        Self {
            context,
            call,
            number: 0,
            alone: false,
            avoid: Vec::new(),
            verdict: Verdict::NotRun,
            waited: Duration::ZERO,
        }
    }

    /// Waits for a runner for the next attempt, or until the caller disconnects.
    pub(super) async fn acquire(
        &mut self,
        disconnected: impl Future<Output = ()>,
    ) -> Result<Permit, Stop> {
        self.begin_attempt().map_err(Stop::Refused)?;
        let (reply, decision) = oneshot::channel();
        let used = Arc::new(AtomicU64::new(0));
        let enqueue = self.enqueue_frame();
        let enqueued_at = Instant::now();
        self.context.send_order(Order::Submit(Submission {
            enqueue,
            used: Arc::clone(&used),
            reply,
        }));
        let decision = tokio::select! {
            decision = decision => decision,
            () = disconnected => {
                self.context.send_order(Order::Cancel { request: self.call.request });
                return Err(Stop::Disconnected);
            }
        };
        self.waited += enqueued_at.elapsed();
        match decision {
            Ok(Decision::Granted(grant)) => self.accept_grant(grant, used),
            Ok(Decision::Refused(refuse)) => Err(Stop::Refused(self.refusal(&refuse))),
            Err(_) => Err(Stop::Refused(
                self.problem(StatusCode::SERVICE_UNAVAILABLE, "the router is shutting down"),
            )),
        }
    }

    /// Records that an attempt failed and releases its slot.
    pub(super) fn record_failure(&mut self, permit: Permit, fault: Fault) {
        let outcome = match fault.kind {
            Kind::Unreachable => Outcome::Unreachable,
            Kind::Broken | Kind::TimedOut | Kind::Mismatched => Outcome::Broken,
        };
        self.verdict = self.verdict.combine(fault.verdict);
        if fault.kind == Kind::Broken && fault.verdict != Verdict::NotRun {
            self.report_crash(&permit);
        }
        self.release(permit, outcome);
    }

    /// Records that the runner was overloaded and releases the slot.
    pub(super) fn record_overload(&mut self, permit: Permit) {
        self.release(permit, Outcome::Overloaded);
    }

    /// Records that the attempt was answered, which clears the suspicion against a request that ran alone.
    pub(super) fn record_answer(&self, permit: Permit) {
        if self.alone {
            self.context.with_crashes(|crashes| crashes.record_completion(self.call.digest));
        }
        permit.release(Outcome::Answered);
    }

    /// Returns a final answer with the combined verdict of all attempts.
    pub(super) fn problem(&self, status: StatusCode, detail: &str) -> Problem {
        Problem::new(status, self.verdict, detail)
            .request(self.call.request)
            .retry_after(RETRY_AFTER)
    }

    fn begin_attempt(&mut self) -> Result<(), Problem> {
        self.alone = match self.context.admission(self.call.digest) {
            Admission::Clear => false,
            Admission::Suspect => true,
            Admission::Refused => {
                return Err(Problem::new(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    Verdict::MayHaveRun,
                    "this request has crashed the runners that ran it and is not run again",
                )
                .request(self.call.request));
            }
        };
        self.number += 1;
        if self.number == 1 {
            return Ok(());
        }
        if self.number > MAX_ATTEMPTS {
            return Err(
                self.problem(StatusCode::BAD_GATEWAY, "all attempts at this call have failed")
            );
        }
        if !self.context.try_retry(&self.call.caller.workspace) {
            return Err(self.problem(
                StatusCode::BAD_GATEWAY,
                "the attempt failed and the retry budget is used up",
            ));
        }
        self.context.counters.record_retry();
        self.record_event(EventKind::Retried, None, &format!("attempt {}", self.number));
        Ok(())
    }

    fn enqueue_frame(&mut self) -> Enqueue {
        let service = self.call.service();
        if service.runners.iter().all(|runner| self.avoid.contains(&runner.name)) {
            self.avoid.clear();
        }
        let remaining_wait = self.call.max_wait.saturating_sub(self.waited);
        Enqueue {
            shard: Shard {
                service: service.name.clone(),
                region: service.region.clone(),
                index: 0,
            },
            request: self.call.request,
            attempt: self.number,
            workspace: self.call.caller.workspace.clone(),
            class: self.call.class,
            hint: self.call.hint,
            prefix: self.call.prefix,
            max_wait_ms: millis(remaining_wait),
            waited_ms: millis(self.waited),
            avoid: self.avoid.clone(),
            alone: self.alone,
        }
    }

    fn accept_grant(&self, grant: Grant, used: Arc<AtomicU64>) -> Result<Permit, Stop> {
        let attempt = Attempt { request: self.call.request, number: grant.attempt };
        let address = self.address_of(&grant.runner);
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        let permit = Permit::new(
            Arc::clone(self.context),
            grant.shard,
            attempt,
            grant.runner,
            address.unwrap_or(unknown),
            used,
        );
        if address.is_none() {
            permit.release(Outcome::Unused);
            return Err(Stop::Refused(self.problem(
                StatusCode::SERVICE_UNAVAILABLE,
                "the granted runner is not configured",
            )));
        }
        self.record_event(
            EventKind::Granted,
            Some(permit.runner()),
            &format!("attempt {}", attempt.number),
        );
        Ok(permit)
    }

    fn address_of(&self, runner: &Name) -> Option<SocketAddr> {
        let latest = self.context.snapshot.borrow().configuration.clone();
        let latest = latest.as_deref().into_iter();
        latest
            .chain([&*self.call.caller.configuration])
            .flat_map(|configuration| &configuration.services)
            .filter(|service| service.name == self.call.service)
            .flat_map(|service| &service.runners)
            .find(|candidate| candidate.name == *runner)
            .map(|found| found.address)
    }

    fn refusal(&self, refuse: &Refuse) -> Problem {
        let (status, detail) = if refuse.queue_full {
            (StatusCode::TOO_MANY_REQUESTS, "the queue of this workspace is full")
        } else {
            (
                StatusCode::SERVICE_UNAVAILABLE,
                "no runner became free within the wait that this call allows",
            )
        };
        self.problem(status, detail)
            .at_least(refuse.verdict)
            .retry_after(Duration::from_millis(u64::from(refuse.retry_after_ms)))
    }

    fn report_crash(&self, permit: &Permit) {
        let crash = Crash {
            digest: self.call.digest,
            runner: permit.runner().clone(),
            attempt: permit.attempt(),
            alone: self.alone,
        };
        let now = self.context.now();
        self.context.with_crashes(|crashes| crashes.record_crash(&crash, now));
        self.context.send_order(Order::Crash(crash));
    }

    fn release(&mut self, permit: Permit, outcome: Outcome) {
        self.avoid.push(permit.runner().clone());
        permit.release(outcome);
    }

    fn record_event(&self, kind: EventKind, runner: Option<&Name>, detail: &str) {
        self.context.record_event(
            kind,
            self.call.request,
            &self.call.caller.workspace,
            runner,
            detail,
        );
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
