//! A simulation of routers, a log and runners in simulated time, with faults from a script.
//!
//! All times are in milliseconds.

use std::time::Duration;

use base::Name;
use base::Stamp;
use front::Outcome;
use node::lease::Action;
use node::lease::Append;
use node::lease::Kind;
use node::lease::Lease;
use node::lease::MAX_TRANSIT;
use node::lease::Order;
use node::lease::ReadError;
use node::lease::Record;
use node::lease::StoredRecord;
use node::lease::Tail;
use node::lease::Target;
use node::lease::Task;
use uuid::Uuid;
use wire::Shard;
use wire::Term;

/// Time at which all faults end.
pub(crate) const FAULTS_END: u64 = 60_000;
/// Maximum time after the faults until all runners reach the wanted state.
const MAX_SETTLE_TIME: u64 = 400_000;
/// Time after the faults in which delayed messages may still arrive.
const MAX_LATE_TIME: u64 = 20_000;
/// Step of the simulated time.
const STEP: u64 = 50;
/// Interval between two load reports of a runner.
const REPORT_PERIOD: u64 = 400;
/// Timeout of a request to an unresponsive log or runner.
const TIMEOUT: u64 = 700;
/// Maximum delay of an append whose answer is lost.
const MAX_LATE_APPEND: u64 = 3_000;
/// Time that a crashed runner needs to restart.
const RESTART_TIME: u64 = 1_000;

#[derive(Debug, Clone, Copy)]
pub(crate) enum Event {
    SetDispatcher {
        router: usize,
        active: bool,
    },
    Pause {
        router: usize,
        millis: u64,
    },
    BeginTerm {
        router: usize,
    },
    LogOutage {
        millis: u64,
    },
    LoseAnswers {
        millis: u64,
    },
    Crash {
        runner: usize,
    },
    SetPlacement {
        runner: usize,
        out: bool,
    },
    SetModel {
        version: u32,
    },
    /// A new wanted model, and soon after it a pause of one router while the next one becomes dispatcher.
    Race {
        router: usize,
        version: u32,
        after: u64,
        millis: u64,
    },
}

/// A message in transit; messages to a paused router wait until it resumes.
#[derive(Debug, Clone)]
enum Message {
    Append(Record),
    AppendResult(usize, Uuid, Append),
    ReadRequest(usize, Uuid, u64, Duration),
    ReadResult(usize, Uuid, Duration, Result<Tail, ReadError>),
    SendOrder(usize, Order),
    OrderArrival(usize, Order),
    OrderOutcome(usize, Order, Outcome),
}

#[derive(Debug, Default)]
struct Router {
    lease: Option<Lease>,
    paused_until: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Runner {
    pub(crate) checks_fencing: bool,
    /// The fences of all executed orders, in the sequence of their arrival.
    pub(crate) executed: Vec<u64>,
    model: String,
    adapters: Vec<String>,
    out: bool,
    down_until: u64,
    sequence: u64,
}

impl Runner {
    pub(crate) fn is_ready(&self, version: u32) -> bool {
        self.out || (self.model == model(version) && self.adapters.contains(&"moss".to_owned()))
    }

    fn execute(&mut self, order: &Order) -> Outcome {
        if self.checks_fencing && self.executed.iter().any(|fence| *fence > order.fence) {
            return Outcome::Superseded;
        }
        self.executed.push(order.fence);
        match order.task.kind {
            Kind::LoadModel => self.model.clone_from(&order.task.name),
            Kind::LoadAdapter => self.adapters.push(order.task.name.clone()),
        }
        Outcome::Done
    }
}

#[derive(Debug)]
pub(crate) struct Simulation {
    pub(crate) runners: Vec<Runner>,
    pub(crate) wanted_version: u32,
    now: u64,
    random_state: u64,
    ids: u64,
    script: Vec<(u64, Event)>,
    routers: Vec<Router>,
    messages: Vec<(u64, Message)>,
    log: Vec<Record>,
    log_down_until: u64,
    /// The time until which appends and the results of appends and orders may be lost.
    losing_until: u64,
}

pub(crate) fn shard() -> Shard {
    Shard::new("oak", "weald", 0)
}

pub(crate) const fn term(millis: u64) -> Term {
    Term(Stamp::from_millis(millis))
}

pub(crate) fn target(index: usize, checks_fencing: bool, out: bool) -> Target {
    let name = Name::from(format!("oak-{index}").as_str());
    Target { name, address: ([127, 0, 0, 1], 1).into(), checks_fencing, out }
}

fn model(version: u32) -> String {
    format!("oak@{version}")
}

fn tasks(version: u32) -> Vec<Task> {
    let adapter = Task { kind: Kind::LoadAdapter, name: "moss".to_owned() };
    vec![Task { kind: Kind::LoadModel, name: model(version) }, adapter]
}

impl Simulation {
    pub(crate) fn new(seed: u64, script: Vec<(u64, Event)>) -> Self {
        let runner = |checks_fencing| Runner { checks_fencing, ..Runner::default() };
        Self {
            runners: vec![runner(true), runner(false)],
            wanted_version: 1,
            now: 0,
            random_state: seed,
            ids: 0,
            script,
            routers: (0..3).map(|_| Router::default()).collect(),
            messages: Vec::new(),
            log: Vec::new(),
            log_down_until: 0,
            losing_until: 0,
        }
    }

    pub(crate) fn run(&mut self) {
        self.apply_event(Event::SetDispatcher { router: 0, active: true });
        while self.now < FAULTS_END + MAX_SETTLE_TIME && !self.is_settled() {
            let due = |(at, _): &(u64, Event)| (*at).max(1).div_ceil(STEP) * STEP == self.now;
            let events: Vec<(u64, Event)> = self.script.iter().copied().filter(due).collect();
            for (_, event) in events {
                self.apply_event(event);
            }
            if self.now == FAULTS_END {
                self.end_faults();
            }
            self.deliver();
            for router in 0..self.routers.len() {
                self.poll(router);
            }
            self.now += STEP;
        }
    }

    /// Returns whether all delayed messages have arrived after the faults and all runners are in the wanted state.
    fn is_settled(&self) -> bool {
        let are_ready = self.runners.iter().all(|runner| runner.is_ready(self.wanted_version));
        self.now > FAULTS_END + MAX_LATE_TIME && are_ready
    }

    /// Ends all faults; only the first router remains dispatcher.
    fn end_faults(&mut self) {
        self.log_down_until = 0;
        self.losing_until = 0;
        for router in 0..self.routers.len() {
            self.routers[router].paused_until = 0;
            self.apply_event(Event::SetDispatcher { router, active: router == 0 });
        }
    }

    fn apply_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::SetDispatcher { router, active: false } => self.routers[router].lease = None,
            Event::SetDispatcher { router, active: true } => {
                let id = self.id();
                let name = Name::from(format!("r{router}").as_str());
                let lease = || Lease::new(shard(), name, term(now), id, Duration::from_millis(now));
                self.routers[router].lease.get_or_insert_with(lease);
            }
            Event::Pause { router, millis } => self.routers[router].paused_until = now + millis,
            Event::BeginTerm { router } => {
                let id = self.id();
                if let Some(lease) = &mut self.routers[router].lease {
                    lease.begin_term(term(now), id, Duration::from_millis(now));
                }
            }
            Event::LogOutage { millis } => self.log_down_until = now + millis,
            Event::LoseAnswers { millis } => self.losing_until = now + millis,
            Event::Crash { runner } => {
                let runner = &mut self.runners[runner];
                runner.model.clear();
                runner.adapters.clear();
                runner.sequence = 0;
                runner.down_until = now + RESTART_TIME;
            }
            Event::SetPlacement { runner, out } => self.runners[runner].out = out,
            Event::SetModel { version } => self.wanted_version = version,
            Event::Race { router, version, after, millis } => {
                self.wanted_version = version;
                let at = now + after;
                self.script.push((at, Event::Pause { router, millis }));
                self.script
                    .push((at, Event::SetDispatcher { router: (router + 1) % 3, active: true }));
            }
        }
    }

    fn id(&mut self) -> Uuid {
        self.ids += 1;
        Uuid::from_u128(u128::from(self.ids))
    }

    fn random(&mut self, below: u64) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random_state >> 33) % below
    }

    /// Returns a random delay below a limit, with the minimum and the maximum more likely than the rest.
    fn delay(&mut self, below: u64) -> u64 {
        match self.random(3) {
            0 => 0,
            1 => below - 1,
            _ => self.random(below),
        }
    }

    fn send(&mut self, after: u64, message: Message) {
        self.messages.push((self.now + after, message));
    }

    fn deliver(&mut self) {
        let (due, rest) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, message)| *at <= self.now && !self.is_blocked(message));
        self.messages = rest;
        for (_, message) in due {
            self.process(message);
        }
    }

    fn is_blocked(&self, message: &Message) -> bool {
        match message {
            Message::AppendResult(router, ..)
            | Message::ReadResult(router, ..)
            | Message::SendOrder(router, _)
            | Message::OrderOutcome(router, ..) => self.routers[*router].paused_until > self.now,
            Message::Append(_) | Message::ReadRequest(..) | Message::OrderArrival(..) => false,
        }
    }

    fn process(&mut self, message: Message) {
        let now = Duration::from_millis(self.now);
        match message {
            Message::Append(record) => self.log.push(record),
            Message::AppendResult(router, id, append) => {
                self.with_lease(router, |lease| lease.record_append(id, append, now));
            }
            Message::ReadRequest(router, id, from, requested) => {
                let result = self.read(from);
                let after = self.delay(TIMEOUT);
                self.send(after, Message::ReadResult(router, id, requested, result));
            }
            Message::ReadResult(router, id, requested, result) => {
                self.with_lease(router, |lease| lease.record_read(id, requested, &result, now));
            }
            Message::SendOrder(router, order) if now >= order.valid_until => {
                self.send(0, Message::OrderOutcome(router, order, Outcome::NotSent));
            }
            Message::SendOrder(router, order) => {
                let transit = u64::try_from(MAX_TRANSIT.as_millis())
                    .expect("the transit time in milliseconds fits u64");
                let after = self.delay(transit - STEP);
                self.send(after, Message::OrderArrival(router, order));
            }
            Message::OrderArrival(router, order) => self.execute_order(router, order),
            Message::OrderOutcome(router, order, outcome) => {
                self.with_lease(router, |lease| lease.record_outcome(&order, outcome, now));
            }
        }
    }

    fn with_lease(&mut self, router: usize, change: impl FnOnce(&mut Lease)) {
        self.routers[router].lease.as_mut().map(change);
    }

    fn read(&self, from: u64) -> Result<Tail, ReadError> {
        if self.log_down_until > self.now {
            return Err(ReadError::Unavailable);
        }
        let offsets = (1..).zip(&self.log).filter(|(offset, _)| *offset >= from);
        let records =
            offsets.map(|(offset, record)| StoredRecord { offset, record: record.clone() });
        let next = from.max(self.log.len() as u64 + 1);
        Ok(Tail { records: records.collect(), next })
    }

    fn execute_order(&mut self, router: usize, order: Order) {
        let index = usize::from(order.runner.as_str() == "oak-1");
        let is_lost = self.losing_until > self.now && self.random(2) == 0;
        let is_down = self.runners[index].down_until > self.now;
        let outcome = match is_down {
            true => Outcome::Lost,
            false => self.runners[index].execute(&order),
        };
        let outcome = if is_lost { Outcome::Lost } else { outcome };
        let after = self.delay(TIMEOUT);
        self.send(after, Message::OrderOutcome(router, order, outcome));
    }

    fn poll(&mut self, router: usize) {
        if self.routers[router].paused_until > self.now {
            return;
        }
        let now = Duration::from_millis(self.now);
        let targets: Vec<Target> = (0..)
            .zip(&self.runners)
            .map(|(index, runner)| target(index, runner.checks_fencing, runner.out))
            .collect();
        let plan = tasks(self.wanted_version);
        let loads = self.loads();
        let Some(lease) = &mut self.routers[router].lease else { return };
        lease.update_plan(&plan, targets);
        for (index, load) in loads.into_iter().enumerate() {
            lease.record_load(&Name::from(format!("oak-{index}").as_str()), load);
        }
        for action in lease.poll(now) {
            self.execute_action(router, action);
        }
    }

    /// Returns the load reports of all runners if they are due now.
    fn loads(&mut self) -> Vec<Option<sched::Load>> {
        if !self.now.is_multiple_of(REPORT_PERIOD) {
            return Vec::new();
        }
        let now = self.now;
        let report = |runner: &mut Runner| {
            runner.sequence += 1;
            let (age, sequence) = (Duration::ZERO, runner.sequence);
            let load = sched::Load { running: 0, waiting: 0, warm: false, age, sequence };
            (runner.down_until <= now).then_some(load)
        };
        self.runners.iter_mut().map(report).collect()
    }

    fn execute_action(&mut self, router: usize, action: Action) {
        match action {
            Action::Claim(record) => self.append_claim(router, record),
            Action::Read { id, from } => {
                let after = self.delay(TIMEOUT);
                let requested = Duration::from_millis(self.now);
                self.send(after, Message::ReadRequest(router, id, from, requested));
            }
            Action::Order(order) => {
                let index = usize::from(order.runner.as_str() == "oak-1");
                assert!(!self.runners[index].out, "{order:?} to a runner that is out of service");
                let after = self.delay(TIMEOUT);
                self.send(after, Message::SendOrder(router, order));
            }
            Action::BeginTerm => self.apply_event(Event::BeginTerm { router }),
            Action::RecordEvent { .. } => {}
        }
    }

    fn append_claim(&mut self, router: usize, record: Record) {
        let (id, from) = (record.id, self.log.len() as u64 + 1);
        if self.log_down_until > self.now {
            self.send(TIMEOUT, Message::AppendResult(router, id, Append::NotRun));
            return;
        }
        let is_lost = self.losing_until > self.now;
        let delay = self.delay(if is_lost { MAX_LATE_APPEND } else { TIMEOUT });
        if !is_lost || self.random(3) > 0 {
            self.send(delay, Message::Append(record));
        }
        let after = if is_lost { TIMEOUT } else { delay + STEP };
        self.send(after, Message::AppendResult(router, id, Append::MayHaveRun { from }));
    }
}
