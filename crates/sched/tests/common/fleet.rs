//! A simulated fleet of entries and dispatchers over a lossy network, driven by a seed.
#![allow(dead_code, unreachable_pub, missing_docs)]

use std::collections::BTreeMap;
use std::time::Duration;

use base::Attempt;
use base::Class;
use base::Cost;
use base::Name;
use base::RequestId;
use base::Stamp;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sched::Action;
use sched::Dispatcher;
use sched::Entry;
use sched::EntryAction;
use sched::Load;
use sched::Plan;
use wire::Done;
use wire::Enqueue;
use wire::Frame;
use wire::Outcome;
use wire::Term;

use super::ms;
use super::name;
use super::request;
use super::shard;

const REPORT_PERIOD: Duration = ms(500);

#[derive(Debug, Clone)]
pub enum Fault {
    Kill(usize),
    Pause(usize, Duration),
    /// A partition; the listed nodes form one side.
    Split(Vec<usize>),
    Heal,
    /// A new node is listed and joins.
    Join,
}

#[derive(Debug, Clone)]
enum Event {
    Deliver { from: Name, to: usize, frame: Frame },
    Load { to: usize, runner: Name, load: Load, taken: Duration },
    Wake(usize),
    View(usize),
    Submit { at: usize, enqueue: Enqueue },
    Start { node: usize, attempt: Attempt, runner: usize },
    Finish { node: usize, attempt: Attempt, runner: usize },
    Report(usize),
    Delist,
    Fault(Fault),
}

pub struct Node {
    pub name: Name,
    pub entry: Entry,
    pub dispatcher: Option<Dispatcher>,
    alive: bool,
    paused: Duration,
    side: usize,
    /// The time of the next scheduled wake.
    wake: Option<Duration>,
}

#[derive(Debug, Default)]
pub struct RunnerState {
    pub running: Vec<Attempt>,
    pub max_running: usize,
}

#[derive(Debug, Default)]
pub struct RequestResult {
    pub node: usize,
    pub granted: u32,
    pub refused: u32,
}

pub struct Fleet {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub runner_states: Vec<RunnerState>,
    pub results: IndexMap<RequestId, RequestResult>,
    pub durations: std::ops::Range<u64>,
    pub loss: f64,
    /// The times at which requests were granted.
    pub grants: Vec<Duration>,
    plan: Plan,
    rng: StdRng,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    listed: usize,
}

impl Fleet {
    pub fn new(plan: Plan, nodes: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: ms(0),
            nodes: Vec::new(),
            runner_states: plan.runners.iter().map(|_| RunnerState::default()).collect(),
            results: IndexMap::new(),
            durations: 100..3_000,
            loss: 0.02,
            grants: Vec::new(),
            plan,
            rng: StdRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            sequence: 0,
            listed: 0,
        };
        for _ in 0..nodes {
            fleet.add_node();
        }
        for runner in 0..fleet.runner_states.len() {
            fleet.at(ms(0), Event::Report(runner));
        }
        fleet
    }

    fn add_node(&mut self) {
        let name = name(&format!("r{}", self.nodes.len() + 1));
        let entry = Entry::new(name.clone());
        self.nodes.push(Node {
            name,
            entry,
            dispatcher: None,
            alive: true,
            paused: ms(0),
            side: 0,
            wake: None,
        });
        self.listed += 1;
        self.change_views();
    }

    fn at(&mut self, when: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((when, self.sequence), event);
    }

    pub fn fault(&mut self, when: Duration, fault: Fault) {
        self.at(when, Event::Fault(fault));
    }

    /// Submits random requests of these workspaces between two times.
    pub fn load(&mut self, workspaces: &[&str], from: Duration, to: Duration, count: u32) {
        for _ in 0..count {
            let id = u128::from(self.sequence) + 1;
            let workspace = workspaces[self.rng.random_range(0..workspaces.len())];
            let class = if self.rng.random_bool(0.3) { Class::Long } else { Class::Interactive };
            let mut enqueue = request(id, workspace, class);
            enqueue.max_wait_ms = self.rng.random_range(100..20_000);
            let at = self.rng.random_range(0..self.nodes.len());
            let when = ms(self.rng.random_range(from.as_millis() as u64..to.as_millis() as u64));
            self.at(when, Event::Submit { at, enqueue });
        }
    }

    pub fn run(&mut self, until: Duration) {
        while let Some(((when, _), event)) = self.events.pop_first() {
            if when > until {
                return;
            }
            self.now = when;
            self.step(event);
        }
    }

    /// Returns the requests of alive nodes that did not end with exactly one grant or refusal.
    pub fn unsettled(&self) -> Vec<RequestId> {
        let is_unsettled = |result: &RequestResult| {
            self.nodes[result.node].alive && result.granted + result.refused != 1
        };
        self.results
            .iter()
            .filter(|(_, result)| is_unsettled(result))
            .map(|(request, _)| *request)
            .collect()
    }

    /// Returns the node that runs the dispatcher, if exactly one does.
    pub fn dispatcher(&self) -> Option<usize> {
        let dispatches = |node: &&Node| node.dispatcher.is_some();
        let one = self.nodes.iter().filter(dispatches).count() == 1;
        self.nodes.iter().position(|node| one && node.dispatcher.is_some())
    }

    fn step(&mut self, event: Event) {
        if let Some(node) = event.node() {
            if !self.nodes[node].alive {
                return;
            }
            if self.nodes[node].paused > self.now {
                self.at(self.nodes[node].paused, event);
                return;
            }
        }
        match event {
            Event::Deliver { from, to, frame } => self.deliver(&from, to, &frame),
            Event::Load { to, runner, load, taken } => {
                let load = Load { age: self.now - taken, ..load };
                let now = self.now;
                if let Some(dispatcher) = &mut self.nodes[to].dispatcher {
                    dispatcher.record_load(&runner, Some(load), now);
                    self.drive(to);
                }
            }
            Event::Wake(node) => {
                self.nodes[node].wake = None;
                self.drive(node);
            }
            Event::View(node) => self.view(node),
            Event::Submit { at, enqueue } => {
                self.results.insert(
                    enqueue.request,
                    RequestResult { node: at, ..RequestResult::default() },
                );
                self.nodes[at].entry.submit(enqueue, self.now);
                self.drive(at);
            }
            Event::Start { node, attempt, runner } => self.start(node, attempt, runner),
            Event::Finish { node, attempt, runner } => self.finish(node, attempt, runner),
            Event::Report(runner) => self.report(runner),
            Event::Delist => {
                self.listed -= 1;
                self.change_views();
            }
            Event::Fault(fault) => self.apply(fault),
        }
    }

    fn deliver(&mut self, from: &Name, to: usize, frame: &Frame) {
        let now = self.now;
        let node = &mut self.nodes[to];
        node.entry.handle_frame(from, frame, now);
        if let Some(dispatcher) = &mut node.dispatcher {
            dispatcher.handle_frame(from, frame, now);
        }
        self.drive(to);
    }

    fn drive(&mut self, index: usize) {
        let now = self.now;
        let term = Term(Stamp(Stamp::from_millis(now.as_millis() as u64).0 + index as u64));
        let node = &mut self.nodes[index];
        let mut actions = Vec::new();
        if let Some(dispatcher) = &mut node.dispatcher {
            actions = dispatcher.poll(now);
            if dispatcher.needs_term() {
                dispatcher.begin_term(term);
                actions.extend(dispatcher.poll(now));
            }
        }
        let wakes = [
            node.dispatcher.as_ref().and_then(|dispatcher| dispatcher.next_wake(now)),
            node.entry.next_wake(now),
        ];
        for action in actions {
            if let Action::Send { to, frame } = action {
                self.send(index, &to, frame);
            }
        }
        for action in self.nodes[index].entry.poll(now) {
            self.act(index, action);
        }
        let Some(wake) = wakes.into_iter().flatten().min() else { return };
        let wake = wake.max(now + ms(5));
        if self.nodes[index].wake.is_none_or(|scheduled| wake < scheduled) {
            self.nodes[index].wake = Some(wake);
            self.at(wake, Event::Wake(index));
        }
    }

    fn act(&mut self, node: usize, action: EntryAction) {
        match action {
            EntryAction::Send { to, frame } => self.send(node, &to, frame),
            EntryAction::Refused(refuse) => self.results[&refuse.request].refused += 1,
            EntryAction::Granted(grant) => {
                self.results[&grant.request].granted += 1;
                self.grants.push(self.now);
                let place = self.plan.runners.iter().position(|known| known.name == grant.runner);
                let runner = place.expect("a granted runner is in the plan");
                let attempt = Attempt { request: grant.request, number: grant.attempt };
                let when = self.now + ms(self.rng.random_range(0..50));
                self.at(when, Event::Start { node, attempt, runner });
            }
        }
    }

    fn send(&mut self, from: usize, to: &Name, frame: Frame) {
        let Some(place) = self.nodes.iter().position(|node| node.name == *to) else { return };
        let own = place == from;
        let cut = self.nodes[place].side != self.nodes[from].side;
        if !own && (cut || self.rng.random_bool(self.loss)) {
            return;
        }
        let delay = if own { 0 } else { self.rng.random_range(1..150) };
        let sender = self.nodes[from].name.clone();
        self.at(self.now + ms(delay), Event::Deliver { from: sender, to: place, frame });
    }

    fn start(&mut self, node: usize, attempt: Attempt, runner: usize) {
        let state = &mut self.runner_states[runner];
        state.running.push(attempt);
        state.max_running = state.max_running.max(state.running.len());
        let when = self.now + ms(self.rng.random_range(self.durations.clone()));
        self.at(when, Event::Finish { node, attempt, runner });
    }

    fn finish(&mut self, node: usize, attempt: Attempt, runner: usize) {
        self.runner_states[runner].running.retain(|running| *running != attempt);
        let Some(caller) = self.nodes.get(node).filter(|caller| caller.alive) else { return };
        if caller.paused > self.now {
            self.at(caller.paused, Event::Finish { node, attempt, runner });
            return;
        }
        let done = Done {
            shard: shard(),
            request: attempt.request,
            attempt: attempt.number,
            used: Cost::tokens(self.rng.random_range(1..200)),
            outcome: Outcome::Answered,
            first_token_ms: Some(100),
        };
        self.nodes[node].entry.record_end(done, self.now);
        self.drive(node);
    }

    fn report(&mut self, runner: usize) {
        let running = self.runner_states[runner].running.len() as u32;
        let sequence = self.now.as_millis() as u64;
        let load = Load { running, waiting: 0, warm: false, age: ms(0), sequence };
        for to in 0..self.nodes.len() {
            let when = self.now + ms(self.rng.random_range(0..200));
            let runner = self.plan.runners[runner].name.clone();
            self.at(when, Event::Load { to, runner, load, taken: self.now });
        }
        self.at(self.now + REPORT_PERIOD, Event::Report(runner));
    }

    /// Updates the view of each node after a random delay, within the skew that the settle time allows for.
    fn change_views(&mut self) {
        for node in 0..self.nodes.len() {
            let when = self.now + ms(self.rng.random_range(300..1_800));
            self.at(when, Event::View(node));
        }
    }

    fn view(&mut self, index: usize) {
        let now = self.now;
        let term = Term(Stamp(Stamp::from_millis(now.as_millis() as u64).0 + index as u64));
        let side = self.nodes[index].side;
        let sees = |place: &usize| {
            let node = &self.nodes[*place];
            *place == index || (node.alive && node.side == side && node.paused <= now)
        };
        let seen = (0..self.nodes.len()).filter(sees);
        let view: Vec<Name> = seen.map(|place| self.nodes[place].name.clone()).collect();
        let owner = sched::owner(&shard(), &view).cloned();
        let listed = self.listed;
        let plan = self.plan.clone();
        let node = &mut self.nodes[index];
        node.entry.set_owner(&shard(), owner.clone(), now);
        if owner.as_ref() != Some(&node.name) {
            node.dispatcher = None;
        } else if let Some(dispatcher) = &mut node.dispatcher {
            dispatcher.update_members(view, listed, now);
        } else {
            let me = node.name.clone();
            node.dispatcher = Some(Dispatcher::new(plan, me, term, view, listed, now));
        }
        self.drive(index);
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(node) => {
                self.nodes[node].alive = false;
                self.end_requests_of(node);
                self.at(self.now + ms(6_000), Event::Delist);
            }
            Fault::Pause(node, span) => {
                self.nodes[node].paused = self.now + span;
                let wake = self.now + span;
                let views = self.nodes.len();
                for other in 0..views {
                    let skew = ms(self.rng.random_range(100..1_500));
                    self.at(wake + skew, Event::View(other));
                }
            }
            Fault::Split(side) => {
                for (place, node) in self.nodes.iter_mut().enumerate() {
                    node.side = usize::from(side.contains(&place));
                }
            }
            Fault::Heal => self.nodes.iter_mut().for_each(|node| node.side = 0),
            Fault::Join => self.add_node(),
        }
        self.change_views();
    }

    /// Ends the requests of a crashed node: a runner notices within seconds that its caller is gone.
    fn end_requests_of(&mut self, node: usize) {
        let lost: Vec<(u64, Attempt, usize)> = self
            .events
            .iter()
            .filter_map(|((_, sequence), event)| match event {
                Event::Finish { node: at, attempt, runner } if *at == node => {
                    Some((*sequence, *attempt, *runner))
                }
                _ => None,
            })
            .collect();
        self.events.retain(|(_, sequence), _| lost.iter().all(|(gone, ..)| gone != sequence));
        for (_, attempt, runner) in lost {
            let when = self.now + ms(self.rng.random_range(500..3_000));
            self.at(when, Event::Finish { node: usize::MAX, attempt, runner });
        }
    }
}

impl Event {
    const fn node(&self) -> Option<usize> {
        match self {
            Self::Deliver { to: node, .. }
            | Self::Load { to: node, .. }
            | Self::Wake(node)
            | Self::View(node)
            | Self::Submit { at: node, .. } => Some(*node),
            Self::Start { .. }
            | Self::Finish { .. }
            | Self::Report(_)
            | Self::Delist
            | Self::Fault(_) => None,
        }
    }
}
