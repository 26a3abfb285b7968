//! Routers, a log and runners in simulated time, with faults from a script.

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

/// The time at which faults end.
pub(crate) const CALM: u64 = 60_000;
/// The time after the faults in which all runners reach the wanted state.
const SETTLED: u64 = 400_000;
/// The time after the faults in which late letters come.
const LATE: u64 = 20_000;
const STEP: u64 = 50;
const REPORT_PERIOD: u64 = 400;
/// Time after which the caller of a silent log or runner gives up.
const TIMEOUT: u64 = 700;
/// Longest way of an append whose answer is lost.
const LATE_APPEND: u64 = 3_000;
const FALL: u64 = 1_000;

#[derive(Debug, Clone, Copy)]
pub(crate) enum Event {
    Act {
        router: usize,
        acts: bool,
    },
    Pause {
        router: usize,
        millis: u64,
    },
    Term {
        router: usize,
    },
    LogDown {
        millis: u64,
    },
    LoseAnswers {
        millis: u64,
    },
    Fall {
        runner: usize,
    },
    Out {
        runner: usize,
        out: bool,
    },
    Want {
        version: u32,
    },
    /// A new wish, and soon after it a pause of the holder, whose place a rival takes.
    Race {
        router: usize,
        version: u32,
        after: u64,
        millis: u64,
    },
}

/// Something on its way; letters to a paused router wait for it.
#[derive(Debug, Clone)]
enum Letter {
    Append(Record),
    Appended(usize, Uuid, Append),
    Question(usize, Uuid, u64, Duration),
    Answer(usize, Uuid, Duration, Result<Tail, ReadError>),
    Write(usize, Order),
    Arrive(usize, Order),
    Ordered(usize, Order, Outcome),
}

#[derive(Debug, Default)]
struct Router {
    lease: Option<Lease>,
    paused: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Runner {
    pub(crate) checks_fencing: bool,
    pub(crate) obeyed: Vec<u64>,
    model: String,
    adapters: Vec<String>,
    out: bool,
    down: u64,
    sequence: u64,
}

impl Runner {
    pub(crate) fn has(&self, version: u32) -> bool {
        self.out || (self.model == model(version) && self.adapters.contains(&"moss".to_owned()))
    }

    fn obey(&mut self, order: &Order) -> Outcome {
        if self.checks_fencing && self.obeyed.iter().any(|fence| *fence > order.fence) {
            return Outcome::Superseded;
        }
        self.obeyed.push(order.fence);
        match order.task.kind {
            Kind::LoadModel => self.model.clone_from(&order.task.name),
            Kind::LoadAdapter => self.adapters.push(order.task.name.clone()),
        }
        Outcome::Done
    }
}

#[derive(Debug)]
pub(crate) struct World {
    pub(crate) runners: Vec<Runner>,
    pub(crate) wanted: u32,
    now: u64,
    chance: u64,
    ids: u64,
    script: Vec<(u64, Event)>,
    routers: Vec<Router>,
    letters: Vec<(u64, Letter)>,
    log: Vec<Record>,
    log_down: u64,
    losing: u64,
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

impl World {
    pub(crate) fn new(seed: u64, script: Vec<(u64, Event)>) -> Self {
        let runner = |checks_fencing| Runner { checks_fencing, ..Runner::default() };
        Self {
            runners: vec![runner(true), runner(false)],
            wanted: 1,
            now: 0,
            chance: seed,
            ids: 0,
            script,
            routers: (0..3).map(|_| Router::default()).collect(),
            letters: Vec::new(),
            log: Vec::new(),
            log_down: 0,
            losing: 0,
        }
    }

    pub(crate) fn run(&mut self) {
        self.happen(Event::Act { router: 0, acts: true });
        while self.now < CALM + SETTLED && !self.is_settled() {
            let due = |(at, _): &(u64, Event)| (*at).max(1).div_ceil(STEP) * STEP == self.now;
            let events: Vec<(u64, Event)> = self.script.iter().copied().filter(due).collect();
            for (_, event) in events {
                self.happen(event);
            }
            if self.now == CALM {
                self.calm();
            }
            self.deliver();
            for router in 0..self.routers.len() {
                self.poll(router);
            }
            self.now += STEP;
        }
    }

    /// Returns whether all late letters have come after the faults and all runners are in the wanted state.
    fn is_settled(&self) -> bool {
        let are_wanted = self.runners.iter().all(|runner| runner.has(self.wanted));
        self.now > CALM + LATE && are_wanted
    }

    /// Ends all faults; one router remains dispatcher.
    fn calm(&mut self) {
        self.log_down = 0;
        self.losing = 0;
        for router in 0..self.routers.len() {
            self.routers[router].paused = 0;
            self.happen(Event::Act { router, acts: router == 0 });
        }
    }

    fn happen(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Act { router, acts: false } => self.routers[router].lease = None,
            Event::Act { router, acts: true } => {
                let id = self.id();
                let name = Name::from(format!("r{router}").as_str());
                let lease = || Lease::new(shard(), name, term(now), id, Duration::from_millis(now));
                self.routers[router].lease.get_or_insert_with(lease);
            }
            Event::Pause { router, millis } => self.routers[router].paused = now + millis,
            Event::Term { router } => {
                let id = self.id();
                if let Some(lease) = &mut self.routers[router].lease {
                    lease.begin_term(term(now), id, Duration::from_millis(now));
                }
            }
            Event::LogDown { millis } => self.log_down = now + millis,
            Event::LoseAnswers { millis } => self.losing = now + millis,
            Event::Fall { runner } => {
                let runner = &mut self.runners[runner];
                runner.model.clear();
                runner.adapters.clear();
                runner.sequence = 0;
                runner.down = now + FALL;
            }
            Event::Out { runner, out } => self.runners[runner].out = out,
            Event::Want { version } => self.wanted = version,
            Event::Race { router, version, after, millis } => {
                self.wanted = version;
                let at = now + after;
                self.script.push((at, Event::Pause { router, millis }));
                self.script.push((at, Event::Act { router: (router + 1) % 3, acts: true }));
            }
        }
    }

    fn id(&mut self) -> Uuid {
        self.ids += 1;
        Uuid::from_u128(u128::from(self.ids))
    }

    fn random(&mut self, below: u64) -> u64 {
        self.chance = self.chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.chance >> 33) % below
    }

    /// Returns a time below a limit, often the least or nearly the longest.
    fn delay(&mut self, below: u64) -> u64 {
        match self.random(3) {
            0 => 0,
            1 => below - 1,
            _ => self.random(below),
        }
    }

    fn send(&mut self, after: u64, letter: Letter) {
        self.letters.push((self.now + after, letter));
    }

    fn deliver(&mut self) {
        let (due, rest) = std::mem::take(&mut self.letters)
            .into_iter()
            .partition(|(at, letter)| *at <= self.now && !self.waits(letter));
        self.letters = rest;
        for (_, letter) in due {
            self.open(letter);
        }
    }

    fn waits(&self, letter: &Letter) -> bool {
        match letter {
            Letter::Appended(router, ..)
            | Letter::Answer(router, ..)
            | Letter::Write(router, _)
            | Letter::Ordered(router, ..) => self.routers[*router].paused > self.now,
            Letter::Append(_) | Letter::Question(..) | Letter::Arrive(..) => false,
        }
    }

    fn open(&mut self, letter: Letter) {
        let now = Duration::from_millis(self.now);
        match letter {
            Letter::Append(record) => self.log.push(record),
            Letter::Appended(router, id, append) => {
                self.with(router, |lease| lease.record_append(id, append, now));
            }
            Letter::Question(router, id, from, asked) => {
                let result = self.read(from);
                let after = self.delay(TIMEOUT);
                self.send(after, Letter::Answer(router, id, asked, result));
            }
            Letter::Answer(router, id, asked, result) => {
                self.with(router, |lease| lease.record_read(id, asked, &result, now));
            }
            Letter::Write(router, order) if now >= order.valid_until => {
                self.send(0, Letter::Ordered(router, order, Outcome::NotSent));
            }
            Letter::Write(router, order) => {
                let transit = u64::try_from(MAX_TRANSIT.as_millis()).expect("short");
                let after = self.delay(transit - STEP);
                self.send(after, Letter::Arrive(router, order));
            }
            Letter::Arrive(router, order) => self.arrive(router, order),
            Letter::Ordered(router, order, outcome) => {
                self.with(router, |lease| lease.record_outcome(&order, outcome, now));
            }
        }
    }

    fn with(&mut self, router: usize, change: impl FnOnce(&mut Lease)) {
        self.routers[router].lease.as_mut().map(change);
    }

    fn read(&self, from: u64) -> Result<Tail, ReadError> {
        if self.log_down > self.now {
            return Err(ReadError::Unavailable);
        }
        let offsets = (1..).zip(&self.log).filter(|(offset, _)| *offset >= from);
        let seen = offsets.map(|(offset, record)| StoredRecord { offset, record: record.clone() });
        let next = from.max(self.log.len() as u64 + 1);
        Ok(Tail { records: seen.collect(), next })
    }

    fn arrive(&mut self, router: usize, order: Order) {
        let index = usize::from(order.runner.as_str() == "oak-1");
        let is_lost = self.losing > self.now && self.random(2) == 0;
        let is_down = self.runners[index].down > self.now;
        let outcome = match is_down {
            true => Outcome::Lost,
            false => self.runners[index].obey(&order),
        };
        let outcome = if is_lost { Outcome::Lost } else { outcome };
        let after = self.delay(TIMEOUT);
        self.send(after, Letter::Ordered(router, order, outcome));
    }

    fn poll(&mut self, router: usize) {
        if self.routers[router].paused > self.now {
            return;
        }
        let now = Duration::from_millis(self.now);
        let targets: Vec<Target> = (0..)
            .zip(&self.runners)
            .map(|(index, runner)| target(index, runner.checks_fencing, runner.out))
            .collect();
        let wanted = tasks(self.wanted);
        let loads = self.loads();
        let Some(lease) = &mut self.routers[router].lease else { return };
        lease.update_plan(&wanted, targets);
        for (index, load) in loads.into_iter().enumerate() {
            lease.record_load(&Name::from(format!("oak-{index}").as_str()), load);
        }
        for action in lease.poll(now) {
            self.act(router, action);
        }
    }

    /// Returns the load reports of all runners, if they are due now.
    fn loads(&mut self) -> Vec<Option<sched::Load>> {
        if !self.now.is_multiple_of(REPORT_PERIOD) {
            return Vec::new();
        }
        let now = self.now;
        let report = |runner: &mut Runner| {
            runner.sequence += 1;
            let (age, sequence) = (Duration::ZERO, runner.sequence);
            let load = sched::Load { running: 0, waiting: 0, warm: false, age, sequence };
            (runner.down <= now).then_some(load)
        };
        self.runners.iter_mut().map(report).collect()
    }

    fn act(&mut self, router: usize, action: Action) {
        match action {
            Action::Claim(record) => self.claim(router, record),
            Action::Read { id, from } => {
                let after = self.delay(TIMEOUT);
                let asked = Duration::from_millis(self.now);
                self.send(after, Letter::Question(router, id, from, asked));
            }
            Action::Order(order) => {
                let index = usize::from(order.runner.as_str() == "oak-1");
                assert!(!self.runners[index].out, "{order:?} to a runner that is out");
                let after = self.delay(TIMEOUT);
                self.send(after, Letter::Write(router, order));
            }
            Action::BeginTerm => self.happen(Event::Term { router }),
            Action::RecordEvent { .. } => {}
        }
    }

    fn claim(&mut self, router: usize, record: Record) {
        let (id, from) = (record.id, self.log.len() as u64 + 1);
        if self.log_down > self.now {
            self.send(TIMEOUT, Letter::Appended(router, id, Append::NotRun));
            return;
        }
        let is_lost = self.losing > self.now;
        let way = self.delay(if is_lost { LATE_APPEND } else { TIMEOUT });
        if !is_lost || self.random(3) > 0 {
            self.send(way, Letter::Append(record));
        }
        let after = if is_lost { TIMEOUT } else { way + STEP };
        self.send(after, Letter::Appended(router, id, Append::MayHaveRun { from }));
    }
}
