//! Routers that share the rate of requests which a runner states: that it holds, and that none of it stands idle.

mod common;

use std::collections::VecDeque;
use std::time::Duration;

use balance::Core;
use balance::Credit;
use balance::CreditRequest;
use balance::Decision;
use balance::Grant;
use balance::Key;
use balance::Kind;
use balance::Limit;
use balance::Outcome;
use balance::Registration;
use balance::Request;
use balance::Statement;
use base::Name;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::common::PLAIN;
use crate::common::core;
use crate::common::ms;
use crate::common::plain;
use crate::common::registration;

/// The interval of the simulation.
const STEP: Duration = ms(5);
/// The time that a message takes.
const DELAY: Duration = ms(5);
/// The window of the target.
const WINDOW: Duration = Duration::from_secs(4);
/// The fraction of a limit that is used while requests wait.
const USED: f64 = 0.8;

/// A message on its way.
enum Content {
    Request(CreditRequest, u64),
    Credit(Credit),
    Statement(usize, Statement),
}

struct Message {
    at: Duration,
    from: usize,
    to: usize,
    content: Content,
}

/// Routers and runners of a plain service that state a rate in each answer.
struct Fleet {
    cores: Vec<Core>,
    /// What each runner states.
    stated: Vec<Option<f64>>,
    /// The time after which the others hear what a runner has stated.
    told_after: Duration,
    /// One in this many messages is lost.
    lost: Option<u64>,
    /// The time after which a router that has ended is taken for ended.
    silence: Duration,
    now: Duration,
    ended: IndexMap<usize, Duration>,
    /// The routers that no longer accept callers.
    leaving: IndexSet<usize>,
    messages: VecDeque<Message>,
    asked: Vec<IndexMap<u64, Duration>>,
    /// The times of the requests that runners got, by runner.
    sent: Vec<Vec<Duration>>,
    limits: Vec<Limit>,
    waits: Vec<Duration>,
    number: u64,
}

fn router_name(router: usize) -> Name {
    Name::new(&format!("router-{router}"))
}

fn runner(number: usize) -> Registration {
    let service = Name::new(PLAIN);
    Registration { service, slots: 1_000, ..registration(&format!("runner-{number}")) }
}

impl Fleet {
    fn new(routers: usize, stated: &[f64]) -> Self {
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

    fn hear(&mut self, router: usize, number: usize, statement: Statement) {
        let id = format!("runner-{number}");
        let registry = &mut self.cores[router].registry;
        let Some(key) = registry.find(&id) else { return };
        registry.get_mut(key).expect("known").rate_limit.record_told(statement);
    }

    fn is_alive(&self, router: usize) -> bool {
        !self.ended.contains_key(&router)
    }

    /// Sends a message to a router, unless it gets lost.
    fn send(&mut self, from: usize, to: usize, delay: Duration, content: Content) {
        self.number = self.number.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let is_lost = self.lost.is_some_and(|lost| (self.number >> 33).is_multiple_of(lost));
        if from == to || !is_lost {
            self.messages.push_back(Message { at: self.now + delay, from, to, content });
        }
    }

    fn deliver(&mut self) {
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
    fn update_issuers(&mut self) {
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
    fn record(&mut self, router: usize, grant: &Grant) {
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

    fn decide(&mut self, router: usize, decision: Decision) {
        match decision {
            Decision::Granted(grant) => self.record(router, &grant),
            Decision::Refused { limit, retry_after, .. } => {
                self.limits.push(limit);
                self.waits.push(retry_after);
            }
        }
    }

    fn submit(&mut self, router: usize) {
        let request = Request { target: self.now + ms(1_000), ..plain(self.now, Kind::Safe) };
        let request = Request { deadline: self.now + ms(3_000), ..request };
        if let Outcome::Decided(decision) = self.cores[router].submit(self.now, request) {
            self.decide(router, decision);
        }
    }

    fn step(&mut self) {
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
    fn flood(&mut self, routers: &[usize], interval: Duration, time: Duration) {
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

    fn end(&mut self, router: usize) {
        self.ended.insert(router, self.now);
    }

    /// Starts a router again, which has heard of the others and of nothing else.
    fn restart(&mut self, router: usize) {
        self.ended.swap_remove(&router);
        let routers = self.cores.len();
        let mut limits = common::limits(router_name(router).as_str());
        limits.started = self.now;
        let mut core = Core::new(limits);
        core.adopt(common::table());
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
    fn issuer(&mut self, number: usize) -> usize {
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
    fn most(&self, number: usize, from: Duration, to: Duration) -> usize {
        let sent = &self.sent[number];
        let starts = sent.iter().filter(|at| (from..to).contains(*at));
        let counts = starts
            .map(|start| sent.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count());
        counts.max().unwrap_or_default()
    }

    fn count(&self, number: usize, from: Duration, to: Duration) -> usize {
        self.sent[number].iter().filter(|at| (from..to).contains(*at)).count()
    }

    /// Asserts both bounds of a limit from one time to another, in which requests wait all the while.
    fn assert_kept_and_used(&self, number: usize, limit: f64, from: Duration, to: Duration) {
        let most = self.most(number, from, to);
        let allowed = (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize;
        assert!(most <= allowed, "{most} requests in 4 s, {allowed} allowed");
        let count = self.count(number, from, to);
        let owed = (USED * limit * (to - from).as_secs_f64()).floor() as usize;
        assert!(count >= owed, "{count} requests while others waited, {owed} owed");
    }
}

fn all(routers: usize) -> Vec<usize> {
    (0..routers).collect()
}

#[test]
fn the_limit_is_kept_and_used_by_nine_routers_that_all_have_requests() {
    let mut fleet = Fleet::new(9, &[8.7]);
    let from = fleet.now + Duration::from_secs(1);
    fleet.flood(&all(9), ms(50), Duration::from_secs(20));
    fleet.assert_kept_and_used(0, 8.7, from, fleet.now);
}

/// Guards against parts below one request, which either stand idle or are all used at once.
#[test]
fn a_limit_of_two_is_kept_and_used_by_forty_routers() {
    let mut fleet = Fleet::new(40, &[2.0]);
    let from = fleet.now + Duration::from_secs(1);
    fleet.flood(&all(40), ms(100), Duration::from_secs(20));
    fleet.assert_kept_and_used(0, 2.0, from, fleet.now);
}

/// Guards against parts of routers that have nothing to send, which stand idle while requests wait at one of them.
#[test]
fn one_router_of_forty_uses_all_of_a_limit() {
    let mut fleet = Fleet::new(40, &[2.0, 11.5]);
    let from = fleet.now + Duration::from_secs(1);
    fleet.flood(&[17], ms(20), Duration::from_secs(20));
    fleet.assert_kept_and_used(0, 2.0, from, fleet.now);
    fleet.assert_kept_and_used(1, 11.5, from, fleet.now);
}

#[test]
fn requests_that_move_from_router_to_router_find_the_limit_unused() {
    let mut fleet = Fleet::new(40, &[8.0]);
    let from = fleet.now + Duration::from_secs(1);
    for router in 0..20 {
        fleet.flood(&[router], ms(20), Duration::from_secs(1));
    }
    fleet.assert_kept_and_used(0, 8.0, from, fleet.now);
}

#[test]
fn a_fraction_of_a_request_a_second_is_kept_and_used() {
    let mut fleet = Fleet::new(9, &[0.6]);
    let from = fleet.now + Duration::from_secs(2);
    fleet.flood(&all(9), ms(50), Duration::from_secs(40));
    fleet.assert_kept_and_used(0, 0.6, from, fleet.now);
}

#[test]
fn lost_messages_leave_some_of_a_limit_idle_and_exceed_nothing() {
    let mut fleet = Fleet::new(9, &[8.7, 8.7]);
    fleet.lost = Some(5);
    let from = fleet.now + Duration::from_secs(1);
    fleet.flood(&all(9), ms(20), Duration::from_secs(20));
    for number in 0..2 {
        let most = fleet.most(number, from, fleet.now);
        assert!(most <= 57, "{most} requests in 4 s, 57 allowed");
        let count = fleet.count(number, from, fleet.now);
        // One in five credits is lost.
        let owed = (USED * USED * 8.7 * 19.0) as usize;
        assert!(count >= owed, "{count} requests, {owed} owed");
    }
}

/// Guards against two issuers that each hand out the whole limit, and against none.
#[test]
fn the_limit_holds_when_the_router_that_hands_out_credits_is_killed_and_is_used_by_the_next() {
    for routers in [9, 40] {
        let mut fleet = Fleet::new(routers, &[8.0]);
        fleet.flood(&all(routers), ms(50), Duration::from_secs(5));
        let begin = fleet.now - Duration::from_secs(4);
        for router in 0..routers {
            fleet.submit(router);
        }
        fleet.step();
        fleet.now += ms(500);
        let issuer = fleet.issuer(0);
        let killed_at = fleet.now;
        fleet.end(issuer);
        fleet.flood(&all(routers), ms(50), Duration::from_secs(3));
        fleet.restart(issuer);
        fleet.flood(&all(routers), ms(50), Duration::from_secs(8));
        let most = fleet.most(0, begin, fleet.now);
        assert!(most <= 53, "{most} requests in 4 s, 53 allowed");
        // The next issuer is found after the silence, and hands out at the whole rate soon after.
        let silence_over = killed_at + fleet.silence + ms(500);
        let count = fleet.count(0, silence_over, silence_over + Duration::from_secs(1));
        assert!(count >= 6, "{count} requests in a second");
    }
}

#[test]
fn a_planned_stop_hands_the_credits_over_without_a_pause() {
    let mut fleet = Fleet::new(9, &[8.0]);
    fleet.flood(&all(9), ms(50), Duration::from_secs(5));
    fleet.now += ms(500);
    for router in 0..9 {
        fleet.submit(router);
    }
    let issuer = fleet.issuer(0);
    let from = fleet.now;
    fleet.leaving.insert(issuer);
    fleet.flood(&all(9), ms(50), Duration::from_secs(4));
    fleet.end(issuer);
    fleet.flood(&all(9), ms(50), Duration::from_secs(6));
    fleet.assert_kept_and_used(0, 8.0, from, fleet.now);
}

/// Guards against each side of a cut that hands out the whole limit: `smaller` of the routers don't see the others.
fn assert_kept_beside_a_cut(routers: usize, smaller: usize, interval: Duration) {
    let mut fleet = Fleet::new(routers, &[8.0]);
    fleet.flood(&all(routers), interval, Duration::from_secs(2));
    let from = fleet.now;
    let side = |router: usize| router < smaller;
    let end = fleet.now + Duration::from_secs(10);
    while fleet.now < end {
        fleet.step();
        for router in 0..routers {
            let seen = (0..routers).filter(|other| side(*other) == side(router));
            let seen: Vec<Name> = seen.map(router_name).collect();
            let visible = seen.len();
            fleet.cores[router].set_issuers(seen, visible);
            if fleet.now.as_millis().is_multiple_of(interval.as_millis()) {
                fleet.submit(router);
            }
        }
    }
    let case = format!("{smaller} of {routers} cut off");
    let most = fleet.most(0, from, fleet.now);
    assert!(most <= 53, "{case}: {most} requests in 4 s, 53 allowed");
    let count = fleet.count(0, from + Duration::from_secs(1), fleet.now);
    let allowed = (8.0_f64 * 9.0 * 4.0 / 3.0 + 5.0) as usize;
    assert!(count <= allowed, "{case}: {count} requests, {allowed} allowed");
    let owed = (USED * 8.0 * 9.0) as usize;
    assert!(count >= owed, "{case}: {count} requests while others waited, {owed} owed");
}

#[test]
fn two_sides_that_do_not_see_each_other_exceed_the_limit_by_a_third_at_most() {
    for smaller in 1..=4 {
        assert_kept_beside_a_cut(9, smaller, ms(50));
    }
    assert_kept_beside_a_cut(45, 15, ms(250));
    assert_kept_beside_a_cut(90, 30, ms(500));
}

/// Guards against a limit that nobody hears the end of, since nobody sends any more.
#[test]
fn the_end_of_a_limit_of_zero_is_heard_although_hardly_anything_is_sent() {
    let mut fleet = Fleet::new(9, &[0.0]);
    let from = fleet.now;
    fleet.flood(&all(9), ms(50), Duration::from_secs(20));
    let most = fleet.most(0, from, fleet.now);
    assert!((1..=5).contains(&most), "{most} requests in 4 s, 1 to 5 allowed");
    assert!(fleet.limits.iter().all(|limit| *limit == Limit::Rate), "{:?}", fleet.limits.first());
    assert!(fleet.waits.iter().all(|wait| *wait >= ms(1_000)));
    fleet.stated[0] = None;
    fleet.flood(&all(9), ms(50), Duration::from_secs(9));
    let ended = fleet.now - Duration::from_secs(1);
    assert!(fleet.count(0, ended, fleet.now) > 150, "{}", fleet.count(0, ended, fleet.now));
}

#[test]
fn a_request_that_no_limit_allows_in_time_is_refused_at_once() {
    let mut fleet = Fleet::new(2, &[0.0]);
    fleet.submit(0);
    for _ in 0..20 {
        fleet.step();
    }
    assert!(fleet.limits.is_empty(), "the first request waits, since there may be a credit");
    fleet.submit(0);
    assert_eq!(fleet.limits, [Limit::Rate]);
    assert_eq!(fleet.waits, [Duration::from_secs(5)]);
}

/// Guards against a limit of zero that holds for good where callers come seldom.
#[test]
fn seldom_requests_hear_the_end_of_a_limit_of_zero() {
    let mut fleet = Fleet::new(9, &[0.0]);
    fleet.flood(&[0], ms(6_000), Duration::from_secs(20));
    fleet.stated[0] = None;
    let from = fleet.now;
    fleet.flood(&[0], ms(6_000), Duration::from_secs(20));
    let before = fleet.sent[0].iter().filter(|at| **at < from).count();
    assert!(before >= 2, "{before} of 3 requests were sent before");
    let after = fleet.count(0, from, fleet.now);
    assert!(after >= 3, "{after} requests were sent after the end");
}

#[test]
fn a_limit_that_changes_with_each_answer_is_kept_at_its_lowest() {
    let mut fleet = Fleet::new(9, &[6.0]);
    fleet.flood(&all(9), ms(50), Duration::from_secs(3));
    let from = fleet.now;
    let end = fleet.now + Duration::from_secs(12);
    let mut round = 0;
    while fleet.now < end {
        round += 1;
        fleet.stated[0] = [Some(6.0), Some(60.0), None][round % 3];
        fleet.flood(&all(9), ms(25), ms(25));
    }
    let most = fleet.most(0, from, fleet.now);
    assert!(most <= 41, "{most} requests in 4 s, 41 allowed");
}

#[test]
fn a_runner_that_is_listed_again_keeps_its_limit_and_a_new_start_has_none() {
    let mut fleet = Fleet::new(1, &[8.0]);
    let core = &mut fleet.cores[0];
    core.registry.remove(&Name::new("runner-0"));
    let key = core.registry.put(fleet.now, &runner(0)).expect("listed");
    let limit = |core: &Core, key| {
        core.registry.get(key).expect("known").rate_limit.per_second(Duration::from_secs(101))
    };
    assert_eq!(limit(core, key), Some(8.0));
    core.registry.remove(&Name::new("runner-0"));
    let reborn = Registration { started_ms: 2, ..runner(0) };
    let key = core.registry.put(fleet.now, &reborn).expect("listed");
    assert_eq!(limit(core, key), None);
}

/// Returns a router that is alone, and the key of its only runner, which states a rate.
fn alone(per_second: f64, cold_left: Duration) -> (Core, Key, Duration) {
    let now = Duration::from_secs(100);
    let mut core = core("router-0", 0);
    core.set_issuers(vec![router_name(0)], 1);
    let cold = Registration { cold_left, ..runner(0) };
    let key = core.registry.put(now, &cold).expect("listed");
    let statement = Statement { per_second: Some(per_second), at: now };
    core.registry.get_mut(key).expect("known").rate_limit.record(statement);
    (core, key, now)
}

/// Submits a number of requests and returns how many are granted.
fn granted_of(core: &mut Core, now: Duration, requests: usize) -> usize {
    let outcomes = (0..requests).map(|_| core.submit(now, plain(now, Kind::Safe)));
    let granted = |outcome: &Outcome| matches!(outcome, Outcome::Decided(Decision::Granted(_)));
    outcomes.collect::<Vec<_>>().iter().filter(|outcome| granted(outcome)).count()
}

#[test]
fn a_cold_runner_keeps_both_limits() {
    // The cold limit is 0.7 of 5 requests in a second.
    for (credits, granted) in [(100, 3), (2, 2)] {
        let (mut core, key, now) = alone(100.0, Duration::from_secs(10));
        core.add_credits(now, now, key, credits);
        assert_eq!(granted_of(&mut core, now, 60), granted);
    }
}

#[test]
fn no_credits_are_wanted_of_a_runner_that_leaves() {
    let (mut core, key, now) = alone(8.0, Duration::ZERO);
    core.submit(now, plain(now, Kind::Safe));
    assert_eq!(core.credit_requests(now).len(), 1);
    let start = core.registry.get(key).expect("known").registration.start();
    core.registry.record_leaving(now, start);
    assert!(core.credit_requests(now + Duration::from_secs(1)).is_empty());
}

#[test]
fn a_credit_is_used_once_and_not_after_its_time() {
    let (mut core, key, now) = alone(8.0, Duration::ZERO);
    assert_eq!(granted_of(&mut core, now, 1), 0);
    assert!(core.add_credits(now, now, key, 1));
    assert_eq!(granted_of(&mut core, now, 1), 0, "requests that wait come first");
    let granted = core.process_queue(now);
    assert_eq!(granted.len(), 1);
    // A router that was suspended gets its credits too late.
    assert!(!core.add_credits(now + Duration::from_secs(4), now, key, 1));
    assert_eq!(core.credit_count.late, 1);
}
