//! Routers that share the rates which the runners of a plain service state, and hand out credits to each other.

use std::collections::VecDeque;
use std::time::Duration;

use balance::Core;
use balance::Credit;
use balance::CreditRequest;
use balance::Decision;
use balance::Grant;
use balance::Kind;
use balance::Limit;
use balance::Outcome;
use balance::Registration;
use balance::Request;
use balance::Statement;
use base::Name;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::PLAIN;
use super::core;
use super::ms;
use super::plain;
use super::registration;

/// The interval of the simulation.
pub(crate) const STEP: Duration = ms(5);
/// The time that a message takes.
pub(crate) const DELAY: Duration = ms(5);
/// The window of the target.
pub(crate) const WINDOW: Duration = Duration::from_secs(4);
/// The fraction of a limit that is used while requests wait.
pub(crate) const USED: f64 = 0.8;

/// A message on its way.
pub(crate) enum Content {
    Request(CreditRequest, u64),
    Credit(Credit),
    Statement(usize, Statement),
}

pub(crate) struct Message {
    pub(crate) at: Duration,
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) content: Content,
}

/// Routers and runners of a plain service that state a rate in each answer.
pub(crate) struct Fleet {
    pub(crate) cores: Vec<Core>,
    /// What each runner states.
    pub(crate) stated: Vec<Option<f64>>,
    /// The time after which the others hear what a runner has stated.
    pub(crate) told_after: Duration,
    /// One in this many messages is lost.
    pub(crate) lost: Option<u64>,
    /// The time after which a router that has ended is taken for ended.
    pub(crate) silence: Duration,
    pub(crate) now: Duration,
    pub(crate) ended: IndexMap<usize, Duration>,
    /// The routers that no longer accept callers.
    pub(crate) leaving: IndexSet<usize>,
    pub(crate) messages: VecDeque<Message>,
    pub(crate) asked: Vec<IndexMap<u64, Duration>>,
    /// The times of the requests that runners got, by runner.
    pub(crate) sent: Vec<Vec<Duration>>,
    pub(crate) limits: Vec<Limit>,
    pub(crate) waits: Vec<Duration>,
    pub(crate) number: u64,
}

pub(crate) fn router_name(router: usize) -> Name {
    Name::new(&format!("router-{router}"))
}

pub(crate) fn runner(number: usize) -> Registration {
    let service = Name::new(PLAIN);
    Registration { service, slots: 1_000, ..registration(&format!("runner-{number}")) }
}

impl Fleet {
    pub(crate) fn new(routers: usize, stated: &[f64]) -> Self {
        let mut cores: Vec<Core> =
            (0..routers).map(|router| core(router_name(router).as_str(), 0)).collect();
        for (router, core) in cores.iter_mut().enumerate() {
            let others = (0..routers).filter(|other| *other != router).map(router_name);
            core.set_peers(Duration::ZERO, others.collect());
            for number in 0..stated.len() {
                core.registry.put(Duration::ZERO, &runner(number));
            }
        }
        let mut fleet = Self {
            cores,
            stated: stated.iter().map(|per_second| Some(*per_second)).collect(),
            told_after: ms(200),
            lost: None,
            silence: ms(1_500),
            now: Duration::from_secs(100),
            ended: IndexMap::new(),
            leaving: IndexSet::new(),
            messages: VecDeque::new(),
            asked: vec![IndexMap::new(); routers],
            sent: vec![Vec::new(); stated.len()],
            limits: Vec::new(),
            waits: Vec::new(),
            number: 0,
        };
        for core in 0..routers {
            for (number, per_second) in stated.iter().enumerate() {
                let statement = Statement { per_second: Some(*per_second), at: fleet.now };
                fleet.hear(core, number, statement);
            }
        }
        fleet
    }

    pub(crate) fn hear(&mut self, router: usize, number: usize, statement: Statement) {
        let id = format!("runner-{number}");
        let registry = &mut self.cores[router].registry;
        let Some(key) = registry.find(&id) else { return };
        registry.get_mut(key).expect("known").rate_limit.record_told(statement);
    }

    pub(crate) fn is_alive(&self, router: usize) -> bool {
        !self.ended.contains_key(&router)
    }

    /// Sends a message to a router, unless it gets lost.
    pub(crate) fn send(&mut self, from: usize, to: usize, delay: Duration, content: Content) {
        self.number = self.number.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let is_lost = self.lost.is_some_and(|lost| (self.number >> 33).is_multiple_of(lost));
        if from == to || !is_lost {
            self.messages.push_back(Message { at: self.now + delay, from, to, content });
        }
    }

    pub(crate) fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition::<VecDeque<Message>, _>(|message| message.at <= self.now);
        self.messages = later;
        for Message { from, to, content, .. } in due {
            if !self.is_alive(to) {
                continue;
            }
            match content {
                Content::Request(request, number) => {
                    self.cores[to].request_credits(self.now, &router_name(from), request, number);
                }
                Content::Credit(Credit { runner, count, number, .. }) => {
                    if let Some(asked_at) = self.asked[to].get(&number).copied() {
                        self.cores[to].add_credits(self.now, asked_at, runner, count);
                    }
                }
                Content::Statement(number, statement) => self.hear(to, number, statement),
            }
        }
    }

    /// Tells each router which ones are alive.
    pub(crate) fn update_issuers(&mut self) {
        let routers = 0..self.cores.len();
        let visible = routers.filter(|router| {
            self.ended.get(router).is_none_or(|ended| self.now < *ended + self.silence)
        });
        let visible: Vec<usize> = visible.collect();
        let ready = visible.iter().filter(|router| !self.leaving.contains(*router));
        let candidates: Vec<Name> = ready.map(|router| router_name(*router)).collect();
        for core in &mut self.cores {
            core.set_issuers(candidates.clone(), visible.len());
        }
    }

    /// Records that a runner got a request and answers it.
    pub(crate) fn record(&mut self, router: usize, grant: &Grant) {
        let number: usize = grant.id.as_str()["runner-".len()..].parse().expect("a number");
        self.sent[number].push(self.now);
        self.cores[router].release(self.now, grant, true);
        let statement = Statement { per_second: self.stated[number], at: self.now };
        let key = grant.runner;
        let runner = self.cores[router].registry.get_mut(key).expect("known");
        runner.rate_limit.record(statement);
        for other in 0..self.cores.len() {
            if other != router {
                self.send(router, other, self.told_after, Content::Statement(number, statement));
            }
        }
    }

    pub(crate) fn decide(&mut self, router: usize, decision: Decision) {
        match decision {
            Decision::Granted(grant) => self.record(router, &grant),
            Decision::Refused { limit, retry_after, .. } => {
                self.limits.push(limit);
                self.waits.push(retry_after);
            }
        }
    }

    pub(crate) fn submit(&mut self, router: usize) {
        let request = Request { target: self.now + ms(1_000), ..plain(self.now, Kind::Safe) };
        let request = Request { deadline: self.now + ms(3_000), ..request };
        if let Outcome::Decided(decision) = self.cores[router].submit(self.now, request) {
            self.decide(router, decision);
        }
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        self.update_issuers();
        for router in 0..self.cores.len() {
            if !self.is_alive(router) {
                continue;
            }
            for (_, decision) in self.cores[router].process_queue(self.now) {
                self.decide(router, decision);
            }
            for (issuer, requests) in self.cores[router].credit_requests(self.now) {
                let issuer: usize = issuer.as_str()["router-".len()..].parse().expect("a number");
                for request in requests {
                    self.number += 1;
                    let number = self.number;
                    self.asked[router].insert(number, self.now);
                    let delay = if issuer == router { Duration::ZERO } else { DELAY };
                    self.send(router, issuer, delay, Content::Request(request, number));
                }
            }
            for credit in self.cores[router].issue_credits(self.now) {
                let to = credit.router.as_str()["router-".len()..].parse().expect("a number");
                self.send(router, to, DELAY, Content::Credit(credit));
            }
        }
    }

    /// Lets some routers submit a request each in an interval, for a time.
    pub(crate) fn flood(&mut self, routers: &[usize], interval: Duration, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
            if self.now.as_millis().is_multiple_of(interval.as_millis()) {
                for router in routers
                    .iter()
                    .copied()
                    .filter(|router| self.is_alive(*router))
                    .collect::<Vec<_>>()
                {
                    self.submit(router);
                }
            }
        }
    }

    pub(crate) fn end(&mut self, router: usize) {
        self.ended.insert(router, self.now);
    }

    /// Starts a router again, which has heard of the others and of nothing else.
    pub(crate) fn restart(&mut self, router: usize) {
        self.ended.swap_remove(&router);
        let routers = self.cores.len();
        let mut limits = super::limits(router_name(router).as_str());
        limits.started = self.now;
        let mut core = Core::new(limits);
        core.adopt(super::table());
        core.set_peers(
            self.now,
            (0..routers).filter(|other| *other != router).map(router_name).collect(),
        );
        for number in 0..self.stated.len() {
            core.registry.put(self.now, &runner(number));
        }
        core.registry.confirm(self.now);
        self.cores[router] = core;
    }

    /// Returns the router that hands out the credits for a runner.
    pub(crate) fn issuer(&mut self, number: usize) -> usize {
        let routers = self.cores.len();
        for router in 0..routers {
            for (issuer, requests) in self.cores[router].credit_requests(self.now) {
                let id = format!("runner-{number}");
                let key = self.cores[router].registry.find(&id);
                if requests.iter().any(|request| Some(request.runner) == key) {
                    return issuer.as_str()["router-".len()..].parse().expect("a number");
                }
            }
        }
        panic!("no router asks for credits");
    }

    /// Returns the most requests that a runner got in any window that begins from one time to another.
    pub(crate) fn most(&self, number: usize, from: Duration, to: Duration) -> usize {
        let sent = &self.sent[number];
        let starts = sent.iter().filter(|at| (from..to).contains(*at));
        let counts = starts
            .map(|start| sent.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count());
        counts.max().unwrap_or_default()
    }

    pub(crate) fn count(&self, number: usize, from: Duration, to: Duration) -> usize {
        self.sent[number].iter().filter(|at| (from..to).contains(*at)).count()
    }

    /// Asserts both bounds of a limit from one time to another, in which requests wait all the while.
    pub(crate) fn assert_kept_and_used(
        &self,
        number: usize,
        limit: f64,
        from: Duration,
        to: Duration,
    ) {
        let most = self.most(number, from, to);
        let allowed = (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize;
        assert!(most <= allowed, "{most} requests in 4 s, {allowed} allowed");
        let count = self.count(number, from, to);
        let owed = (USED * limit * (to - from).as_secs_f64()).floor() as usize;
        assert!(count >= owed, "{count} requests while others waited, {owed} owed");
    }
}

pub(crate) fn all(routers: usize) -> Vec<usize> {
    (0..routers).collect()
}
