//! The life of a call: granted a runner, sent, answered, and sent again where that is allowed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use balance::Health;
use balance::Key;
use balance::Kind;
use bytes::Bytes;
use conn::Connection;
use conn::Failure;
use http::Response;
use http::response;
use hyper::body::Incoming;
use tokio::time;

use crate::Answer;
use crate::Attempt;
use crate::Call;
use crate::Line;
use crate::Problem;
use crate::ResponseClass;
use crate::Router;
use crate::Stream;
use crate::acquire;
use crate::acquire::Permit;
use crate::event;

/// How long a connection to a runner may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest answer that is handed over in one piece, in bytes.
const ANSWER_BYTES: usize = 8 << 20;
/// Runners that may turn a request away before it is refused.
const REJECTIONS: u32 = 3;
/// When a caller may come back after runners have turned its request away.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(400);
/// When a caller may come back whose request has crashed several runners.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(30);
/// The part of the time left that the first of several attempts at a safe request may take.
const ATTEMPT_PART: f64 = 0.5;

/// What the attempts at a call have come to.
#[derive(Debug, Default)]
pub(crate) struct Trail {
    /// Sends, whatever came of them.
    pub(crate) sends: u32,
    /// Sends after which the runner may have worked.
    pub(crate) runs: u32,
    /// Sends that runners have turned away.
    pub(crate) rejections: u32,
    /// Runners not to be used again.
    pub(crate) avoid: Vec<Key>,
}

/// A runner's answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct Opened {
    pub(crate) permit: Permit,
    pub(crate) connection: Connection,
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) sent_at: Duration,
}

/// Why an attempt gave no answer.
enum Fault {
    /// The request was not sent or not run.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// The runner has failed and said so.
    Answered(Response<Bytes>),
}

/// Forwards a call and returns its final answer, at its deadline at the latest.
pub async fn forward(router: &Rc<Router>, call: Rc<Call>) -> Answer {
    if router.core.borrow().crash_history.is_refused(router.now(), call.digest) {
        router.log(line(&call, "refused").outcome("its runners have crashed"));
        return Answer::Problem(Problem::Refused { retry_after: SUSPECT_RETRY_AFTER });
    }
    let has_run = Cell::new(false);
    let sends = Cell::new(0);
    let left = call.deadline.saturating_sub(router.now());
    let answer = match time::timeout(left, attempts(router, &call, &has_run, &sends)).await {
        Ok(answer) => answer,
        Err(_) if has_run.get() => Answer::Problem(Problem::Timeout),
        Err(_) => Answer::Problem(Problem::Refused { retry_after: REJECTED_RETRY_AFTER }),
    };
    log_answer(router, &call, &answer, sends.get());
    answer
}

async fn attempts(
    router: &Rc<Router>,
    call: &Rc<Call>,
    has_run: &Cell<bool>,
    sends: &Cell<u32>,
) -> Answer {
    let mut trail = Trail::default();
    let mut last = None;
    loop {
        let permit = match acquire::acquire(router, call, &trail.avoid).await {
            Ok(permit) => permit,
            Err(retry_after) => return give_up(&trail, last, retry_after),
        };
        trail.avoid.push(permit.grant.runner);
        sends.set(sends.get() + 1);
        match attempt(router, call, permit, &mut trail, has_run).await {
            Ok(answer) => return answer,
            Err(Fault::Answered(answer)) => last = Some(answer),
            Err(Fault::NotRun | Fault::MayHaveRun) => (),
        }
        if !may_go_on(router, call, &trail) {
            return give_up(&trail, last, REJECTED_RETRY_AFTER);
        }
    }
}

async fn attempt(
    router: &Rc<Router>,
    call: &Rc<Call>,
    permit: Permit,
    trail: &mut Trail,
    has_run: &Cell<bool>,
) -> Result<Answer, Fault> {
    let limit = attempt_limit(router, call, trail);
    let before = has_run.get();
    has_run.set(true);
    let opening = open(router, call, permit, None, trail);
    let opened = match time::timeout(limit, opening).await {
        Ok(Ok(opened)) => opened,
        Ok(Err(Fault::NotRun)) => {
            has_run.set(before);
            return Err(Fault::NotRun);
        }
        Ok(Err(fault)) => return Err(fault),
        Err(_) => return Err(Fault::MayHaveRun),
    };
    let class = (router.protocol.classify)(call, &opened.head);
    match class {
        ResponseClass::Final if call.route.kind.is_stream() && opened.head.status.is_success() => {
            let (head, stream) = Stream::begin(router, call, opened, trail.runs);
            Ok(Answer::Stream(Box::new(Response::from_parts(head, stream))))
        }
        ResponseClass::Final => {
            let (answer, permit) = collect(router, opened).await?;
            permit.answered();
            Ok(Answer::Complete(answer))
        }
        ResponseClass::Failed => {
            opened.permit.judge(Health::record_failure);
            let (answer, _) = collect(router, opened).await?;
            Err(Fault::Answered(answer))
        }
        ResponseClass::NotRun | ResponseClass::Misdirected => {
            has_run.set(before);
            trail.runs -= 1;
            trail.rejections += 1;
            rejected(router, call, opened, class).await;
            Err(Fault::NotRun)
        }
        ResponseClass::Invalid => {
            router.log(line(call, "invalid_answer").subject(opened.permit.grant.id.as_str()));
            opened.permit.judge(Health::record_failure);
            Err(Fault::MayHaveRun)
        }
    }
}

/// Sends a call and waits for the head of the answer.
async fn open(
    router: &Rc<Router>,
    call: &Rc<Call>,
    mut permit: Permit,
    last_event: Option<&str>,
    trail: &mut Trail,
) -> Result<Opened, Fault> {
    let runner = permit.grant.runner;
    let kept = router.pool.borrow_mut().take(runner, call.route.kind.is_idempotent());
    let mut connection = match kept {
        Some(connection) => connection,
        None => connect(router, call, &permit).await?,
    };
    let now = router.now();
    let time_left = call.deadline.saturating_sub(now);
    let attempt =
        Attempt { runner: &permit.grant.id, source: permit.grant.source, time_left, last_event };
    let request = (router.protocol.build_request)(call, &attempt);
    router.log(sent(router, call, &attempt));
    trail.sends += 1;
    trail.runs += 1;
    permit.sent();
    match connection.send(request).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            Ok(Opened { permit, connection, head, body, sent_at: now })
        }
        Err(failure) => {
            router.pool.borrow_mut().forget(runner);
            let outcome = format!("{failure:?}");
            router
                .log(line(call, "send_failed").subject(permit.grant.id.as_str()).outcome(outcome));
            if failure == Failure::NotSent {
                trail.runs -= 1;
                permit.not_run();
                return Err(Fault::NotRun);
            }
            permit.crashed();
            permit.judge(Health::record_unreachable);
            Err(Fault::MayHaveRun)
        }
    }
}

/// Returns the line that names the runner of a request.
fn sent(router: &Router, call: &Call, attempt: &Attempt<'_>) -> Line {
    let source = attempt.source.map(|source| format!("shared parts from {source}"));
    let line = described(call, "sent").subject(attempt.runner.as_str());
    let line = line.outcome(source.unwrap_or_default());
    match router.config_age() {
        Some(age) => line.age(age),
        None => line,
    }
}

async fn connect(router: &Router, call: &Call, permit: &Permit) -> Result<Connection, Fault> {
    let opened = Connection::open(permit.grant.address, CONNECT_TIMEOUT).await;
    opened.map_err(|_| {
        permit.judge(Health::record_unreachable);
        router.log(line(call, "connect_failed").subject(permit.grant.id.as_str()));
        Fault::NotRun
    })
}

/// Reads the whole body of an answer and keeps the connection.
async fn collect(router: &Router, opened: Opened) -> Result<(Response<Bytes>, Permit), Fault> {
    let Opened { permit, mut connection, head, body, .. } = opened;
    let Ok(body) = connection.collect(body, ANSWER_BYTES).await else {
        permit.judge(Health::record_failure);
        return Err(Fault::MayHaveRun);
    };
    let stated = (router.protocol.keep_alive)(&head);
    router.pool.borrow_mut().put(permit.grant.runner, connection, stated);
    Ok((Response::from_parts(head, body), permit))
}

async fn rejected(router: &Router, call: &Call, mut opened: Opened, class: ResponseClass) {
    opened.permit.not_run();
    let runner = opened.permit.grant.runner;
    let outcome = class.to_string();
    router.log(line(call, "rejected").subject(opened.permit.grant.id.as_str()).outcome(outcome));
    if class == ResponseClass::Misdirected {
        opened.permit.judge(Health::record_unreachable);
        return;
    }
    opened.permit.judge(Health::record_failure);
    if opened.connection.collect(opened.body, ANSWER_BYTES).await.is_ok() {
        let stated = (router.protocol.keep_alive)(&opened.head);
        router.pool.borrow_mut().put(runner, opened.connection, stated);
    }
}

/// Returns whether the call may be sent once more.
fn may_go_on(router: &Router, call: &Call, trail: &Trail) -> bool {
    if trail.rejections >= REJECTIONS || trail.avoid.len() > 2 * REJECTIONS as usize {
        return false;
    }
    if trail.runs > 0 && (!call.route.kind.is_idempotent() || trail.runs >= call.route.attempts) {
        return false;
    }
    let is_first_send = trail.sends == 0;
    is_first_send || router.core.borrow_mut().take_retry(router.now(), &call.service)
}

fn give_up(trail: &Trail, last: Option<Response<Bytes>>, retry_after: Duration) -> Answer {
    match last {
        Some(answer) => Answer::Complete(answer),
        None if trail.runs > 0 => Answer::Problem(Problem::Lost),
        None => Answer::Problem(Problem::Refused { retry_after }),
    }
}

/// Returns how long this attempt may wait for the head of its answer, if another one may follow.
fn attempt_limit(router: &Router, call: &Call, trail: &Trail) -> Duration {
    let left = call.deadline.saturating_sub(router.now());
    let has_more = trail.runs + 1 < call.route.attempts;
    match call.route.kind {
        Kind::Safe if has_more => left.mul_f64(ATTEMPT_PART),
        _ => Duration::MAX,
    }
}

/// Opens the continuation of a stream at another runner, within all limits.
pub(crate) async fn resume(
    router: Rc<Router>,
    call: Rc<Call>,
    mut trail: Trail,
    last_event: Option<String>,
) -> Option<(Opened, Trail)> {
    loop {
        if !may_go_on(&router, &call, &trail) {
            return None;
        }
        let permit = acquire::acquire(&router, &call, &trail.avoid).await.ok()?;
        trail.avoid.push(permit.grant.runner);
        let Ok(opened) = open(&router, &call, permit, last_event.as_deref(), &mut trail).await
        else {
            continue;
        };
        match (router.protocol.classify)(&call, &opened.head) {
            ResponseClass::Final if opened.head.status.is_success() => {
                return Some((opened, trail));
            }
            class @ (ResponseClass::NotRun | ResponseClass::Misdirected) => {
                trail.runs -= 1;
                trail.rejections += 1;
                rejected(&router, &call, opened, class).await;
            }
            _ => opened.permit.judge(Health::record_failure),
        }
    }
}

/// Returns a line about a call.
pub(crate) fn line(call: &Call, event: &'static str) -> Line {
    let mut line = Line::new(event).version(call.version);
    line.request = Some(call.id.clone());
    line
}

/// Returns a line of a call with its route and workspace.
fn described(call: &Call, event: &'static str) -> Line {
    let mut line = line(call, event);
    line.route = Some(call.route.name.to_string());
    line.workspace = call.workspace.as_ref().map(ToString::to_string);
    line
}

fn log_answer(router: &Router, call: &Call, answer: &Answer, sends: u32) {
    let (event, outcome) = match answer {
        Answer::Complete(response) => ("answered", response.status().as_u16().to_string()),
        Answer::Stream(_) => ("streaming", String::new()),
        Answer::Problem(Problem::Refused { .. }) => ("refused", "no runner in time".to_owned()),
        Answer::Problem(problem) => ("failed", problem.to_string()),
    };
    let took = router.now().saturating_sub(call.arrived);
    if !matches!(answer, Answer::Problem(_)) {
        router.metrics.record_answer(call.route.kind, took);
    }
    let mut line = described(call, event).outcome(outcome);
    line.took_ms = Some(event::millis(took));
    line.sends = Some(sends);
    router.log(line);
}
