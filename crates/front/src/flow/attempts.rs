//! The attempts at one call: queueing, grants, and the limits on retries.

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

use crate::Decision;
use crate::Gate;
use crate::Order;
use crate::Problem;
use crate::Submission;
use crate::call::Call;
use crate::runner::Fault;
use crate::runner::Kind;
use crate::seat::Seat;

/// Largest number of attempts at one call.
const ATTEMPTS: u32 = 4;
/// When a caller may come back after all attempts have failed.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Why no further attempt is made.
#[derive(Debug)]
pub(super) enum Stop {
    /// The call is given up with this final answer.
    Refused(Problem),
    /// The caller hung up.
    HungUp,
}

/// The attempts at one call.
#[derive(Debug)]
pub(super) struct Attempts<'a> {
    gate: &'a Arc<Gate>,
    call: &'a Call,
    number: u32,
    alone: bool,
    avoid: Vec<Name>,
    verdict: Verdict,
    waited: Duration,
}

impl<'a> Attempts<'a> {
    /// Begins with no attempt made.
    pub(super) const fn new(gate: &'a Arc<Gate>, call: &'a Call) -> Self {
        Self {
            gate,
            call,
            number: 0,
            alone: false,
            avoid: Vec::new(),
            verdict: Verdict::NotRun,
            waited: Duration::ZERO,
        }
    }

    /// Waits for a runner for the next attempt, until the caller hangs up.
    pub(super) async fn acquire(
        &mut self,
        hung_up: impl Future<Output = ()>,
    ) -> Result<Seat, Stop> {
        self.begin_attempt().map_err(Stop::Refused)?;
        let (reply, decision) = oneshot::channel();
        let used = Arc::new(AtomicU64::new(0));
        let enqueue = self.enqueue();
        let asked = Instant::now();
        self.gate.order(Order::Submit(Submission { enqueue, used: Arc::clone(&used), reply }));
        let decision = tokio::select! {
            decision = decision => decision,
            () = hung_up => {
                self.gate.order(Order::Cancel { request: self.call.request });
                return Err(Stop::HungUp);
            }
        };
        self.waited += asked.elapsed();
        match decision {
            Ok(Decision::Granted(grant)) => self.take_seat(grant, used),
            Ok(Decision::Refused(refuse)) => Err(Stop::Refused(self.refusal(&refuse))),
            Err(_) => Err(Stop::Refused(
                self.problem(StatusCode::SERVICE_UNAVAILABLE, "the router is shutting down"),
            )),
        }
    }

    /// Takes in the failure of an attempt and gives its slot back.
    pub(super) fn failed(&mut self, seat: Seat, fault: Fault) {
        let outcome = match fault.kind {
            Kind::Unreachable => Outcome::Unreachable,
            Kind::Broken | Kind::Silent | Kind::Crossed => Outcome::Broken,
        };
        self.verdict = self.verdict.combine(fault.verdict);
        if fault.kind == Kind::Broken && fault.verdict != Verdict::NotRun {
            self.report_crash(&seat);
        }
        self.give_back(seat, outcome);
    }

    /// Takes in that the runner was overloaded and gives the slot back.
    pub(super) fn overloaded(&mut self, seat: Seat) {
        self.give_back(seat, Outcome::Overloaded);
    }

    /// Takes in that the attempt was answered, which clears a suspected request that ran alone.
    pub(super) fn answered(&self, seat: Seat) {
        if self.alone {
            self.gate.with_crashes(|crashes| crashes.record_completion(self.call.digest));
        }
        seat.end(Outcome::Answered);
    }

    /// Returns a final answer with the verdict over all attempts.
    pub(super) fn problem(&self, status: StatusCode, detail: &str) -> Problem {
        Problem::new(status, self.verdict, detail)
            .request(self.call.request)
            .retry_after(RETRY_AFTER)
    }

    fn begin_attempt(&mut self) -> Result<(), Problem> {
        self.alone = match self.gate.judge(self.call.digest) {
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
        if self.number > ATTEMPTS {
            return Err(
                self.problem(StatusCode::BAD_GATEWAY, "all attempts at this call have failed")
            );
        }
        if !self.gate.may_retry(&self.call.caller.workspace) {
            return Err(self.problem(
                StatusCode::BAD_GATEWAY,
                "the attempt failed and the retry budget is used up",
            ));
        }
        self.gate.meter.retry();
        self.note(EventKind::Retried, None, &format!("attempt {}", self.number));
        Ok(())
    }

    fn enqueue(&mut self) -> Enqueue {
        let service = self.call.service();
        if service.runners.iter().all(|runner| self.avoid.contains(&runner.name)) {
            self.avoid.clear();
        }
        let patience = self.call.patience.saturating_sub(self.waited);
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
            max_wait_ms: millis(patience),
            waited_ms: millis(self.waited),
            avoid: self.avoid.clone(),
            alone: self.alone,
        }
    }

    fn take_seat(&self, grant: Grant, used: Arc<AtomicU64>) -> Result<Seat, Stop> {
        let attempt = Attempt { request: self.call.request, number: grant.attempt };
        let address = self.address_of(&grant.runner);
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        let seat = Seat::new(
            Arc::clone(self.gate),
            grant.shard,
            attempt,
            grant.runner,
            address.unwrap_or(unknown),
            used,
        );
        if address.is_none() {
            seat.end(Outcome::Unused);
            return Err(Stop::Refused(self.problem(
                StatusCode::SERVICE_UNAVAILABLE,
                "the granted runner is not configured",
            )));
        }
        self.note(EventKind::Granted, Some(seat.runner()), &format!("attempt {}", attempt.number));
        Ok(seat)
    }

    fn address_of(&self, runner: &Name) -> Option<SocketAddr> {
        let latest = self.gate.snapshot.borrow().configuration.clone();
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

    fn report_crash(&self, seat: &Seat) {
        let news = Crash {
            digest: self.call.digest,
            runner: seat.runner().clone(),
            attempt: seat.attempt(),
            alone: self.alone,
        };
        let now = self.gate.now();
        self.gate.with_crashes(|crashes| crashes.record_crash(&news, now));
        self.gate.order(Order::Crash(news));
    }

    fn give_back(&mut self, seat: Seat, outcome: Outcome) {
        self.avoid.push(seat.runner().clone());
        seat.end(outcome);
    }

    fn note(&self, kind: EventKind, runner: Option<&Name>, detail: &str) {
        self.gate.note(kind, self.call.request, &self.call.caller.workspace, runner, detail);
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
