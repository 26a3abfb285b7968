//! Forwarding of a call: acquiring a runner, sending, reading the answer, and retrying where that is allowed.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use balance::Cause;
use balance::Health;
use balance::Key;
use balance::Kind;
use balance::Refusal;
use budget::Refused;
use bytes::Bytes;
use bytes::BytesMut;
use conn::Connection;
use conn::Failure;
use http::Response;
use http::response;
use hyper::body::Incoming;
use tokio::time;

use crate::Answer;
use crate::AnswerClass;
use crate::Attempt;
use crate::Call;
use crate::Held;
use crate::Line;
use crate::Problem;
use crate::Router;
use crate::Stream;
use crate::acquire;
use crate::acquire::Permit;
use crate::event;
use crate::notice;

/// Timeout for opening a connection to a runner.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of the body of a rejection that is read so that its connection can be used again, in bytes.
const MAX_REJECTION_BYTES: usize = 16 << 10;
/// How long the body of a rejection may take for that.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum number of runners that may reject a request before it is refused.
const MAX_REJECTIONS: u32 = 3;
/// Delay after which a caller may retry a request that no runner has run.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Fraction of the time left that an attempt at a safe request may take if another attempt may follow.
const ATTEMPT_FRACTION: f64 = 0.5;

/// The history of the attempts at a call.
#[derive(Debug, Clone, Default)]
pub(crate) struct AttemptHistory {
    /// Number of attempts that sent the request, whatever their outcome.
    pub(crate) sends: u32,
    /// Number of attempts that the runner may have run.
    pub(crate) runs: u32,
    /// Number of attempts that runners have rejected.
    pub(crate) rejections: u32,
    /// Runners that are not used again.
    pub(crate) avoid: Vec<Key>,
    /// The quarantined cause that the request probes.
    pub(crate) probes: Option<Cause>,
}

/// A runner's answer whose head has arrived and whose body is not yet read.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) permit: Permit,
    pub(crate) connection: Connection,
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) sent_at: Duration,
}

/// The reason why an attempt gave no final answer.
enum AttemptError {
    /// The request was not sent or not run.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// The runner has answered that it failed.
    Answered(Response<Held>),
}

/// The pieces of an answer; one that arrives at once is not copied.
#[derive(Default)]
struct Collected {
    first: Bytes,
    all: BytesMut,
}

impl Collected {
    fn add(&mut self, bytes: Bytes) {
        if self.first.is_empty() && self.all.is_empty() {
            self.first = bytes;
            return;
        }
        self.all.extend_from_slice(&std::mem::take(&mut self.first));
        self.all.extend_from_slice(&bytes);
    }

    fn freeze(self) -> Bytes {
        if self.all.is_empty() { self.first } else { self.all.freeze() }
    }
}

/// Forwards a call and returns its final answer, by its deadline or the end of the process.
pub async fn forward(router: &Rc<Router>, call: Rc<Call>) -> Answer {
    let probes = match acquire::admit(router, &call) {
        Ok(probes) => probes,
        Err(error) => {
            let answer = Answer::Problem(error.into());
            log_answer(router, &call, &answer, 0);
            return answer;
        }
    };
    let history = AttemptHistory { probes, ..AttemptHistory::default() };
    let may_have_run = Cell::new(false);
    let sends = Cell::new(0);
    let left = call.deadline.saturating_sub(router.now());
    let attempts = async {
        tokio::select! {
            biased;
            () = router.requests_ended() => None,
            answer = attempts(router, &call, history, &may_have_run, &sends) => Some(answer),
        }
    };
    let answer = match time::timeout(left, attempts).await.ok().flatten() {
        Some(answer) => answer,
        None if may_have_run.get() => Answer::Problem(Problem::Timeout),
        None => refused(NOT_RUN_RETRY_AFTER),
    };
    log_answer(router, &call, &answer, sends.get());
    answer
}

async fn attempts(
    router: &Rc<Router>,
    call: &Rc<Call>,
    mut history: AttemptHistory,
    may_have_run: &Cell<bool>,
    sends: &Cell<u32>,
) -> Answer {
    let mut last = None;
    loop {
        let permit = match acquire::acquire(router, call, &history).await {
            Ok(permit) => permit,
            Err(error) => return last_answer(&history, last, Answer::Problem(error.into())),
        };
        history.avoid.push(permit.grant.runner);
        sends.set(sends.get() + 1);
        match attempt(router, call, permit, &mut history, may_have_run).await {
            Ok(answer) => return answer,
            Err(AttemptError::Answered(answer)) => last = Some(answer),
            Err(AttemptError::NotRun | AttemptError::MayHaveRun) => (),
        }
        if !may_retry(router, call, &history) {
            let pause = router.core.borrow().pause(router.now(), &call.service);
            return last_answer(&history, last, refused(pause.unwrap_or(NOT_RUN_RETRY_AFTER)));
        }
    }
}

async fn attempt(
    router: &Rc<Router>,
    call: &Rc<Call>,
    permit: Permit,
    history: &mut AttemptHistory,
    may_have_run: &Cell<bool>,
) -> Result<Answer, AttemptError> {
    let limit = attempt_limit(router, call, history);
    let before = may_have_run.get();
    may_have_run.set(true);
    let sending = send_request(router, call, permit, None, history);
    let mut reply = match time::timeout(limit, sending).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(AttemptError::NotRun)) => {
            may_have_run.set(before);
            return Err(AttemptError::NotRun);
        }
        Ok(Err(error)) => return Err(error),
        Err(_) => return Err(AttemptError::MayHaveRun),
    };
    let class = (router.protocol.classify)(call, &reply.head);
    match class {
        AnswerClass::Final if call.route.kind.is_stream() && reply.head.status.is_success() => {
            let (head, stream) = Stream::new(router, call, reply, history.runs);
            Ok(Answer::Stream(Box::new(Response::from_parts(head, stream))))
        }
        AnswerClass::Final => {
            let (answer, mut permit) = collect(router, call, reply).await?;
            permit.record_answer();
            permit.record_response(false);
            if answer.status().is_success() {
                permit.record_sound();
            }
            Ok(Answer::Complete(answer))
        }
        AnswerClass::Failed => {
            reply.permit.update_health(Health::record_failure);
            reply.permit.record_response(true);
            let (answer, _) = collect(router, call, reply).await?;
            Err(AttemptError::Answered(answer))
        }
        AnswerClass::NotRun | AnswerClass::Misdirected => {
            may_have_run.set(before);
            history.runs -= 1;
            history.rejections += 1;
            handle_rejection(router, call, reply, class).await;
            Err(AttemptError::NotRun)
        }
        AnswerClass::Invalid => {
            router.log(line(call, "invalid_answer").subject(reply.permit.grant.id.as_str()));
            reply.permit.update_health(Health::record_failure);
            reply.permit.record_response(true);
            Err(AttemptError::MayHaveRun)
        }
    }
}

/// Sends the request of a call and waits for the head of the answer.
async fn send_request(
    router: &Rc<Router>,
    call: &Rc<Call>,
    mut permit: Permit,
    last_event: Option<&str>,
    history: &mut AttemptHistory,
) -> Result<Reply, AttemptError> {
    let runner = permit.grant.runner;
    let idle = router.pool.borrow_mut().take(runner, call.route.kind.is_idempotent());
    let mut connection = match idle {
        Some(connection) => connection,
        None => connect(router, call, &permit).await?,
    };
    let now = router.now();
    if !router.core.borrow().may_send(now, &permit.grant) {
        let line = line(call, "grant_withdrawn").subject(permit.grant.id.as_str());
        router.log(line.outcome("the runner may have left"));
        return Err(AttemptError::NotRun);
    }
    let time_left = call.deadline.saturating_sub(now);
    let attempt =
        Attempt { runner: &permit.grant.id, source: permit.grant.source, time_left, last_event };
    let request = (router.protocol.build_request)(call, &attempt);
    router.log(sent_line(router, call, &attempt));
    history.sends += 1;
    history.runs += 1;
    permit.record_sent();
    match connection.send_named(request, router.protocol.id_header).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            let notice = (router.protocol.notice)(&head);
            notice::record(router, &permit.grant, &notice);
            Ok(Reply { permit, connection, head, body, sent_at: now })
        }
        Err(failure) => {
            router.pool.borrow_mut().discard(runner);
            let outcome = format!("{failure:?}");
            router
                .log(line(call, "send_failed").subject(permit.grant.id.as_str()).outcome(outcome));
            if failure == Failure::NotSent {
                history.runs -= 1;
                permit.record_not_run();
                return Err(AttemptError::NotRun);
            }
            permit.record_break(None);
            permit.record_broken_response();
            permit.update_health(Health::record_unreachable);
            Err(AttemptError::MayHaveRun)
        }
    }
}

/// Returns the log line that names the runner of a request.
fn sent_line(router: &Router, call: &Call, attempt: &Attempt<'_>) -> Line {
    let source = attempt.source.map(|source| format!("shared parts from {source}"));
    let line = line_with_route(call, "sent").subject(attempt.runner.as_str());
    let mut line = line.outcome(source.unwrap_or_default());
    line.departures_age_ms = router.departures_age().map(event::millis);
    match router.config_age() {
        Some(age) => line.age(age),
        None => line,
    }
}

async fn connect(
    router: &Router,
    call: &Call,
    permit: &Permit,
) -> Result<Connection, AttemptError> {
    let connection = Connection::open(permit.grant.address, CONNECT_TIMEOUT).await;
    connection.map_err(|_| {
        permit.update_health(Health::record_unreachable);
        router.log(line(call, "connect_failed").subject(permit.grant.id.as_str()));
        AttemptError::NotRun
    })
}

/// Reads the entire body of an answer and returns the connection to the pool.
async fn collect(
    router: &Router,
    call: &Call,
    reply: Reply,
) -> Result<(Response<Held>, Permit), AttemptError> {
    let Reply { mut permit, mut connection, head, mut body, .. } = reply;
    let mut reservation = router.buffer.reservation(call.owner);
    let mut collected = Collected::default();
    while let Some(frame) = poll_fn(|context| connection.poll_frame(&mut body, context)).await {
        let Ok(frame) = frame else {
            permit.record_break(None);
            permit.record_broken_response();
            permit.update_health(Health::record_failure);
            return Err(AttemptError::MayHaveRun);
        };
        let Ok(bytes) = frame.into_data() else { continue };
        match reservation.add(bytes.len()).await {
            Ok(()) => collected.add(bytes),
            Err(Refused::TooLarge) => {
                permit.update_health(Health::record_failure);
                return Err(AttemptError::MayHaveRun);
            }
            Err(refused) => {
                let line = line(call, "answer_without_memory");
                router.log(line.outcome(refused.to_string()));
                return Err(AttemptError::MayHaveRun);
            }
        }
    }
    connection.mark_used();
    let body = Held::new(collected.freeze(), reservation.complete());
    let stated = (router.protocol.keep_alive)(&head);
    router.pool.borrow_mut().put(permit.grant.runner, connection, stated);
    Ok((Response::from_parts(head, body), permit))
}

async fn handle_rejection(router: &Router, call: &Call, mut reply: Reply, class: AnswerClass) {
    reply.permit.record_not_run();
    let runner = reply.permit.grant.runner;
    let outcome = class.to_string();
    router.log(line(call, "rejected").subject(reply.permit.grant.id.as_str()).outcome(outcome));
    if class == AnswerClass::Misdirected {
        reply.permit.update_health(Health::record_unreachable);
        return;
    }
    if !notice::is_paused(router, &reply.permit.grant) {
        reply.permit.update_health(Health::record_failure);
    }
    let reading = reply.connection.collect(reply.body, MAX_REJECTION_BYTES);
    if let Ok(Ok(_)) = time::timeout(REJECTION_BODY_TIMEOUT, reading).await {
        let stated = (router.protocol.keep_alive)(&reply.head);
        router.pool.borrow_mut().put(runner, reply.connection, stated);
    }
}

/// Returns whether another attempt at the call is allowed.
fn may_retry(router: &Router, call: &Call, history: &AttemptHistory) -> bool {
    if history.probes.is_some() && history.runs > 0 {
        return false;
    }
    if history.rejections >= MAX_REJECTIONS || history.avoid.len() > 2 * MAX_REJECTIONS as usize {
        return false;
    }
    if history.runs > 0 && (!call.route.kind.is_idempotent() || history.runs >= call.route.attempts)
    {
        return false;
    }
    let is_first_send = history.sends == 0;
    is_first_send || router.core.borrow_mut().take_retry(router.now(), &call.service)
}

/// Returns the final answer when no further attempt is made; `not_run` is that of a request that has not run.
fn last_answer(history: &AttemptHistory, last: Option<Response<Held>>, not_run: Answer) -> Answer {
    match last {
        Some(answer) => Answer::Complete(answer),
        None if history.runs > 0 => Answer::Problem(Problem::Lost),
        None => not_run,
    }
}

const fn refused(retry_after: Duration) -> Answer {
    Answer::Problem(Problem::Refused { retry_after, reason: Refusal::NoRunner, limit: None })
}

/// Returns how long this attempt may wait for the head of its answer; limited only if another attempt may follow.
fn attempt_limit(router: &Router, call: &Call, history: &AttemptHistory) -> Duration {
    let left = call.deadline.saturating_sub(router.now());
    let has_more = history.runs + 1 < call.route.attempts;
    match call.route.kind {
        Kind::Safe if has_more => left.mul_f64(ATTEMPT_FRACTION),
        _ => Duration::MAX,
    }
}

/// Waits for another runner that may resume a stream, within the limits on attempts and retries.
pub(crate) async fn permit_to_resume(
    router: &Rc<Router>,
    call: &Rc<Call>,
    history: &AttemptHistory,
) -> Option<Permit> {
    if !may_retry(router, call, history) {
        return None;
    }
    acquire::acquire(router, call, history).await.ok()
}

/// Resumes a stream at another runner, first at that of `permit` if there is one.
pub(crate) async fn resume(
    router: Rc<Router>,
    call: Rc<Call>,
    mut history: AttemptHistory,
    last_event: Option<String>,
    mut permit: Option<Permit>,
) -> Option<(Reply, AttemptHistory)> {
    loop {
        let permit = match permit.take() {
            Some(permit) => permit,
            None => permit_to_resume(&router, &call, &history).await?,
        };
        history.avoid.push(permit.grant.runner);
        let Ok(mut reply) =
            send_request(&router, &call, permit, last_event.as_deref(), &mut history).await
        else {
            continue;
        };
        match (router.protocol.classify)(&call, &reply.head) {
            AnswerClass::Final if reply.head.status.is_success() => return Some((reply, history)),
            class @ (AnswerClass::NotRun | AnswerClass::Misdirected) => {
                history.runs -= 1;
                history.rejections += 1;
                handle_rejection(&router, &call, reply, class).await;
            }
            _ => {
                reply.permit.update_health(Health::record_failure);
                reply.permit.record_response(true);
            }
        }
    }
}

/// Returns a log line about a call.
pub(crate) fn line(call: &Call, event: &'static str) -> Line {
    let mut line = Line::new(event).version(call.version);
    line.request = Some(call.id.clone());
    line
}

/// Returns a log line about a call, with its route and workspace.
fn line_with_route(call: &Call, event: &'static str) -> Line {
    let mut line = line(call, event);
    line.route = Some(call.route.name.to_string());
    line.workspace = call.workspace.as_ref().map(ToString::to_string);
    line
}

fn log_answer(router: &Router, call: &Call, answer: &Answer, sends: u32) {
    let (event, outcome) = match answer {
        Answer::Complete(response) => ("answered", response.status().as_u16().to_string()),
        Answer::Stream(_) => ("streaming", String::new()),
        Answer::Problem(Problem::Refused { reason, .. }) => ("refused", reason.to_string()),
        Answer::Problem(problem) => ("failed", problem.to_string()),
    };
    let took = router.now().saturating_sub(call.arrived);
    if !matches!(answer, Answer::Problem(_)) {
        router.metrics.record_answer(call.route.kind, took);
    }
    let mut line = line_with_route(call, event).outcome(outcome);
    line.took_ms = Some(event::millis(took));
    line.sends = Some(sends);
    if let Answer::Problem(Problem::Refused { limit, .. }) = answer {
        router.metrics.count_refusal(*limit);
        line.limit = limit.map(|limit| limit.to_string());
    }
    router.log(line);
}
