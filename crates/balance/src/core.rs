//! The state of a router that balances by itself, and its decisions on each request.

use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

use crate::AdaptiveLimit;
use crate::CrashHistory;
use crate::Key;
use crate::Load;
use crate::LoadLimits;
use crate::Registry;
use crate::Request;
use crate::RetryBudget;
use crate::Service;
use crate::Table;
use crate::Ticket;
use crate::Usage;
use crate::choice;
use crate::choice::Choice;
use crate::choice::View;
use crate::queue::Queue;
use crate::queue::Waiting;

/// The part of the target for which a request waits for a runner.
const WAIT_PART: f64 = 0.5;
/// Shared parts of which a router tells the others at a time.
const PLACED_MOST: usize = 48;
/// The part of the load of an engine that is kept free of the workspace that has used most.
const RESERVED_PART: f64 = 0.5;
/// How long the work of the workspace that has used most is taken as known.
const MOST_KEPT: Duration = Duration::from_millis(50);
/// Waiting requests of a service that are looked at for one free place.
const LOOKED_AT: usize = 24;
/// The shortest time after which a refused caller is told to come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(250);

/// What is the same for all requests of this router.
#[derive(Debug, Clone)]
pub struct FleetLimits {
    /// The name of this router.
    pub router: Name,
    /// The names of the other routers, in touch or not.
    pub peers: Vec<Name>,
    /// The factor on the rate that a cold runner bears.
    pub cold_factor: f64,
    /// Requests a second that a cold runner may get beyond that.
    pub cold_constant: f64,
    /// The window of the retry budget.
    pub retry_window: Duration,
    /// Retries a request.
    pub retry_ratio: f64,
    /// Retries in a window beyond that, over all routers.
    pub retry_constant: f64,
}

/// The right to send one request to one runner, which must be given back by [`Core::release`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The runner.
    pub runner: Key,
    /// The id of the runner.
    pub id: Name,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The runner from which it fetches the shared parts that it does not keep.
    pub source: Option<SocketAddr>,
    load: Load,
    work: u64,
}

/// What was decided on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent.
    Granted(Grant),
    /// No runner will be free in time.
    Refused {
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// The answer to a request for a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It is decided.
    Decided(Decision),
    /// It waits; [`Core::process_queue`] settles it.
    Queued(Ticket),
}

/// The state of one service.
#[derive(Debug, Clone)]
struct Desk {
    queue: Queue,
    adaptive_limit: AdaptiveLimit,
    budget: RetryBudget,
}

/// The state of a router.
#[derive(Debug, Clone)]
pub struct Core {
    /// The configuration in force, once one is known.
    pub table: Option<Table>,
    /// The runners.
    pub registry: Registry,
    /// The use of engines by workspaces.
    pub usage: Usage,
    /// Requests that crash runners.
    pub crash_history: CrashHistory,
    limits: FleetLimits,
    desks: IndexMap<Name, Desk>,
    tickets: u64,
    most_used: (Duration, u64),
    /// Shared parts of which other routers were not told yet, with the runner to which they were sent.
    placed: Vec<(u64, Key)>,
}

impl Core {
    /// Creates a state that knows no configuration and no runner.
    #[must_use]
    pub fn new(limits: FleetLimits) -> Self {
        Self {
            table: None,
            registry: Registry::default(),
            usage: Usage::default(),
            crash_history: CrashHistory::default(),
            limits,
            desks: IndexMap::new(),
            tickets: 0,
            most_used: (Duration::ZERO, 0),
            placed: Vec::new(),
        }
    }

    /// Replaces the limits, but for the names of the other routers.
    pub fn set_limits(&mut self, limits: FleetLimits) {
        let peers = std::mem::take(&mut self.limits.peers);
        self.limits = FleetLimits { peers, ..limits };
        for desk in self.desks.values_mut() {
            desk.budget.set(self.limits.retry_ratio, self.limits.retry_constant);
        }
    }

    /// Replaces the names of the other routers.
    pub fn set_peers(&mut self, peers: Vec<Name>) {
        self.limits.peers = peers;
    }

    /// Puts a newer configuration in force; returns false for one that is not newer.
    pub fn adopt(&mut self, table: Table) -> bool {
        if self.table.as_ref().is_some_and(|current| current.version >= table.version) {
            return false;
        }
        self.table = Some(table);
        true
    }

    /// Counts a caller's request for the retry budget.
    pub fn count_request(&mut self, now: Duration, service: &Name) {
        self.desk(service).budget.record_request(now);
    }

    /// Takes a retry from the budget of a service; returns whether there was one left.
    pub fn take_retry(&mut self, now: Duration, service: &Name) -> bool {
        let routers = self.limits.peers.len() + 1;
        self.desk(service).budget.take_retry(now, routers)
    }

    /// Asks for a runner.
    pub fn submit(&mut self, now: Duration, request: Request) -> Outcome {
        let has_waiting = !self.desk(&request.service).queue.is_empty();
        if let Some(prompt) = &request.prompt {
            let time = request.deadline.saturating_sub(request.arrived);
            self.desk(&request.service).adaptive_limit.record_request(now, time, prompt.output);
        }
        if !has_waiting && let Some(grant) = self.grant(now, &request) {
            return Outcome::Decided(Decision::Granted(grant));
        }
        let give_up = give_up(&request);
        if now >= give_up {
            return Outcome::Decided(self.refusal(&request));
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.desk(&request.service.clone()).queue.push(ticket, Waiting { request, give_up });
        Outcome::Queued(ticket)
    }

    /// Withdraws a waiting request.
    pub fn cancel(&mut self, ticket: Ticket) {
        for desk in self.desks.values_mut() {
            if desk.queue.take(ticket).is_some() {
                return;
            }
        }
    }

    /// Settles all waiting requests that can be decided now.
    pub fn process_queue(&mut self, now: Duration) -> Vec<(Ticket, Decision)> {
        let waiting = self.desks.iter().filter(|(_, desk)| !desk.queue.is_empty());
        let services: Vec<Name> = waiting.map(|(name, _)| name.clone()).collect();
        let mut decided = Vec::new();
        for service in services {
            self.process_service(now, &service, &mut decided);
        }
        decided
    }

    /// Returns when [`Core::process_queue`] has something to do at the latest.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        self.desks.values().filter_map(|desk| desk.queue.next_expiry()).min()
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.desks.values().map(|desk| desk.queue.len()).sum()
    }

    /// Returns the limits on the load of one engine of each service, and how many requests wait.
    pub fn service_loads(&self) -> impl Iterator<Item = (&Name, &AdaptiveLimit, usize)> {
        self.desks.iter().map(|(name, desk)| (name, &desk.adaptive_limit, desk.queue.len()))
    }

    /// Takes in the limits on the load of one engine that another router has found.
    pub fn record_peer_limits(&mut self, service: &Name, other: LoadLimits) {
        let routers = self.limits.peers.len();
        self.desk(service).adaptive_limit.move_towards(other, routers);
    }

    /// Takes in how long each token of an answer took.
    pub fn record_token_time(&mut self, now: Duration, service: &Name, each: Duration) {
        let desk = self.desk(service);
        let has_waiting = !desk.queue.is_empty();
        desk.adaptive_limit.record_token_time(now, each, has_waiting);
    }

    /// Takes in that the first token of a request has arrived.
    pub fn record_first_token(
        &mut self,
        now: Duration,
        grant: &mut Grant,
        service: &Name,
        took: Duration,
        target: Duration,
    ) {
        let read = Load { backlog: std::mem::take(&mut grant.load.backlog), ..Load::default() };
        if let Some(runner) = self.registry.get_mut(grant.runner) {
            runner.own_load.remove(read);
        }
        let desk = self.desk(service);
        let has_waiting = !desk.queue.is_empty();
        desk.adaptive_limit.record_first_token(now, took, target, has_waiting);
    }

    /// Gives a grant back; work that the runner did not begin is not charged.
    pub fn release(
        &mut self,
        now: Duration,
        grant: &Grant,
        workspace: Option<&Name>,
        has_run: bool,
    ) {
        if let Some(runner) = self.registry.get_mut(grant.runner) {
            runner.own_load.remove(grant.load);
        }
        if let Some(workspace) = workspace.filter(|_| !has_run) {
            self.usage.refund(now, workspace, grant.work);
        }
    }

    fn process_service(
        &mut self,
        now: Duration,
        service: &Name,
        decided: &mut Vec<(Ticket, Decision)>,
    ) {
        let order = self.desks[service].queue.in_order(&self.usage, now, LOOKED_AT);
        for ticket in order {
            let Some(waiting) = self.desks[service].queue.get(ticket) else { continue };
            let request = waiting.request.clone();
            if let Some(grant) = self.grant(now, &request) {
                self.desks[service].queue.take(ticket);
                decided.push((ticket, Decision::Granted(grant)));
            }
        }
        for ticket in self.desks[service].queue.expired(now) {
            if let Some(waiting) = self.desks[service].queue.take(ticket) {
                decided.push((ticket, self.refusal(&waiting.request)));
            }
        }
    }

    fn grant(&mut self, now: Duration, request: &Request) -> Option<Grant> {
        let part = self.part(now, request.workspace.as_ref());
        self.desk(&request.service);
        self.tickets += 1;
        let service = self.service(&request.service)?;
        let view = View {
            registry: &self.registry,
            service,
            adaptive_limit: &self.desks[&request.service].adaptive_limit,
            part,
            limits: &self.limits,
            now,
            salt: self.tickets,
        };
        let choice = view.choose(request)?;
        Some(self.place(now, request, &choice))
    }

    /// Returns the part of an engine's load that a workspace may fill.
    ///
    /// Routers have no common queue, so the workspace that has used most meets a lower limit everywhere, and work of the
    /// others finds room at once.
    fn part(&mut self, now: Duration, workspace: Option<&Name>) -> f64 {
        let Some(workspace) = workspace else { return 1.0 };
        if now >= self.most_used.0 + MOST_KEPT {
            self.most_used = (now, self.usage.max_work(now));
        }
        let used = self.usage.of(now, workspace) as f64;
        1.0 - RESERVED_PART * (used / self.most_used.1.max(1) as f64).min(1.0)
    }

    /// Takes the shared parts that were placed since the last time, with their runners, for the other routers.
    ///
    /// A router that places very many tells of the newest.
    pub fn take_placements(&mut self) -> Vec<(u64, Key)> {
        let placed = std::mem::take(&mut self.placed);
        let old = placed.len().saturating_sub(PLACED_MOST);
        placed.into_iter().skip(old).collect()
    }

    fn place(&mut self, now: Duration, request: &Request, choice: &Choice) -> Grant {
        let key = choice.runner;
        let runner = self.registry.get_mut(key).expect("a chosen runner is known");
        let load = Load {
            running: 1,
            backlog: choice::missing(runner, request, now),
            memory: request.memory(),
        };
        if runner.is_cold(now) {
            runner.cold_sent.add(now, 1);
        }
        runner.own_load.add(load);
        if let Some(prompt) = &request.prompt {
            let told = runner.prefix_cache.record_sent(prompt, now);
            self.placed.extend(told.map(|part| (part, key)));
        }
        let (id, address) = (runner.registration.id.clone(), runner.registration.address);
        let work = request.work();
        if let Some(workspace) = &request.workspace {
            self.usage.charge(now, workspace, work);
        }
        Grant { runner: key, id, address, source: choice.source, load, work }
    }

    fn service(&self, name: &Name) -> Option<&Service> {
        self.table.as_ref()?.service(name.as_str())
    }

    fn refusal(&self, request: &Request) -> Decision {
        let span = request.target.saturating_sub(request.arrived);
        Decision::Refused { retry_after: span.max(LEAST_RETRY_AFTER) }
    }

    fn desk(&mut self, service: &Name) -> &mut Desk {
        if !self.desks.contains_key(service) {
            let limits = &self.limits;
            let budget =
                RetryBudget::new(limits.retry_window, limits.retry_ratio, limits.retry_constant);
            let desk =
                Desk { queue: Queue::default(), adaptive_limit: AdaptiveLimit::default(), budget };
            self.desks.insert(service.clone(), desk);
        }
        &mut self.desks[service]
    }
}

/// Returns when a request stops waiting for a runner.
fn give_up(request: &Request) -> Duration {
    let span = request.target.saturating_sub(request.arrived);
    (request.arrived + span.mul_f64(WAIT_PART)).min(request.deadline)
}
