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
const CLAIM_PAUSE: Duration = Duration::from_millis(1_000);
/// Time before the log is asked again after a failure.
const LOG_PAUSE: Duration = Duration::from_millis(500);
/// Time before an order that was not sent is tried again.
const UNSENT_PAUSE: Duration = Duration::from_millis(500);
/// Time after being superseded until a dispatcher that still is one begins a new term.
const FIRST_RECLAIM: Duration = Duration::from_secs(10);
/// Longest such time.
const MOST_RECLAIM: Duration = Duration::from_secs(160);
/// Ids of former claims that are remembered.
const RETIRED: usize = 16;

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
struct Hold {
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
    Doubtful { from: u64 },
    Held(Hold),
    Stopped { since: Duration },
}

/// The right of a dispatcher to give orders for one shard, and what it has ordered.
#[derive(Debug)]
pub struct Lease {
    claim: Record,
    /// Former claims of this charter, which may still arrive in the log and are not used.
    retired: Vec<Uuid>,
    phase: Phase,
    wanted: Vec<Task>,
    runners: IndexMap<Name, Runner>,
    /// Whether the log has been asked and has not answered.
    asking: bool,
    ask_at: Duration,
    reclaim: Duration,
    orders: u64,
    outbox: Vec<Action>,
}

impl Lease {
    /// Creates the charter of a dispatcher that has claimed nothing yet.
    #[must_use]
    pub fn new(shard: Shard, router: Name, term: Term, id: Uuid, now: Duration) -> Self {
        Self {
            claim: Record { shard, router, term, id },
            retired: Vec::new(),
            phase: Phase::Unclaimed,
            wanted: Vec::new(),
            runners: IndexMap::new(),
            asking: false,
            ask_at: now + CLAIM_PAUSE,
            reclaim: FIRST_RECLAIM,
            orders: 0,
            outbox: Vec::new(),
        }
    }

    /// Begins a new term, which needs a new claim and gives all orders again.
    pub fn begin_term(&mut self, term: Term, id: Uuid, now: Duration) {
        self.retired.push(mem::replace(&mut self.claim.id, id));
        let surplus = self.retired.len().saturating_sub(RETIRED);
        self.retired.drain(..surplus);
        self.claim.term = term;
        self.phase = Phase::Unclaimed;
        self.asking = false;
        self.ask_at = now + CLAIM_PAUSE;
        for runner in self.runners.values_mut() {
            runner.forget();
            runner.busy = None;
        }
    }

    /// Takes in what the runners shall have loaded.
    pub fn update_plan(&mut self, wanted: &[Task], targets: Vec<Target>) {
        if self.wanted != wanted {
            self.wanted = wanted.to_vec();
            self.runners.values_mut().for_each(Runner::forget);
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
        self.asking = false;
        match append {
            Append::NotRun => self.ask_at = now + LOG_PAUSE,
            Append::MayHaveRun { from } => self.phase = Phase::Doubtful { from },
        }
    }

    /// Takes in a reading whose last question to the log was begun at `asked`.
    pub fn record_read(
        &mut self,
        id: Uuid,
        asked: Duration,
        result: &Result<Tail, ReadError>,
        now: Duration,
    ) {
        if id != self.claim.id {
            return;
        }
        self.asking = false;
        match (self.phase, result) {
            (Phase::Doubtful { .. }, Ok(reading)) => self.read_back(reading, asked, now),
            (Phase::Doubtful { .. }, Err(ReadError::Trimmed)) => self.phase = Phase::Unclaimed,
            (Phase::Held(hold), Ok(reading)) => self.confirm(hold, reading, asked, now),
            (Phase::Held(_), Err(ReadError::Trimmed)) => self.stop("its records are gone", now),
            (_, Err(ReadError::Unavailable)) => self.ask_at = now + LOG_PAUSE,
            (Phase::Unclaimed | Phase::Stopped { .. }, _) => {}
        }
    }

    fn read_back(&mut self, reading: &Tail, asked: Duration, now: Duration) {
        let id = self.claim.id;
        let Some(own) = reading.records.iter().rfind(|seen| seen.record.id == id) else {
            self.phase = Phase::Unclaimed;
            self.ask_at = now + LOG_PAUSE;
            return;
        };
        let (fence, cursor) = (own.offset, reading.next);
        let hold = Hold { fence, cursor, read_back: now, confirmed: asked };
        self.note(None, format!("{} may order with fence {fence}", self.claim.shard));
        self.phase = Phase::Held(hold);
        self.confirm(hold, reading, asked, now);
    }

    fn confirm(&mut self, hold: Hold, reading: &Tail, asked: Duration, now: Duration) {
        let rival = reading.records.iter().find(|seen| {
            let id = seen.record.id;
            let is_other = id != self.claim.id && !self.retired.contains(&id);
            is_other && seen.record.shard == self.claim.shard && seen.offset > hold.fence
        });
        match rival {
            Some(rival) => {
                let reason = format!("{} has fence {}", rival.record.router, rival.offset);
                self.stop(&reason, now);
            }
            None => {
                self.phase = Phase::Held(Hold { cursor: reading.next, confirmed: asked, ..hold });
            }
        }
    }

    /// Takes in how an order ended.
    pub fn record_outcome(&mut self, order: &Order, outcome: Outcome, now: Duration) {
        if order.id.claim != self.claim.id {
            return;
        }
        let Some(runner) = self.runners.get_mut(&order.runner) else { return };
        if runner.busy != Some(order.id.number) {
            return;
        }
        runner.busy = None;
        match outcome {
            Outcome::Done if runner.epoch == order.id.epoch => {
                runner.obey(order.task.clone());
                self.reclaim = FIRST_RECLAIM;
            }
            Outcome::Done | Outcome::Superseded => {}
            Outcome::NotSent => runner.retry_at = now + UNSENT_PAUSE,
            Outcome::Lost | Outcome::Refused => runner.retry_at = now + MAX_TRANSIT,
        }
        let Task { kind, name } = &order.task;
        let detail = format!("order {kind} {name} with fence {} ended: {outcome}", order.fence);
        self.note(Some(order.runner.clone()), detail);
        if outcome == Outcome::Superseded {
            self.stop(&format!("{} knows a newer fence", order.runner), now);
        }
    }

    /// Returns all that is to be done now.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = mem::take(&mut self.outbox);
        match self.phase {
            Phase::Unclaimed if self.has_due() && self.may_ask(now) => {
                self.asking = true;
                actions.push(Action::Claim(self.claim.clone()));
            }
            Phase::Doubtful { from } if self.may_ask(now) => actions.push(self.ask(from)),
            Phase::Held(hold) => self.give(hold, now, &mut actions),
            Phase::Stopped { since } if self.has_due() && now >= since + self.reclaim => {
                self.reclaim = (self.reclaim * 2).min(MOST_RECLAIM);
                actions.push(Action::BeginTerm);
            }
            Phase::Unclaimed | Phase::Doubtful { .. } | Phase::Stopped { .. } => {}
        }
        actions.append(&mut self.outbox);
        actions
    }

    fn give(&mut self, hold: Hold, now: Duration, actions: &mut Vec<Action>) {
        let is_waited = now >= hold.read_back + LEASE_WAIT;
        let open: Vec<Name> = self
            .runners
            .values()
            .filter(|runner| runner.busy.is_none() && now >= runner.retry_at)
            .filter(|runner| is_waited || runner.target.checks_fencing)
            .filter(|runner| runner.due(&self.wanted).is_some())
            .map(|runner| runner.target.name.clone())
            .collect();
        if open.is_empty() {
            return;
        }
        if now >= hold.confirmed + CONFIRM_PERIOD && self.may_ask(now) {
            actions.push(self.ask(hold.cursor));
        }
        if now >= hold.confirmed + LEASE_DURATION {
            return;
        }
        for name in open {
            actions.extend(self.order(&name, hold));
        }
    }

    fn order(&mut self, name: &Name, hold: Hold) -> Option<Action> {
        let runner = self.runners.get_mut(name)?;
        let task = runner.due(&self.wanted)?.clone();
        self.orders += 1;
        runner.busy = Some(self.orders);
        let id = OrderId { claim: self.claim.id, number: self.orders, epoch: runner.epoch };
        let (address, fence) = (runner.target.address, hold.fence);
        let detail = format!("ordered {} {} with fence {fence}", task.kind, task.name);
        self.note(Some(name.clone()), detail);
        let valid_until = hold.confirmed + LEASE_DURATION;
        Some(Action::Order(Order { id, runner: name.clone(), address, task, fence, valid_until }))
    }

    const fn ask(&mut self, from: u64) -> Action {
        self.asking = true;
        Action::Read { id: self.claim.id, from }
    }

    fn may_ask(&self, now: Duration) -> bool {
        !self.asking && now >= self.ask_at
    }

    fn has_due(&self) -> bool {
        self.runners.values().any(|runner| runner.due(&self.wanted).is_some())
    }

    fn stop(&mut self, reason: &str, now: Duration) {
        if matches!(self.phase, Phase::Stopped { .. }) {
            return;
        }
        self.phase = Phase::Stopped { since: now };
        self.note(None, format!("{} gets no more orders from here: {reason}", self.claim.shard));
    }

    fn note(&mut self, runner: Option<Name>, detail: String) {
        self.outbox.push(Action::RecordEvent { runner, detail });
    }
}
