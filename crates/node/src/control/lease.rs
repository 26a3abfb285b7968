//! Who may give orders to the runners of a shard, and which orders are due: decisions without input or output.
//!
//! A dispatcher claims the shard by a record in the log, whose offset is its fencing number. It gives orders only
//! within [`LEASE_DURATION`] of a reading that shows no later claim. Runners that do not check fencing numbers get orders only
//! [`LEASE_WAIT`] after the claim was read back: by then the former holder's lease and its last bytes are over.

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

/// Time after a confirmation during which the holder may give orders.
pub const LEASE_DURATION: Duration = Duration::from_millis(2_000);
/// Age of a confirmation at which the holder asks again.
pub const CONFIRM_PERIOD: Duration = Duration::from_millis(1_000);
/// Longest way of an order from the look at the lease to the runner.
pub const MAX_TRANSIT: Duration = COMMAND_ACK_TIMEOUT.saturating_add(Duration::from_millis(500));
/// Time from reading back a claim until runners that do not check fencing numbers get orders.
pub const LEASE_WAIT: Duration = LEASE_DURATION.saturating_add(MAX_TRANSIT);
/// Time from the begin of a term to its claim, in which routers that start or wake learn who dispatches.
const CLAIM_DELAY: Duration = Duration::from_millis(1_000);
/// Time before the log is asked again after a failure.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time before an order that was not sent is tried again.
const UNSENT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after being superseded until a dispatcher that still is one begins a new term.
const MIN_RECLAIM_DELAY: Duration = Duration::from_secs(10);
/// Longest such time.
const MAX_RECLAIM_DELAY: Duration = Duration::from_secs(160);
/// Ids of former claims that are remembered.
const MAX_FORMER_CLAIMS: usize = 16;

/// What a charter wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append the claim to the log.
    Claim(Record),
    /// Read the log from an offset to its end.
    Read {
        /// The claim that asks.
        id: Uuid,
        /// The offset.
        from: u64,
    },
    /// Order a runner, unless the time has passed when the order is sent.
    Order(Order),
    /// Begin a new term by [`Lease::begin_term`].
    BeginTerm,
    /// Record an event of the time line.
    RecordEvent {
        /// The runner concerned, if any.
        runner: Option<Name>,
        /// What has happened.
        detail: String,
    },
}

/// One order with all that is needed to send it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// By which the result is known.
    pub id: OrderId,
    /// The runner.
    pub runner: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// What is ordered.
    pub task: Task,
    /// The fencing number.
    pub fence: u64,
    /// The time from which on it must not be sent.
    pub valid_until: Duration,
}

/// Identifies an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderId {
    /// The claim under which it was given.
    pub claim: Uuid,
    /// Its number.
    pub number: u64,
    /// The epoch of the runner.
    epoch: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    fence: u64,
    /// Where to read on.
    cursor: u64,
    /// When the claim was read back.
    read_back: Duration,
    /// When the last reading without a later claim was begun.
    confirmed: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Unclaimed,
    Appended { from: u64 },
    Held(Held),
    Stopped { since: Duration },
}

/// The right of a dispatcher to give orders for one shard, and what it has ordered.
#[derive(Debug)]
pub struct Lease {
    claim: Record,
    /// Former claims of this charter, which may still arrive in the log and are not used.
    former_claims: Vec<Uuid>,
    phase: Phase,
    wanted: Vec<Task>,
    runners: IndexMap<Name, Runner>,
    /// Whether the log has been asked and has not answered.
    is_request_pending: bool,
    request_at: Duration,
    reclaim_delay: Duration,
    order_count: u64,
    outbox: Vec<Action>,
}

impl Lease {
    /// Creates the charter of a dispatcher that has claimed nothing yet.
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

    /// Begins a new term, which needs a new claim and gives all orders again.
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

    /// Takes in what the runners shall have loaded.
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

    /// Takes in a load report of a runner; none means that it could not be had.
    pub fn record_load(&mut self, runner: &Name, load: Option<Load>) {
        if let Some(known) = self.runners.get_mut(runner) {
            known.record_load(load);
        }
    }

    /// Takes in how the append of a claim ended.
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

    /// Takes in a reading whose last question to the log was begun at `asked`.
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

    /// Takes in how an order ended.
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

    /// Returns all that is to be done now.
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
