//! The order lease: a dispatcher's right to give orders to the runners of a shard, and the orders that are due.
//!
//! This module decides without I/O; the caller executes the returned [`Action`]s and records their results.
//!
//! A dispatcher claims the shard with a record in the log; the record's offset is the fencing token. It gives orders
//! only within [`LEASE_DURATION`] of a confirmation, which is a read that shows no later claim. Runners that do not
//! check fencing tokens get orders only [`LEASE_WAIT`] after the claim was read back: by then the former holder's lease
//! has expired and the last bytes that it sent have arrived.

mod record;
mod runner;

use std::mem;
use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use front::COMMAND_ACK_TIMEOUT;
use front::Outcome;
use indexmap::IndexMap;
use sched::Load;
use uuid::Uuid;
use wire::Shard;
use wire::Term;

use self::runner::Runner;

pub use record::Append;
pub use record::ReadError;
pub use record::Record;
pub use record::StoredRecord;
pub use record::Tail;
pub use runner::Kind;
pub use runner::Target;
pub use runner::Task;

/// Time after a confirmation for which the holder may give orders.
pub const LEASE_DURATION: Duration = Duration::from_millis(2_000);
/// Age of a confirmation at which the holder reads the log again.
pub const CONFIRM_PERIOD: Duration = Duration::from_millis(1_000);
/// Maximum time from the check of the lease to the arrival of the order at the runner.
pub const MAX_TRANSIT: Duration = COMMAND_ACK_TIMEOUT.saturating_add(Duration::from_millis(500));
/// Time from reading back a claim until runners that do not check fencing tokens get orders.
pub const LEASE_WAIT: Duration = LEASE_DURATION.saturating_add(MAX_TRANSIT);
/// Delay from the start of a term to its claim, in which routers that start or resume learn the current dispatcher.
const CLAIM_DELAY: Duration = Duration::from_millis(1_000);
/// Delay before the log is used again after a failure.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay before an order that was not sent is retried.
const UNSENT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// First delay from losing the lease until a router that is still the dispatcher begins a new term.
const MIN_RECLAIM_DELAY: Duration = Duration::from_secs(10);
/// Maximum delay before such a new term; the delay doubles with each one until an order succeeds.
const MAX_RECLAIM_DELAY: Duration = Duration::from_secs(160);
/// Maximum number of former claims whose ids are kept.
const MAX_FORMER_CLAIMS: usize = 16;

/// An action that the caller executes for a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append a claim to the log.
    Claim(Record),
    /// Read the log from an offset to its end.
    Read {
        /// The id of the claim that the read is for.
        id: Uuid,
        /// The first offset to read.
        from: u64,
    },
    /// Send an order to a runner, unless it has expired by then.
    Order(Order),
    /// Begin a new term with [`Lease::begin_term`].
    BeginTerm,
    /// Record an event on the timeline.
    RecordEvent {
        /// The runner concerned, if any.
        runner: Option<Name>,
        /// The description of the event.
        detail: String,
    },
}

/// An order with everything that is needed to send it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The id that matches the result to the order.
    pub id: OrderId,
    /// The runner.
    pub runner: Name,
    /// The address of the runner.
    pub address: SocketAddr,
    /// The task to execute.
    pub task: Task,
    /// The fencing token.
    pub fence: u64,
    /// The time from which on the order must not be sent.
    pub valid_until: Duration,
}

/// The id of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderId {
    /// The id of the claim under which the order was given.
    pub claim: Uuid,
    /// The number of the order.
    pub number: u64,
    /// The epoch of the runner at the time of the order.
    epoch: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    fence: u64,
    /// The offset from which to read next.
    cursor: u64,
    /// The time at which the claim was read back.
    read_back: Duration,
    /// The start time of the last read that showed no later claim.
    confirmed: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Unclaimed,
    /// The append of the claim may have taken effect; the claim is read back from this offset.
    Appended {
        from: u64,
    },
    Held(Held),
    Stopped {
        since: Duration,
    },
}

/// The right of a dispatcher to give orders for one shard, and the state of its orders.
#[derive(Debug)]
pub struct Lease {
    claim: Record,
    /// Former claims of this lease, which may still arrive in the log and are ignored.
    former_claims: Vec<Uuid>,
    phase: Phase,
    wanted: Vec<Task>,
    runners: IndexMap<Name, Runner>,
    /// Whether a request to the log is pending.
    is_request_pending: bool,
    /// The earliest time of the next request to the log.
    request_at: Duration,
    reclaim_delay: Duration,
    order_count: u64,
    outbox: Vec<Action>,
}

impl Lease {
    /// Creates the lease of a dispatcher that has claimed nothing yet.
    #[must_use]
    pub fn new(shard: Shard, router: Name, term: Term, id: Uuid, now: Duration) -> Self {
        Self {
            claim: Record { shard, router, term, id },
            former_claims: Vec::new(),
            phase: Phase::Unclaimed,
            wanted: Vec::new(),
            runners: IndexMap::new(),
            is_request_pending: false,
            request_at: now + CLAIM_DELAY,
            reclaim_delay: MIN_RECLAIM_DELAY,
            order_count: 0,
            outbox: Vec::new(),
        }
    }

    /// Begins a new term, which needs a new claim and repeats all orders.
    pub fn begin_term(&mut self, term: Term, id: Uuid, now: Duration) {
        self.former_claims.push(mem::replace(&mut self.claim.id, id));
        let surplus = self.former_claims.len().saturating_sub(MAX_FORMER_CLAIMS);
        self.former_claims.drain(..surplus);
        self.claim.term = term;
        self.phase = Phase::Unclaimed;
        self.is_request_pending = false;
        self.request_at = now + CLAIM_DELAY;
        for runner in self.runners.values_mut() {
            runner.reset_orders();
            runner.pending_order = None;
        }
    }

    /// Sets the tasks that all runners must complete, and the runners.
    pub fn update_plan(&mut self, wanted: &[Task], targets: Vec<Target>) {
        if self.wanted != wanted {
            self.wanted = wanted.to_vec();
            self.runners.values_mut().for_each(Runner::reset_orders);
        }
        self.runners.retain(|name, _| targets.iter().any(|target| target.name == *name));
        for target in targets {
            match self.runners.get_mut(&target.name) {
                Some(known) if known.target.address == target.address => known.target = target,
                Some(_) | None => {
                    self.runners.insert(target.name.clone(), Runner::new(target));
                }
            }
        }
    }

    /// Records a load report of a runner; `None` means that the runner did not answer.
    pub fn record_load(&mut self, runner: &Name, load: Option<Load>) {
        if let Some(known) = self.runners.get_mut(runner) {
            known.record_load(load);
        }
    }

    /// Records the result of appending a claim.
    pub fn record_append(&mut self, id: Uuid, append: Append, now: Duration) {
        if id != self.claim.id || self.phase != Phase::Unclaimed {
            return;
        }
        self.is_request_pending = false;
        match append {
            Append::NotRun => self.request_at = now + LOG_RETRY_DELAY,
            Append::MayHaveRun { from } => self.phase = Phase::Appended { from },
        }
    }

    /// Records the result of a read whose last request to the log started at `requested`.
    pub fn record_read(
        &mut self,
        id: Uuid,
        requested: Duration,
        result: &Result<Tail, ReadError>,
        now: Duration,
    ) {
        if id != self.claim.id {
            return;
        }
        self.is_request_pending = false;
        match (self.phase, result) {
            (Phase::Appended { .. }, Ok(tail)) => self.read_back(tail, requested, now),
            (Phase::Appended { .. }, Err(ReadError::Trimmed)) => self.phase = Phase::Unclaimed,
            (Phase::Held(held), Ok(tail)) => self.confirm(held, tail, requested, now),
            (Phase::Held(_), Err(ReadError::Trimmed)) => self.stop("its records are gone", now),
            (_, Err(ReadError::Unavailable)) => self.request_at = now + LOG_RETRY_DELAY,
            (Phase::Unclaimed | Phase::Stopped { .. }, _) => {}
        }
    }

    fn read_back(&mut self, tail: &Tail, requested: Duration, now: Duration) {
        let id = self.claim.id;
        let Some(own_record) = tail.records.iter().rfind(|stored| stored.record.id == id) else {
            self.phase = Phase::Unclaimed;
            self.request_at = now + LOG_RETRY_DELAY;
            return;
        };
        let (fence, cursor) = (own_record.offset, tail.next);
        let held = Held { fence, cursor, read_back: now, confirmed: requested };
        self.record_event(None, format!("{} may order with fence {fence}", self.claim.shard));
        self.phase = Phase::Held(held);
        self.confirm(held, tail, requested, now);
    }

    fn confirm(&mut self, held: Held, tail: &Tail, requested: Duration, now: Duration) {
        let rival = tail.records.iter().find(|stored| {
            let id = stored.record.id;
            let is_other = id != self.claim.id && !self.former_claims.contains(&id);
            is_other && stored.record.shard == self.claim.shard && stored.offset > held.fence
        });
        match rival {
            Some(rival) => {
                let reason = format!("{} has fence {}", rival.record.router, rival.offset);
                self.stop(&reason, now);
            }
            None => {
                self.phase = Phase::Held(Held { cursor: tail.next, confirmed: requested, ..held });
            }
        }
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, order: &Order, outcome: Outcome, now: Duration) {
        if order.id.claim != self.claim.id {
            return;
        }
        let Some(runner) = self.runners.get_mut(&order.runner) else { return };
        if runner.pending_order != Some(order.id.number) {
            return;
        }
        runner.pending_order = None;
        match outcome {
            Outcome::Done if runner.epoch == order.id.epoch => {
                runner.record_done(order.task.clone());
                self.reclaim_delay = MIN_RECLAIM_DELAY;
            }
            Outcome::Done | Outcome::Superseded => {}
            Outcome::NotSent => runner.retry_at = now + UNSENT_RETRY_DELAY,
            Outcome::Lost | Outcome::Refused => runner.retry_at = now + MAX_TRANSIT,
        }
        let Task { kind, name } = &order.task;
        let detail = format!("order {kind} {name} with fence {} ended: {outcome}", order.fence);
        self.record_event(Some(order.runner.clone()), detail);
        if outcome == Outcome::Superseded {
            self.stop(&format!("{} knows a newer fence", order.runner), now);
        }
    }

    /// Returns the actions that are due now.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = mem::take(&mut self.outbox);
        match self.phase {
            Phase::Unclaimed if self.has_due_order() && self.may_request(now) => {
                self.is_request_pending = true;
                actions.push(Action::Claim(self.claim.clone()));
            }
            Phase::Appended { from } if self.may_request(now) => actions.push(self.read_from(from)),
            Phase::Held(held) => self.issue_orders(held, now, &mut actions),
            Phase::Stopped { since }
                if self.has_due_order() && now >= since + self.reclaim_delay =>
            {
                self.reclaim_delay = (self.reclaim_delay * 2).min(MAX_RECLAIM_DELAY);
                actions.push(Action::BeginTerm);
            }
            Phase::Unclaimed | Phase::Appended { .. } | Phase::Stopped { .. } => {}
        }
        actions.append(&mut self.outbox);
        actions
    }

    fn issue_orders(&mut self, held: Held, now: Duration, actions: &mut Vec<Action>) {
        let is_wait_over = now >= held.read_back + LEASE_WAIT;
        let ready: Vec<Name> = self
            .runners
            .values()
            .filter(|runner| runner.pending_order.is_none() && now >= runner.retry_at)
            .filter(|runner| is_wait_over || runner.target.checks_fencing)
            .filter(|runner| runner.next_task(&self.wanted).is_some())
            .map(|runner| runner.target.name.clone())
            .collect();
        if ready.is_empty() {
            return;
        }
        if now >= held.confirmed + CONFIRM_PERIOD && self.may_request(now) {
            actions.push(self.read_from(held.cursor));
        }
        if now >= held.confirmed + LEASE_DURATION {
            return;
        }
        for name in ready {
            actions.extend(self.issue_order(&name, held));
        }
    }

    fn issue_order(&mut self, name: &Name, held: Held) -> Option<Action> {
        let runner = self.runners.get_mut(name)?;
        let task = runner.next_task(&self.wanted)?.clone();
        self.order_count += 1;
        runner.pending_order = Some(self.order_count);
        let id = OrderId { claim: self.claim.id, number: self.order_count, epoch: runner.epoch };
        let (address, fence) = (runner.target.address, held.fence);
        let detail = format!("ordered {} {} with fence {fence}", task.kind, task.name);
        self.record_event(Some(name.clone()), detail);
        let valid_until = held.confirmed + LEASE_DURATION;
        Some(Action::Order(Order { id, runner: name.clone(), address, task, fence, valid_until }))
    }

    const fn read_from(&mut self, from: u64) -> Action {
        self.is_request_pending = true;
        Action::Read { id: self.claim.id, from }
    }

    fn may_request(&self, now: Duration) -> bool {
        !self.is_request_pending && now >= self.request_at
    }

    fn has_due_order(&self) -> bool {
        self.runners.values().any(|runner| runner.next_task(&self.wanted).is_some())
    }

    fn stop(&mut self, reason: &str, now: Duration) {
        if matches!(self.phase, Phase::Stopped { .. }) {
            return;
        }
        self.phase = Phase::Stopped { since: now };
        self.record_event(
            None,
            format!("{} gets no more orders from here: {reason}", self.claim.shard),
        );
    }

    fn record_event(&mut self, runner: Option<Name>, detail: String) {
        self.outbox.push(Action::RecordEvent { runner, detail });
    }
}
