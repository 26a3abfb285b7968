//! A simulated fleet of routers that roll a version out, with a network that loses, delays and repeats reports.

use std::time::Duration;

use balance::Origin;
use balance::rollout::Candidate;
use balance::rollout::Conditions;
use balance::rollout::Need;
use balance::rollout::Order;
use balance::rollout::Report;
use balance::rollout::Role;
use balance::rollout::Rollouts;
use balance::rollout::State;
use balance::rollout::Status;
use base::Name;

pub(crate) const SERVICE: &str = "ledger";
pub(crate) const TICK: Duration = Duration::from_millis(50);
const OLD_RUNNERS: u32 = 6;
const NEW_RUNNERS: u32 = 4;

/// A small generator of random numbers.
#[derive(Debug, Clone)]
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn fraction(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub(crate) fn below(&mut self, bound: usize) -> usize {
        (self.fraction() * bound as f64) as usize
    }
}

/// How the runners of a fleet respond and what happens to it.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) routers: usize,
    /// Requests per second over all routers.
    pub(crate) rate: f64,
    /// The rate of bad responses of the old version, and of the new one from a time after the order on.
    pub(crate) old_bad: f64,
    pub(crate) new_bad: f64,
    pub(crate) bad_from: Duration,
    /// The rate of reports that are lost.
    pub(crate) loss: f64,
    pub(crate) duration: Duration,
    pub(crate) slack: f64,
    /// The time after the order at which a router restarts, and its number.
    pub(crate) restarts: Vec<(Duration, usize)>,
    /// The time after the order from which on the store does not answer, and until which.
    pub(crate) store_away: (Duration, Duration),
    /// A new runner that gives only bad responses.
    pub(crate) faulty_runner: Option<u32>,
    /// Whether the runners of the new version exist.
    pub(crate) has_new: bool,
}

impl Scenario {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            routers: 6,
            rate: 150.0,
            old_bad: 0.0,
            new_bad: 0.0,
            bad_from: Duration::ZERO,
            loss: 0.0,
            duration: Duration::from_secs(12),
            slack: 50.0,
            restarts: Vec::new(),
            store_away: (Duration::ZERO, Duration::ZERO),
            faulty_runner: None,
            has_new: true,
        }
    }
}

/// What came of a scenario.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    /// The state that the store holds, and the time after the order at which it was written.
    pub(crate) state: Option<State>,
    pub(crate) written_at: Duration,
    /// The states in the order in which they were written.
    pub(crate) history: Vec<State>,
    /// The requests from the order to the deadline, and those of them that were sent to the new version.
    pub(crate) requests: u32,
    pub(crate) sent_new: u32,
    /// The time after the order of the 50th bad response, and of the last request that was sent to the new version.
    pub(crate) fiftieth_bad: Option<Duration>,
    pub(crate) last_sent_new: Option<Duration>,
    /// The requests in flight at old runners when `completed` was written, and those sent there since.
    pub(crate) in_flight_old: usize,
    pub(crate) sent_old_late: u32,
    /// Requests for which there was no runner.
    pub(crate) unserved: u32,
}

struct Message {
    due: Duration,
    from: usize,
    to: usize,
    incarnation: u64,
    report: Report,
}

struct Response {
    due: Duration,
    router: usize,
    incarnation: u64,
    is_new: bool,
    runner: u32,
    is_bad: bool,
}

struct Simulation {
    scenario: Scenario,
    random: Random,
    routers: Vec<(u64, Rollouts)>,
    messages: Vec<Message>,
    responses: Vec<Response>,
    stored: Option<Status>,
    stored_at: Duration,
    bad: u32,
    outcome: Outcome,
}

fn id(is_new: bool, number: u32) -> String {
    format!("{}-{number}", if is_new { "new" } else { "old" })
}

fn version(is_new: bool) -> Name {
    Name::new(if is_new { "v2" } else { "v1" })
}

fn router_name(number: usize) -> String {
    format!("router-{number}")
}

fn order(duration: Duration) -> Order {
    let (service, to) = (Name::new(SERVICE), version(true));
    Order { position: 3, service, to, duration: Some(duration) }
}

/// Plays a scenario until some time after its deadline.
pub(crate) fn play(scenario: Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    let end = simulation.scenario.duration + Duration::from_secs(6);
    let mut at = Duration::ZERO;
    while at < end {
        simulation.step(at);
        at += TICK;
    }
    simulation.outcome.state = simulation.stored.as_ref().map(|status| status.state);
    simulation.outcome
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let routers = (0..scenario.routers).map(|_| {
            let mut rollouts = Rollouts::default();
            rollouts.bounds.slack = scenario.slack;
            rollouts.put_order(Duration::ZERO, order(scenario.duration), true);
            (1, rollouts)
        });
        Self {
            random: Random(scenario.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1),
            routers: routers.collect(),
            messages: Vec::new(),
            responses: Vec::new(),
            stored: None,
            stored_at: Duration::ZERO,
            bad: 0,
            outcome: Outcome::default(),
            scenario,
        }
    }

    fn step(&mut self, at: Duration) {
        self.restart(at);
        self.deliver(at);
        self.respond(at);
        for router in 0..self.routers.len() {
            self.update(at, router);
            self.write(at, router);
            self.send_report(at, router);
        }
        let expected = self.scenario.rate * TICK.as_secs_f64();
        let requests = expected.floor() as u32
            + u32::from(self.random.fraction() < expected - expected.floor());
        for _ in 0..requests {
            self.request(at);
        }
    }

    fn restart(&mut self, at: Duration) {
        let due = self.scenario.restarts.iter().filter(|(time, _)| *time == at);
        for (_, router) in due.copied().collect::<Vec<_>>() {
            let mut rollouts = Rollouts::default();
            rollouts.bounds.slack = self.scenario.slack;
            rollouts.put_order(at, order(self.scenario.duration), false);
            let incarnation = self.routers[router].0 + 1;
            self.routers[router] = (incarnation, rollouts);
        }
    }

    fn deliver(&mut self, at: Duration) {
        let (due, later) = self.messages.drain(..).partition(|message| message.due <= at);
        self.messages = later;
        for Message { from, to, incarnation, report, .. } in due {
            let origin = Origin::Router(Name::new(&router_name(from)));
            self.routers[to].1.apply_report(at, &origin, incarnation, &report);
        }
    }

    fn respond(&mut self, at: Duration) {
        let responses: Vec<Response>;
        (responses, self.responses) =
            self.responses.drain(..).partition(|response| response.due <= at);
        for response in responses {
            let Response { router, is_new, runner, is_bad, incarnation, .. } = response;
            if is_new && is_bad {
                self.bad += 1;
                if self.bad == 50 {
                    self.outcome.fiftieth_bad = Some(at);
                }
            }
            if self.routers[router].0 == incarnation {
                let runner = balance::digest(&id(is_new, runner));
                let (service, version) = (Name::new(SERVICE), version(is_new));
                let took = Some(Duration::from_millis(20));
                let rollouts = &mut self.routers[router].1;
                let route = Name::new("safe");
                rollouts.record_response(&service, Some(&version), runner, &route, took, is_bad);
            }
        }
    }

    fn update(&mut self, at: Duration, router: usize) {
        let ids: Vec<String> = (0..NEW_RUNNERS).map(|number| id(true, number)).collect();
        let is_serving = self.scenario.has_new;
        let others = (0..self.routers.len()).filter(|other| *other != router);
        let reporting: Vec<Origin> =
            others.map(|other| Origin::Router(Name::new(&router_name(other)))).collect();
        let own = self.responses.iter().filter(|response| response.router == router);
        let conditions = Conditions {
            candidates: ids
                .iter()
                .map(|id| Candidate { id, is_serving, is_healthy: true })
                .collect(),
            baseline: OLD_RUNNERS as usize,
            in_flight: own.filter(|response| !response.is_new).count() as u32,
            reporting: &reporting,
            routers: Some(self.routers.len()),
            silence: None,
        };
        self.routers[router].1.update(at, &Name::new(SERVICE), &conditions);
    }

    /// Reads and writes the status topic where that is needed.
    fn write(&mut self, at: Duration, router: usize) {
        let names: Vec<String> = (0..self.routers.len()).map(router_name).collect();
        let others = names.iter().enumerate().filter(|(other, _)| *other != router);
        let live: Vec<&str> = others.map(|(_, name)| name.as_str()).collect();
        let service = Name::new(SERVICE);
        let rollouts = &mut self.routers[router].1;
        let (from, until) = self.scenario.store_away;
        let need = rollouts.need(at, &names[router], &live);
        if need.is_none() || (from..until).contains(&at) {
            return;
        }
        let age = at - self.stored_at;
        let stored = self.stored.clone();
        let stored =
            stored.map(|status| Status { left: status.left.saturating_sub(age), ..status });
        rollouts.record_status(at, &service, stored.as_ref());
        let status = rollouts.status(at, &service).filter(|_| need == Some(Need::Write));
        let Some(status) = status else { return };
        rollouts.record_written(at, &service, &status);
        self.outcome.history.push(status.state);
        self.outcome.written_at = at;
        if status.state == State::Completed {
            self.outcome.in_flight_old =
                self.responses.iter().filter(|response| !response.is_new).count();
        }
        (self.stored, self.stored_at) = (Some(status), at);
    }

    fn send_report(&mut self, at: Duration, router: usize) {
        let (incarnation, rollouts) = &self.routers[router];
        for report in rollouts.reports(at, false) {
            for to in (0..self.routers.len()).filter(|to| *to != router) {
                if self.random.fraction() < self.scenario.loss {
                    continue;
                }
                let copies = 1 + usize::from(self.random.fraction() < 0.1);
                for _ in 0..copies {
                    let due = at + TICK * (1 + self.random.below(4) as u32);
                    let (incarnation, report) = (*incarnation, report.clone());
                    self.messages.push(Message { due, from: router, to, incarnation, report });
                }
            }
        }
    }

    fn request(&mut self, at: Duration) {
        let router = self.random.below(self.routers.len());
        let service = Name::new(SERVICE);
        let (incarnation, rollouts) = &mut self.routers[router];
        let incarnation = *incarnation;
        rollouts.record_request(&service);
        let mut with_role = Vec::new();
        let numbers = (0..OLD_RUNNERS).map(|number| (false, number));
        let new = if self.scenario.has_new { NEW_RUNNERS } else { 0 };
        for (is_new, number) in numbers.chain((0..new).map(|number| (true, number))) {
            let digest = balance::digest(&id(is_new, number));
            let role = rollouts.role(&service, Some(&version(is_new)), digest);
            with_role.push((role, is_new, number));
        }
        let of = |role: Role| {
            let runners = with_role.iter().filter(|(known, ..)| *known == role);
            runners.map(|(_, is_new, number)| (*is_new, *number)).collect::<Vec<_>>()
        };
        let canaries = of(Role::Canary);
        let is_canary = rollouts.prefers_candidates(&service) && !canaries.is_empty();
        if is_canary {
            rollouts.record_sent(at, &service);
        }
        let runners = if is_canary { canaries } else { of(Role::Regular) };
        let is_counted = at < self.scenario.duration;
        self.outcome.requests += u32::from(is_counted);
        if runners.is_empty() {
            self.outcome.unserved += 1;
            return;
        }
        let (is_new, runner) = runners[self.random.below(runners.len())];
        let is_faulty = is_new && self.scenario.faulty_runner == Some(runner);
        let rate = match is_new {
            true if at >= self.scenario.bad_from => self.scenario.new_bad,
            true => 0.0,
            false => self.scenario.old_bad,
        };
        let is_bad = is_faulty || self.random.fraction() < rate;
        if is_new {
            self.outcome.sent_new += u32::from(is_counted);
            self.outcome.last_sent_new = Some(at);
        } else if self.stored.as_ref().is_some_and(|status| status.state == State::Completed) {
            self.outcome.sent_old_late += 1;
        }
        let due = at + Duration::from_millis(20 + self.random.below(100) as u64);
        self.responses.push(Response { due, router, incarnation, is_new, runner, is_bad });
    }
}
