//! The state that the tasks of [`Claims`](crate::Claims) share.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::Verdict;
use indexmap::IndexMap;
use plat::Error;
use plat::Page;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use uuid::Uuid;

use crate::Answer;
use crate::Claim;
use crate::Decision;
use crate::Digest;
use crate::Entry;
use crate::KeyState;
use crate::Limits;
use crate::Outcome;
use crate::Refusal;
use crate::Release;
use crate::Request;
use crate::Resolution;
use crate::Scope;
use crate::Settings;
use crate::Status;
use crate::Table;
use crate::Ticket;
use crate::entry;
use crate::health::Health;
use crate::health::RETRY_AFTER;
use crate::limits;
use crate::queue::Pending;
use crate::queue::Queue;

/// Maximum number of claims that wait to be read back.
const MAX_WAITERS: usize = 10_000;
/// Maximum number of appends of one claim while its caller waits.
const MAX_CLAIM_APPENDS: u32 = 5;
/// Base of the exponential delay before an outcome or a release is appended again.
const RETRY_BASE_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of doublings of that delay.
const MAX_RETRY_DOUBLINGS: u32 = 5;
/// Delay after which a caller may retry when its key is about to be released.
const RELEASE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The receiver of the decision on a claim.
pub(crate) type DecisionReceiver = oneshot::Receiver<Decision>;

/// The settings, the client of the log and the state that all tasks share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) log: plat::Log,
    pub(crate) queued: Notify,
    pub(crate) append_finished: Notify,
    state: Mutex<State>,
}

/// A claim that waits to be read back.
#[derive(Debug)]
struct Waiter {
    scope: Scope,
    digest: Digest,
    sender: oneshot::Sender<Decision>,
}

/// The position of the reader in the stream.
#[derive(Debug, Default)]
pub(crate) struct Tail {
    /// The offset to read next, once it is known.
    pub(crate) position: Option<u64>,
    /// The offset up to which the stream must be read before claims are accepted.
    pub(crate) window_end: u64,
    /// Whether the window has been read.
    pub(crate) ready: bool,
    /// Whether any page has been read since the process started; only then can records be missed.
    has_read: bool,
    /// Whether records between the last page read and `position` may have been missed.
    has_gap: bool,
}

/// The state that tasks change under the lock.
#[derive(Debug)]
pub(crate) struct State {
    limits: Limits,
    router: base::Name,
    table: Table,
    waiters: IndexMap<Uuid, Waiter>,
    /// The claims whose release has not been read back yet.
    releasing: IndexMap<Uuid, Scope>,
    pub(crate) queue: Queue,
    pub(crate) health: Health,
    pub(crate) tail: Tail,
    /// The number of entries that are being appended.
    pub(crate) in_flight: usize,
    pub(crate) stopping: bool,
}

impl Shared {
    pub(crate) fn new(settings: Settings, log: plat::Log) -> Self {
        let limits = Limits::new(settings.retention, settings.deadline);
        let state = State {
            limits,
            router: settings.router.clone(),
            table: Table::new(limits),
            waiters: IndexMap::new(),
            releasing: IndexMap::new(),
            queue: Queue::default(),
            health: Health::default(),
            tail: Tail::default(),
            in_flight: 0,
            stopping: false,
        };
        let state = Mutex::new(state);
        Self { settings, log, queued: Notify::new(), append_finished: Notify::new(), state }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Queues a claim, or returns a decision as an error if none is needed.
    pub(crate) fn begin_claim(
        &mut self,
        request: &Request,
    ) -> Result<(Uuid, DecisionReceiver), Decision> {
        let scope = request.scope();
        let digest = Digest(request.digest);
        self.check_claim(&scope, &digest)?;
        let id = Uuid::new_v4();
        let claim = Claim {
            scope: scope.clone(),
            id,
            request: Uuid::from_u128(request.request.0),
            router: self.router.clone(),
            digest,
        };
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(id, Waiter { scope, digest, sender });
        self.queue.push(Pending::new(Entry::Claim(claim), Instant::now()));
        Ok((id, receiver))
    }

    fn check_claim(&self, scope: &Scope, digest: &Digest) -> Result<(), Decision> {
        let now = Instant::now();
        self.table.check_age(scope, now_ms()).map_err(Decision::Refused)?;
        if self.stopping {
            return Err(Decision::Refused(Refusal::NotReady { retry_after: RETRY_AFTER }));
        }
        if self.tail.ready {
            self.earlier_decision(scope, digest)?;
        }
        if let Some(retry_after) = self.health.retry_after(now) {
            return Err(Decision::Refused(Refusal::LogDown { retry_after }));
        }
        if !self.tail.ready {
            return Err(Decision::Refused(Refusal::NotReady { retry_after: RETRY_AFTER }));
        }
        if self.waiters.len() >= MAX_WAITERS {
            return Err(Decision::Refused(Refusal::LogDown { retry_after: RETRY_AFTER }));
        }
        Ok(())
    }

    /// Returns a decision as an error if an earlier claim of the key determines it.
    fn earlier_decision(&self, scope: &Scope, digest: &Digest) -> Result<(), Decision> {
        match self.table.key_state(scope, digest) {
            KeyState::Free => Ok(()),
            KeyState::Held(id) if self.releasing.contains_key(&id) => Ok(()),
            KeyState::Held(_) => Err(Decision::Unfinished),
            KeyState::Reused => Err(Decision::Refused(Refusal::KeyReused)),
            KeyState::Finished(answer) => Err(Decision::Finished(answer)),
        }
    }

    /// Abandons a claim whose decision was not delivered, and releases it if it may be in the log.
    pub(crate) fn abandon_claim(&mut self, scope: &Scope, id: Uuid) {
        self.waiters.swap_remove(&id);
        let removed = self.queue.remove_claim(id);
        if removed.is_some_and(|pending| !pending.may_be_in_log) {
            return;
        }
        if !self.table.has_tombstone(scope, id) {
            self.release(scope.clone(), id);
        }
    }

    /// Queues the release of a claim whose call has not run.
    pub(crate) fn release(&mut self, scope: Scope, id: Uuid) {
        self.releasing.insert(id, scope.clone());
        let entry = Entry::Release(Release { scope, id });
        self.queue.push(Pending::new(entry, Instant::now()));
    }

    /// Queues the outcome of a claim whose call has run.
    pub(crate) fn record(
        &mut self,
        ticket: &Ticket,
        answer: Answer,
    ) -> oneshot::Receiver<Result<(), Error>> {
        let outcome =
            Outcome::new(ticket.scope.clone(), ticket.id, answer, self.limits.max_body_bytes);
        let (sender, receiver) = oneshot::channel();
        let mut pending = Pending::new(Entry::Outcome(outcome), Instant::now());
        pending.done = Some(sender);
        self.queue.push(pending);
        receiver
    }

    /// Handles the result of an append.
    pub(crate) fn handle_append_result(&mut self, batch: Vec<Pending>, result: Result<u64, Error>) {
        let now = Instant::now();
        match result {
            Ok(_) => self.health.append_succeeded(),
            Err(error) => self.health.append_failed(error),
        }
        for mut pending in batch {
            if let Some(done) = pending.done.take() {
                // An error means that the caller no longer waits.
                done.send(result.map(|_| ())).ok();
            }
            if let Err(error) = result {
                self.retry(pending, error, now);
            }
        }
    }

    fn retry(&mut self, mut pending: Pending, error: Error, now: Instant) {
        pending.failed_appends += 1;
        pending.may_be_in_log |= error.verdict() != Verdict::NotRun;
        if matches!(pending.entry, Entry::Claim(_)) {
            self.retry_claim(pending, error, now);
        } else if self.must_retry(&pending, now) {
            let delay = RETRY_BASE_DELAY * (1 << pending.failed_appends.min(MAX_RETRY_DOUBLINGS));
            self.queue.push_delayed(pending, now + delay);
        }
    }

    fn retry_claim(&mut self, pending: Pending, error: Error, now: Instant) {
        let id = pending.entry.id();
        if !self.waiters.contains_key(&id) {
            return;
        }
        let is_down = error == Error::Unreachable || pending.failed_appends >= MAX_CLAIM_APPENDS;
        if !is_down && self.health.retry_after(now).is_none() {
            self.queue.push(pending);
            return;
        }
        self.health.refuse_claims(now);
        if pending.may_be_in_log {
            self.release(pending.entry.scope().clone(), id);
        }
        self.send_decision(id, Decision::Refused(Refusal::LogDown { retry_after: RETRY_AFTER }));
    }

    fn must_retry(&self, pending: &Pending, now: Instant) -> bool {
        let (scope, id) = (pending.entry.scope(), pending.entry.id());
        let known = self.table.is_finished(scope, id) || self.table.has_tombstone(scope, id);
        let age = limits::millis(now.duration_since(pending.since));
        !known && age < self.limits.retention_ms
    }

    /// Applies the records of a page.
    pub(crate) fn apply_page(&mut self, page: &Page) {
        let now_ms = now_ms();
        let position = self.tail.position.unwrap_or(page.first);
        if page.next < position {
            log::warn!("claim: the log ends at {}, before read position {position}", page.next);
            self.tail.restart(page.first, page.next);
            return;
        }
        if std::mem::take(&mut self.tail.has_gap) {
            let until = page.records.first().map_or(now_ms, |record| record.time_ms);
            self.table.record_gap(until);
        }
        for record in page.records.iter().filter(|record| record.offset >= position) {
            self.apply_record(&record.body, record.offset, now_ms);
        }
        self.tail.advance(position, page);
        self.expire(now_ms);
    }

    fn apply_record(&mut self, body: &str, offset: u64, now_ms: u64) {
        let Some(entries) = entry::decode(body) else {
            log::warn!("claim: skipped record {offset}, whose format is unknown");
            return;
        };
        for entry in entries {
            let result = self.table.apply(&entry);
            match (entry, result) {
                (Entry::Claim(claim), Some(result)) => self.decide(claim.id, result, now_ms),
                (Entry::Release(release), _) => {
                    self.releasing.swap_remove(&release.id);
                }
                _ => (),
            }
        }
    }

    /// Decides on a claim of this router that was read back.
    fn decide(&mut self, id: Uuid, resolution: Resolution, now_ms: u64) {
        let Some(waiter) = self.waiters.get(&id) else { return };
        let scope = waiter.scope.clone();
        let decision = match (self.table.check_age(&scope, now_ms), resolution) {
            (Err(refusal), _) => {
                self.release(scope, id);
                Decision::Refused(refusal)
            }
            (Ok(()), Resolution::Acquired) => Decision::Acquired(Ticket { scope, id }),
            (Ok(()), Resolution::Void) => {
                let digest = waiter.digest;
                match self.earlier_decision(&scope, &digest) {
                    Err(decision) => decision,
                    Ok(()) => {
                        Decision::Refused(Refusal::LogDown { retry_after: RELEASE_RETRY_AFTER })
                    }
                }
            }
        };
        self.send_decision(id, decision);
    }

    /// Sends a decision to the caller. A caller that no longer waits abandons its claim itself.
    fn send_decision(&mut self, id: Uuid, decision: Decision) {
        if let Some(waiter) = self.waiters.swap_remove(&id) {
            waiter.sender.send(decision).ok();
        }
    }

    fn expire(&mut self, now_ms: u64) {
        self.table.expire(now_ms);
        let retention_ms = self.limits.retention_ms;
        self.releasing.retain(|_, scope| {
            scope.created_ms().unwrap_or(0).saturating_add(retention_ms) >= now_ms
        });
    }

    /// Returns the state for operators.
    pub(crate) fn status(&self) -> Status {
        Status {
            ready: self.tail.ready,
            healthy: self.is_healthy(),
            tail: self.tail.position.unwrap_or(0),
            keys: self.table.len(),
            bytes: self.table.bytes(),
            waiting: self.waiters.len(),
            queued: self.queue.len() + self.in_flight,
            last_error: self.health.last_error().map(|error| error.to_string()),
        }
    }

    /// Returns whether claims are accepted.
    pub(crate) fn is_healthy(&self) -> bool {
        self.tail.ready && self.health.retry_after(Instant::now()).is_none()
    }
}

impl Tail {
    /// Restarts reading at the oldest retained record.
    pub(crate) fn restart(&mut self, first: u64, next: u64) {
        self.position = Some(first);
        self.window_end = next;
        self.ready = false;
        self.has_gap = self.has_read;
    }

    /// Returns whether the entire window is read, so that the next page makes the tail ready.
    pub(crate) fn is_window_read(&self) -> bool {
        !self.ready && self.position.is_some_and(|position| position >= self.window_end)
    }

    fn advance(&mut self, position: u64, page: &Page) {
        let next = page.records.last().map_or(position, |record| record.offset + 1);
        self.position = Some(next);
        self.has_read = true;
        if !self.ready && next >= self.window_end {
            log::info!("claim: read the window up to offset {next}");
            self.ready = true;
        }
    }
}

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    limits::millis(since_epoch)
}
