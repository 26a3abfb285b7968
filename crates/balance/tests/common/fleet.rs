//! Routers that share engines and report to each other with a delay.

use std::collections::VecDeque;
use std::time::Duration;

use balance::Core;
use balance::Decision;
use balance::Grant;
use balance::Limit;
use balance::Load;
use balance::LoanRequest;
use balance::Origin;
use balance::Outcome;
use balance::Refusal;
use balance::Request;
use balance::Work;
use base::Name;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::SERVICE;
use super::TARGET;
use super::core;

/// The time from a grant to the first token.
const FIRST_TOKEN: Duration = Duration::from_millis(120);

/// A request that an engine runs.
struct Running {
    router: usize,
    grant: Grant,
    first_token: Option<Duration>,
    ends_at: Duration,
}

/// A request that was refused.
pub(crate) struct Refused {
    pub(crate) at: Duration,
    pub(crate) workspace: Name,
    pub(crate) reason: Refusal,
    pub(crate) limit: Limit,
    /// The number of requests that all engines ran.
    pub(crate) running: usize,
    /// The fraction of the places at all engines that were free.
    pub(crate) free: f64,
}

/// The figures that one router or all routers of a zone report.
#[derive(Clone, Default)]
struct Figures {
    /// The number of routers.
    routers: usize,
    loads: IndexMap<Name, Load>,
    works: IndexMap<Name, Work>,
}

/// A router's request for places of another one, which is on its way.
struct Asked {
    at: Duration,
    from: usize,
    to: usize,
    request: LoanRequest,
}

/// Zones of routers, which report the sums of their figures to each other later than routers of one zone do.
struct Zones {
    count: usize,
    /// The number of intervals of reports that sums take.
    delay: usize,
    /// The sums of each zone that are on their way, the oldest first, with the time at which they were made.
    sums: VecDeque<(Duration, Vec<Figures>)>,
}

/// Routers that share engines and report to each other at a fixed interval.
pub(crate) struct Fleet {
    pub(crate) cores: Vec<Core>,
    /// The number of requests granted, by workspace and whole second.
    pub(crate) granted: IndexMap<(Name, u64), u64>,
    /// The number of requests submitted, by workspace and whole second.
    asked: IndexMap<(Name, u64), u64>,
    /// A workspace whose requests run for another time than those of the others.
    pub(crate) long: Option<(Name, Duration)>,
    /// A router whose reports get lost from one time to another.
    pub(crate) silent: Option<(usize, Duration, Duration)>,
    /// The number of routers with the lowest numbers which the others don't hear, nor are heard by them, from one time to
    /// another.
    pub(crate) cut: Option<(usize, Duration, Duration)>,
    /// The requests refused.
    pub(crate) refused: Vec<Refused>,
    /// The largest number of requests beyond their limits that engines ran at one time, with that time.
    pub(crate) overrun: (u64, Duration),
    /// The same for all engines together.
    pub(crate) excess: (u64, Duration),
    /// The routers whose processes have ended.
    dead: IndexSet<usize>,
    /// Requests for places that are on their way.
    loan_requests: Vec<Asked>,
    /// A number from which the routers that are asked are chosen.
    draws: u64,
    engines: usize,
    zones: Option<Zones>,
    run: Duration,
    interval: Duration,
    running: Vec<Running>,
    waiting: IndexMap<(usize, balance::Ticket), Name>,
}

impl Fleet {
    /// Creates routers whose requests run for a given time, and which report at a given interval.
    pub(crate) fn new(routers: usize, engines: usize, run: Duration, interval: Duration) -> Self {
        let cores = (0..routers).map(|router| new_core(router, routers, engines, interval));
        Self {
            cores: cores.collect(),
            granted: IndexMap::new(),
            asked: IndexMap::new(),
            long: None,
            silent: None,
            cut: None,
            refused: Vec::new(),
            overrun: (0, Duration::ZERO),
            excess: (0, Duration::ZERO),
            dead: IndexSet::new(),
            loan_requests: Vec::new(),
            draws: 0,
            engines,
            zones: None,
            run,
            interval,
            running: Vec::new(),
            waiting: IndexMap::new(),
        }
    }

    /// Divides the routers among zones, which know each other's sums after a number of intervals of reports.
    pub(crate) fn divide(&mut self, count: usize, delay: usize) {
        self.zones = Some(Zones { count, delay, sums: VecDeque::new() });
        for router in 0..self.cores.len() {
            self.set_zone_sizes(router);
        }
    }

    fn set_zone_sizes(&mut self, router: usize) {
        let Some(Zones { count, .. }) = self.zones else { return };
        let others = (0..self.cores.len()).map(|other| other % count);
        let mut sizes: IndexMap<Name, usize> = IndexMap::new();
        for zone in others.filter(|zone| *zone != router % count) {
            *sizes.entry(zone_name(zone)).or_default() += 1;
        }
        self.cores[router].set_zone_sizes(sizes);
    }

    /// Ends the process of a router; its requests are lost.
    pub(crate) fn kill(&mut self, router: usize) {
        self.dead.insert(router);
        self.running.retain(|running| running.router != router);
        self.waiting.retain(|(waiting_at, _), _| *waiting_at != router);
    }

    /// Starts a router again: it knows the names of the others and the runners, and its requests are lost.
    pub(crate) fn restart(&mut self, router: usize) {
        self.dead.swap_remove(&router);
        self.cores[router] = new_core(router, self.cores.len(), self.engines, self.interval);
        self.set_zone_sizes(router);
        self.running.retain(|running| running.router != router);
        self.waiting.retain(|(waiting_at, _), _| *waiting_at != router);
    }

    /// Returns the routers whose processes run.
    pub(crate) fn alive(&self) -> Vec<usize> {
        (0..self.cores.len()).filter(|router| !self.dead.contains(router)).collect()
    }

    /// Returns the limit on running requests of all engines, as known to a router.
    pub(crate) fn running_limit(&self, router: usize) -> u64 {
        let limits = self.cores[router].service_loads().map(|(_, limit, _)| limit.limits().running);
        limits.map(u64::from).sum::<u64>() * self.engines as u64
    }

    /// Returns the number of requests of a router that engines run.
    pub(crate) fn running_of(&self, router: usize) -> u64 {
        self.running.iter().filter(|running| running.router == router).count() as u64
    }

    /// Returns the largest limit on running requests of all engines that a router knows.
    fn limit(&self) -> u64 {
        self.alive().into_iter().map(|router| self.running_limit(router)).max().unwrap_or_default()
    }

    /// Returns the number of requests beyond their limits that engines run.
    fn overrun_now(&self) -> u64 {
        let limit = self.limit() / self.engines as u64;
        let mut running: IndexMap<&Name, u64> = IndexMap::new();
        for request in &self.running {
            *running.entry(&request.grant.id).or_default() += 1;
        }
        running.values().map(|running| running.saturating_sub(limit)).sum()
    }

    /// Returns the fraction of the places at all engines that are free.
    fn free(&self) -> f64 {
        let limit = self.limit() as f64;
        (1.0 - self.running.len() as f64 / limit).max(0.0)
    }

    /// Returns the number of requests that were refused from one time to another while more than a fraction of the places
    /// at engines was free.
    pub(crate) fn refused_beside_free(&self, from: Duration, to: Duration, free: f64) -> usize {
        let refused = self.refused.iter().filter(|refused| (from..to).contains(&refused.at));
        refused.filter(|refused| refused.free > free).count()
    }

    /// Submits a request at a router.
    pub(crate) fn submit(&mut self, now: Duration, router: usize, request: Request) {
        assert!(!self.dead.contains(&router), "router {router} has ended");
        let workspace = request.workspace.clone().expect("a request has a workspace");
        *self.asked.entry((workspace.clone(), now.as_secs())).or_default() += 1;
        match self.cores[router].submit(now, request) {
            Outcome::Queued(ticket) => {
                self.waiting.insert((router, ticket), workspace);
            }
            Outcome::Decided(decision) => self.record(now, router, decision, &workspace),
        }
    }

    /// Returns the number of requests of a workspace that were granted from one second to another.
    pub(crate) fn granted_between(&self, workspace: &str, from: u64, to: u64) -> u64 {
        count(&self.granted, from, to, |name| name.as_str() == workspace)
    }

    /// Returns the number of requests of a workspace that were submitted from one second to another.
    pub(crate) fn asked_between(&self, workspace: &str, from: u64, to: u64) -> u64 {
        count(&self.asked, from, to, |name| name.as_str() == workspace)
    }

    /// Returns the number of requests that were granted from one second to another.
    pub(crate) fn all_granted_between(&self, from: u64, to: u64) -> u64 {
        count(&self.granted, from, to, |_| true)
    }

    /// Returns the number of requests that were submitted from one second to another.
    pub(crate) fn all_asked_between(&self, from: u64, to: u64) -> u64 {
        count(&self.asked, from, to, |_| true)
    }

    /// Ends requests, decides waiting ones and exchanges reports, in steps of 10 ms.
    pub(crate) fn step(&mut self, now: Duration) {
        self.advance_requests(now);
        self.answer_loan_requests(now);
        // The router with the lowest number runs last, after the others have used the free capacity.
        for router in self.alive().into_iter().rev() {
            for (ticket, decision) in self.cores[router].process_queue(now) {
                let workspace = self.waiting.swap_remove(&(router, ticket)).expect("waiting");
                self.record(now, router, decision, &workspace);
            }
            self.request_loans(now, router);
        }
        if now.as_millis().is_multiple_of(self.interval.as_millis()) {
            self.exchange(now);
        }
        self.overrun = self.overrun.max((self.overrun_now(), now));
        let excess = (self.running.len() as u64).saturating_sub(self.limit());
        self.excess = self.excess.max((excess, now));
    }

    /// Lets all routers measure tokens that take far too long.
    pub(crate) fn record_slow_tokens(&mut self, now: Duration) {
        for core in &mut self.cores {
            core.record_token_time(now, &Name::new(SERVICE), Duration::from_secs(1));
        }
    }

    fn advance_requests(&mut self, now: Duration) {
        for running in &mut self.running {
            if running.first_token.take_if(|at| *at <= now).is_some() {
                let core = &mut self.cores[running.router];
                let grant = &mut running.grant;
                core.record_first_token(now, grant, &Name::new(SERVICE), FIRST_TOKEN, TARGET);
            }
        }
        let is_ended = |running: &Running| running.ends_at <= now;
        let (ended, running) = std::mem::take(&mut self.running).into_iter().partition(is_ended);
        self.running = running;
        for Running { router, grant, .. } in ended {
            self.cores[router].release(now, &grant, true);
        }
    }

    fn record(&mut self, now: Duration, router: usize, decision: Decision, workspace: &Name) {
        let grant = match decision {
            Decision::Granted(grant) => grant,
            Decision::Refused { reason, limit, .. } => {
                let (workspace, running) = (workspace.clone(), self.running.len());
                let free = self.free();
                self.refused.push(Refused { at: now, workspace, reason, limit, running, free });
                return;
            }
        };
        *self.granted.entry((workspace.clone(), now.as_secs())).or_default() += 1;
        let long = self.long.as_ref().filter(|(long, _)| long == workspace);
        let run = long.map_or(self.run, |(_, run)| *run);
        self.running.push(Running {
            router,
            grant,
            first_token: Some(now + FIRST_TOKEN),
            ends_at: now + run,
        });
    }

    /// Asks other routers for places, wherever they are; the answers come in the next step.
    fn request_loans(&mut self, now: Duration, from: usize) {
        for request in self.cores[from].loan_requests(now) {
            for request in request.split(request.lenders()) {
                self.draws = self.draws.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let to = (self.draws >> 33) as usize % self.cores.len();
                if to != from && !self.dead.contains(&to) {
                    self.loan_requests.push(Asked { at: now, from, to, request });
                }
            }
        }
    }

    /// Returns whether messages between two routers get lost.
    fn is_cut(&self, now: Duration, one: usize, other: usize) -> bool {
        let is_now = |(_, start, end): &(usize, Duration, Duration)| (*start..*end).contains(&now);
        self.cut.filter(is_now).is_some_and(|(count, ..)| (one < count) != (other < count))
    }

    fn answer_loan_requests(&mut self, now: Duration) {
        for Asked { at, from, to, request } in std::mem::take(&mut self.loan_requests) {
            if self.is_cut(now, from, to) {
                continue;
            }
            let lent = self.cores[to].lend(now, &request);
            if !lent.is_empty() {
                self.cores[from].borrow(now, at, &request, lent);
            }
        }
    }

    fn exchange(&mut self, now: Duration) {
        let zone_count = self.zones.as_ref().map_or(1, |zones| zones.count);
        let mut sums = vec![Figures::default(); zone_count];
        for from in 0..self.cores.len() {
            let is_silent = |(router, start, end)| router == from && (start..end).contains(&now);
            if self.dead.contains(&from) || self.silent.is_some_and(is_silent) {
                continue;
            }
            let sender = Origin::Router(router_name(from));
            self.cores[from].record_state(now);
            let figures = Figures::of(&self.cores[from], now);
            let routers = 0..self.cores.len();
            let listeners = routers.filter(|to| {
                *to != from && *to % zone_count == from % zone_count && !self.is_cut(now, from, *to)
            });
            let listeners: Vec<usize> = listeners.collect();
            for to in &listeners {
                figures.apply(&mut self.cores[*to], &sender, now, now);
            }
            if !listeners.is_empty() || self.cut.is_none() {
                self.cores[from].confirm_report(now);
            }
            sums[from % zone_count].add(figures);
        }
        let Some(zones) = &mut self.zones else { return };
        zones.sums.push_back((now, sums));
        if zones.sums.len() <= zones.delay {
            return;
        }
        let Some((at, sums)) = zones.sums.pop_front() else { return };
        for (zone, figures) in sums.iter().enumerate() {
            let sender = Origin::Zone(zone_name(zone));
            for (to, core) in self.cores.iter_mut().enumerate() {
                if to % zone_count != zone {
                    figures.apply(core, &sender, now, at);
                }
            }
        }
    }
}

impl Figures {
    /// Returns the figures of one router.
    fn of(core: &Core, now: Duration) -> Self {
        let runners = core.registry.iter();
        let loads =
            runners.map(|(_, runner)| (runner.registration.id.clone(), runner.own_load)).collect();
        let works = core.usage.own(now).map(|(name, work)| (name.clone(), work)).collect();
        Self { routers: 1, loads, works }
    }

    fn add(&mut self, other: Self) {
        self.routers += other.routers;
        for (id, load) in other.loads {
            self.loads.entry(id).or_default().add(load);
        }
        for (name, work) in other.works {
            let sum = self.works.entry(name).or_default();
            sum.used += work.used;
            sum.contended += work.contended;
            sum.unmet += work.unmet;
        }
    }

    /// Records the figures of an origin, which were made at `at`, at a router.
    fn apply(&self, core: &mut Core, origin: &Origin, now: Duration, at: Duration) {
        for (id, load) in &self.loads {
            let key = core.registry.find(id.as_str()).expect("known");
            let runner = core.registry.get_mut(key).expect("known");
            runner.peer_loads.put(origin, at, *load);
            runner.peer_loads.remove_expired(now);
        }
        core.usage.put(origin, at, self.routers, self.works.clone());
    }
}

/// Returns the number of requests of some workspaces in the seconds from one to another.
fn count(
    counts: &IndexMap<(Name, u64), u64>,
    from: u64,
    to: u64,
    is_counted: impl Fn(&Name) -> bool,
) -> u64 {
    let counted =
        counts.iter().filter(|((name, second), _)| is_counted(name) && (from..to).contains(second));
    counted.map(|(_, count)| count).sum()
}

fn zone_name(zone: usize) -> Name {
    Name::new(&format!("zone-{zone}"))
}

fn router_name(router: usize) -> Name {
    Name::new(&format!("router-{router}"))
}

/// Creates the state of a router that knows the names of the others and the engines.
fn new_core(router: usize, routers: usize, engines: usize, interval: Duration) -> Core {
    let mut core = core(router_name(router).as_str(), engines);
    core.set_report_interval(interval);
    core.set_peers(
        Duration::ZERO,
        (0..routers).filter(|other| *other != router).map(router_name).collect(),
    );
    core
}
