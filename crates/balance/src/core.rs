//! The state of a router and its decisions on each request.

mod conditions;
mod credits;
mod lending;
mod refusal;
mod rollout;

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

use crate::AdaptiveLimit;
use crate::Admission;
use crate::Cause;
use crate::CrashHistory;
use crate::CreditCount;
use crate::Decision;
use crate::FleetLimits;
use crate::Grant;
use crate::Key;
use crate::Load;
use crate::LoadLimits;
use crate::Outcome;
use crate::Registry;
use crate::Request;
use crate::RetryBudget;
use crate::Service;
use crate::Table;
use crate::Ticket;
use crate::Usage;
use crate::choice;
use crate::choice::Choice;
use crate::choice::Selector;
use crate::credit::Issuers;
use crate::expectation::Expectation;
use crate::loan::Loans;
use crate::queue::Queue;
use crate::queue::Waiting;
use crate::rollout::Rollouts;
use crate::rollout::versions::Versions;
use crate::shares::Shares;
use crate::turnover::Turnover;

/// The fraction of its target time for which a request waits for a runner.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// The maximum number of placements in one report to other routers.
const MAX_PLACEMENTS: usize = 48;
/// The maximum number of waiting requests of a service that are examined in one run of its queue.
const MAX_EXAMINED: usize = 24;

/// The state of one service.
#[derive(Debug, Clone)]
struct ServiceState {
    queue: Queue,
    adaptive_limit: AdaptiveLimit,
    budget: RetryBudget,
    loans: Loans,
    turnover: Turnover,
    /// The time of the last request that was submitted.
    asked_at: Option<Duration>,
}

/// The state of a router.
#[derive(Debug, Clone)]
pub struct Core {
    /// The configuration in force, once one is known.
    pub table: Option<Table>,
    /// The runners.
    pub registry: Registry,
    /// The recent use of engines by each workspace.
    pub usage: Usage,
    /// The crashes of runners, by possible cause.
    pub crash_history: CrashHistory,
    /// The rollouts of new versions.
    pub rollouts: Rollouts,
    versions: Versions,
    limits: FleetLimits,
    /// The number of published routers in each other zone that reports sums.
    zone_sizes: IndexMap<Name, usize>,
    services: IndexMap<Name, ServiceState>,
    tickets: u64,
    shares: Shares,
    /// The routers that hand out credits for runners with a limit, and what this one hands out.
    issuers: Issuers,
    /// The credits of this router.
    pub credit_count: CreditCount,
    /// Shared parts that are to be reported to other routers, with the runners to which they were sent.
    placements: Vec<(u64, Key)>,
}

impl Core {
    /// Creates a state without a configuration and without runners.
    #[must_use]
    pub fn new(limits: FleetLimits) -> Self {
        Self {
            table: None,
            registry: Registry::default(),
            usage: Usage::default(),
            crash_history: CrashHistory::default(),
            rollouts: Rollouts::default(),
            versions: Versions::default(),
            limits,
            zone_sizes: IndexMap::new(),
            services: IndexMap::new(),
            tickets: 0,
            shares: Shares::default(),
            issuers: Issuers::default(),
            credit_count: CreditCount::default(),
            placements: Vec::new(),
        }
    }

    /// Replaces the limits, except the names of other routers and the start of this process.
    pub fn set_limits(&mut self, limits: FleetLimits) {
        let FleetLimits { peers, former, started, joined, .. } = self.limits.clone();
        self.limits = FleetLimits { peers, former, started, joined, ..limits };
        for state in self.services.values_mut() {
            state.budget.set(self.limits.retry_ratio, self.limits.retry_constant);
        }
    }

    /// Replaces the names of the other routers.
    pub fn set_peers(&mut self, now: Duration, peers: Vec<Name>) {
        self.limits.set_peers(now, peers);
    }

    /// Records that the other routers, which are to become known now, don't know this one yet.
    pub fn join(&mut self, now: Duration) {
        self.limits.join(now);
    }

    /// Replaces the numbers of published routers in the other zones, which report sums.
    pub fn set_zone_sizes(&mut self, routers: IndexMap<Name, usize>) {
        self.zone_sizes = routers;
    }

    /// Sets the time after which the other routers know of a grant.
    pub const fn set_report_interval(&mut self, interval: Duration) {
        self.shares.report_interval = interval;
    }

    /// Records that another router has received a report of this one that was sent at `at`.
    pub fn confirm_report(&mut self, at: Duration) {
        self.shares.confirm_report(at);
        self.limits.confirm(at);
    }

    /// Adopts a configuration and returns `true`, or returns `false` if it is not newer than the current one.
    pub fn adopt(&mut self, table: Table) -> bool {
        if self.table.as_ref().is_some_and(|current| current.version >= table.version) {
            return false;
        }
        self.table = Some(table);
        true
    }

    /// Records a caller's request in the retry budget of a service.
    pub fn count_request(&mut self, now: Duration, service: &Name) {
        self.service_state(service).budget.record_request(now);
        self.rollouts.record_request(service);
    }

    /// Takes a retry from the budget of a service; returns `false` if none is left.
    ///
    /// Until the other routers are known, the constant part of the budget is not used.
    pub fn take_retry(&mut self, now: Duration, service: &Name) -> bool {
        let others = self.limits.sharing(now, self.limits.retry_window);
        let routers = others.map_or(usize::MAX, |others| others.count() + 1);
        let runs_for = now.saturating_sub(self.limits.used_since());
        self.service_state(service).budget.take_retry(now, runs_for, routers)
    }

    /// Decides whether a request with these possible causes of crashes may be sent to a runner.
    pub fn admit(&mut self, now: Duration, causes: &[Cause]) -> Admission {
        let FleetLimits { router, peers, .. } = &self.limits;
        self.crash_history.admit(now, causes, router, peers.as_deref())
    }

    /// Decides whether a request that was admitted may still be sent; it is no probe.
    pub fn readmit(&mut self, now: Duration, causes: &[Cause]) -> Admission {
        self.crash_history.admit(now, causes, &self.limits.router, None)
    }

    /// Submits a request for a runner.
    pub fn submit(&mut self, now: Duration, request: Request) -> Outcome {
        let state = self.service_state(&request.service);
        state.asked_at = Some(now);
        let has_waiting = !state.queue.is_empty();
        if let Some(prompt) = &request.prompt {
            let time = request.deadline.saturating_sub(request.arrived);
            self.service_state(&request.service).adaptive_limit.record_request(
                now,
                time,
                prompt.output,
            );
        }
        let grant = if has_waiting { None } else { self.grant(now, &request) };
        if let Some(payer) = request.payer() {
            self.usage.record_demand(now, &payer, request.work());
        }
        if let Some(grant) = grant {
            return Outcome::Decided(Decision::Granted(grant));
        }
        let expires_at = expires_at(&request);
        let resumes_at = self.registry.resumes_at(now, request.service.as_str());
        let is_pausing = resumes_at.is_some_and(|resumes_at| resumes_at >= expires_at);
        if now >= expires_at || is_pausing || self.is_credit_late(now, &request, expires_at) {
            return Outcome::Decided(self.refusal(now, &request));
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.service_state(&request.service.clone())
            .queue
            .push(ticket, Waiting { request, expires_at });
        Outcome::Queued(ticket)
    }

    /// Removes a waiting request.
    pub fn cancel(&mut self, ticket: Ticket) {
        for state in self.services.values_mut() {
            if state.queue.take(ticket).is_some() {
                return;
            }
        }
    }

    /// Decides all waiting requests that can be decided now.
    pub fn process_queue(&mut self, now: Duration) -> Vec<(Ticket, Decision)> {
        let waiting = self.services.iter().filter(|(_, state)| !state.queue.is_empty());
        let services: Vec<Name> = waiting.map(|(name, _)| name.clone()).collect();
        let mut decided = Vec::new();
        for service in services {
            self.process_service(now, &service, &mut decided);
        }
        decided
    }

    /// Returns the latest time at which [`Core::process_queue`] must run next, or `None` if no request waits.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        self.services.values().filter_map(|state| state.queue.next_expiry()).min()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.services.values().map(|state| state.queue.len()).sum()
    }

    /// Returns the limits on the load of one engine and the number of waiting requests, for each service.
    pub fn service_loads(&self) -> impl Iterator<Item = (&Name, &AdaptiveLimit, usize)> {
        self.services.iter().map(|(name, state)| (name, &state.adaptive_limit, state.queue.len()))
    }

    /// Records the limits on the load of one engine that a number of other routers have derived.
    pub fn record_peer_limits(&mut self, service: &Name, other: LoadLimits, routers: usize) {
        let peers = self.limits.peers.as_ref().map_or(0, Vec::len);
        let fraction = routers as f64 / peers.max(1) as f64;
        self.service_state(service).adaptive_limit.move_towards(other, fraction.min(1.0));
    }

    /// Records the time per token of an answer.
    pub fn record_token_time(&mut self, now: Duration, service: &Name, each: Duration) {
        let state = self.service_state(service);
        let has_waiting = !state.queue.is_empty();
        state.adaptive_limit.record_token_time(now, each, has_waiting);
    }

    /// Records that the first token of a request has arrived.
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
        let state = self.service_state(service);
        state.turnover.record_prompt(took);
        let has_waiting = !state.queue.is_empty();
        state.adaptive_limit.record_first_token(now, took, target, has_waiting);
    }

    /// Returns the time until the first runner of a service wants requests of this router, if none does now.
    #[must_use]
    pub fn pause(&self, now: Duration, service: &Name) -> Option<Duration> {
        let resumes_at = self.registry.resumes_at(now, service.as_str())?;
        Some(resumes_at.saturating_sub(now))
    }

    /// Releases a grant; work that the runner can't have run is not charged.
    pub fn release(&mut self, now: Duration, grant: &Grant, may_have_run: bool) {
        if let Some(runner) = self.registry.get_mut(grant.runner) {
            runner.own_load.remove(grant.load);
            let state = self.services.get_mut(&runner.registration.service);
            if let Some(state) = state.filter(|_| may_have_run) {
                state.turnover.record_place(now.saturating_sub(grant.granted_at));
            }
        }
        if let Some(payer) = grant.payer.as_ref().filter(|_| !may_have_run) {
            self.usage.refund(now, payer, grant.work, grant.is_contended);
        }
    }

    fn process_service(
        &mut self,
        now: Duration,
        service: &Name,
        decided: &mut Vec<(Ticket, Decision)>,
    ) {
        let order = self.services[service].queue.in_order(&self.usage, now, MAX_EXAMINED);
        let mut has_room: IndexMap<Option<Name>, bool> = IndexMap::new();
        for ticket in order {
            let Some(waiting) = self.services[service].queue.get(ticket) else { continue };
            let request = waiting.request.clone();
            let workspace = request.workspace.clone();
            let may_fit = *has_room
                .entry(workspace)
                .or_insert_with_key(|workspace| self.has_room(now, service, workspace.as_ref()));
            if !may_fit {
                continue;
            }
            if let Some(grant) = self.grant(now, &request) {
                self.services[service].queue.take(ticket);
                decided.push((ticket, Decision::Granted(grant)));
            }
        }
        for ticket in self.services[service].queue.expired(now) {
            if let Some(waiting) = self.services[service].queue.take(ticket) {
                decided.push((ticket, self.refusal(now, &waiting.request)));
            }
        }
    }

    /// Returns whether what is known about runners that leave is recent enough to send requests.
    #[must_use]
    pub fn knows_departures(&self, now: Duration) -> bool {
        let max_age = self.limits.max_departures_age;
        max_age.is_none_or(|max_age| self.registry.is_current(now, max_age))
    }

    /// Returns whether a request may still be sent to a runner that it was granted.
    #[must_use]
    pub fn may_send(&self, now: Duration, grant: &Grant) -> bool {
        self.knows_departures(now) && self.registry.is_serving(grant.runner)
    }

    fn grant(&mut self, now: Duration, request: &Request) -> Option<Grant> {
        if !self.knows_departures(now) {
            return None;
        }
        if let Some(grant) = self.grant_on_trial(now, request) {
            return Some(grant);
        }
        let selector = self.selector(now, &request.service, request.workspace.as_ref())?;
        if let Some(choice) = selector.choose(request) {
            return Some(self.place(now, request, &choice));
        }
        self.grant_reserved(now, request)
    }

    /// Returns whether any runner has room for requests of a workspace.
    fn has_room(&mut self, now: Duration, service: &Name, workspace: Option<&Name>) -> bool {
        if self.rollouts.prefers_candidates(service) {
            return true;
        }
        let has_reserved = self.has_reserved(now, service, workspace);
        let selector = self.selector(now, service, workspace);
        selector.is_some_and(|selector| selector.beyond_lease(has_reserved).has_room())
    }

    fn selector(
        &mut self,
        now: Duration,
        service: &Name,
        workspace: Option<&Name>,
    ) -> Option<Selector<'_>> {
        self.update_shares(now);
        self.service_state(service);
        self.tickets += 1;
        self.current_selector(now, service, workspace)
    }

    /// Returns the state on which the last choice of a runner depended.
    fn current_selector(
        &self,
        now: Duration,
        service: &Name,
        workspace: Option<&Name>,
    ) -> Option<Selector<'_>> {
        let state = self.services.get(service)?;
        let lease = self.shares.lease(now, &self.limits.router);
        let backlog_reserve = self.shares.backlog_reserve(now, &self.usage, workspace);
        let lease = if backlog_reserve > 0.0 { lease.without_backlog() } else { lease };
        let runners = self.registry.serving(service.as_str()).map(|(_, runner)| runner);
        let usable = runners.filter(|runner| runner.may_be_sent(now));
        Some(Selector {
            registry: &self.registry,
            service: self.service(service)?,
            adaptive_limit: &state.adaptive_limit,
            fraction: self.shares.allowed_fraction(now, &self.usage, workspace),
            backlog_reserve,
            lease: lease.with_loans(state.loans.balance(now)),
            is_beyond_lease: false,
            needs_credit: false,
            is_canary: false,
            expectation: Expectation::of(now, state.turnover, usable),
            fleet_limits: &self.limits,
            now,
            salt: self.tickets,
        })
    }

    /// Removes and returns the placements of shared parts since the last call, for a report to the other routers.
    ///
    /// If there are too many for one report, only the newest are returned.
    pub fn take_placements(&mut self) -> Vec<(u64, Key)> {
        let placements = std::mem::take(&mut self.placements);
        let excess = placements.len().saturating_sub(MAX_PLACEMENTS);
        placements.into_iter().skip(excess).collect()
    }

    fn place(&mut self, now: Duration, request: &Request, choice: &Choice) -> Grant {
        let key = choice.runner;
        let runner = self.registry.get_mut(key).expect("a chosen runner is in the registry");
        let load = Load {
            running: 1,
            backlog: choice::missing_tokens(runner, request, now),
            memory: request.memory(),
        };
        let is_cold = runner.is_cold(now);
        if is_cold {
            runner.cold_sent.add(now, 1);
        }
        if runner.rate_limit.per_second(now).is_some() {
            self.credit_count.used += u64::from(runner.credits.take(now));
        }
        runner.own_load.add(load);
        if let Some(prompt) = &request.prompt {
            let reported = runner.prefix_cache.record_sent(prompt, now);
            self.placements.extend(reported.map(|part| (part, key)));
        }
        let registration = &runner.registration;
        let (id, address) = (registration.id.clone(), registration.address);
        let incarnation = registration.incarnation();
        let version = registration.version.clone();
        let is_contended = self.shares.is_contended();
        let work = request.work();
        let payer = request.payer();
        if let Some(payer) = &payer {
            self.usage.charge(now, payer, work, is_contended);
            self.shares.record_use(now, &self.usage, payer);
        }
        let source = choice.source;
        Grant {
            runner: key,
            id,
            incarnation,
            address,
            source,
            version,
            is_cold,
            granted_at: now,
            load,
            payer,
            work,
            is_contended,
        }
    }

    fn service(&self, name: &Name) -> Option<&Service> {
        self.table.as_ref()?.service(name.as_str())
    }

    fn service_state(&mut self, service: &Name) -> &mut ServiceState {
        if !self.services.contains_key(service) {
            let limits = &self.limits;
            let budget =
                RetryBudget::new(limits.retry_window, limits.retry_ratio, limits.retry_constant);
            let state = ServiceState {
                queue: Queue::default(),
                adaptive_limit: AdaptiveLimit::default(),
                budget,
                loans: Loans::default(),
                turnover: Turnover::default(),
                asked_at: None,
            };
            self.services.insert(service.clone(), state);
        }
        &mut self.services[service]
    }
}

/// Returns the time at which a request stops waiting for a runner.
fn expires_at(request: &Request) -> Duration {
    let span = request.target.saturating_sub(request.arrived);
    (request.arrived + span.mul_f64(MAX_WAIT_FRACTION)).min(request.deadline)
}
