//! The choice of the runner for a request.
//!
//! Load pattern: a long prompt delays the tokens of all requests at its runner, and a runner that holds the shared
//! parts of a prompt in its prefix cache need not process them. The load that is balanced is therefore the number of
//! prompt tokens that a runner still has to process. The runner that ranks first for a shared part is preferred as long
//! as its backlog does not outweigh the cached tokens; any other runner fetches the shared parts from it. Runners of the
//! router's own zone are preferred a little, since what crosses zones is paid for.

mod room;

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use crate::AdaptiveLimit;
use crate::ColdLimit;
use crate::Engine;
use crate::FleetLimits;
use crate::Key;
use crate::Kind;
use crate::Load;
use crate::Prompt;
use crate::Registry;
use crate::Request;
use crate::Runner;
use crate::Service;
use crate::expectation::Expectation;
use crate::lease::Lease;
use crate::rendezvous;
use crate::runner::COLD_WINDOW;

/// The prompt tokens that delay a first token as much as one running request does.
const RUNNING_TOKENS: u64 = 48;
/// The fraction of an engine's memory that requests may fill.
const MEMORY_FRACTION: f64 = 0.9;
/// The largest random increase of a cost, as a fraction, so that routers with the same figures choose different
/// runners.
const COST_JITTER: f64 = 0.1;
/// The mean number of runners whose costs are compared for a request, beside those that hold its shared part. With all
/// compared, routers whose figures are equally old choose the same runners.
const SAMPLED_RUNNERS: f64 = 12.0;
/// The weight of a request's own prompt tokens relative to those that wait. Below 1, long prompts don't all go to the
/// fastest runners.
const OWN_PROMPT_WEIGHT: f64 = 0.6;
/// The cost of an expected failure, in prompt tokens.
const FAILURE_TOKENS: f64 = 20_000.0;
/// The cost of a shared token that is fetched from another runner, in waiting prompt tokens.
const FETCHED_TOKEN_COST: f64 = 0.5;
/// The cost of a runner in another zone, in waiting prompt tokens; small, so that a busy zone passes its work on.
const OTHER_ZONE_TOKENS: f64 = 400.0;
/// The same for a router whose zone has enough runners for itself. The load of other zones is known later.
const OTHER_LARGE_ZONE_TOKENS: f64 = 3_000.0;
/// The cost of a plain runner in another zone, as a fraction of its slots in use.
const OTHER_ZONE_BUSY: f64 = 0.34;
/// The number of runners in a zone from which on shared parts are held in each zone by itself.
const MIN_ZONE_RUNNERS: usize = 8;
/// The minimum number of shared tokens for which a fetch is worth its overhead.
const MIN_FETCH_TOKENS: u64 = 32;
/// The fraction of the shared tokens that the runners which rank first for them are assumed to hold, by rank.
const CACHED_FRACTIONS: [f64; 3] = [1.0, 0.5, 0.2];
/// The fraction of its target for which a request waits for the runner with the lowest cost.
const PREFERRED_WAIT_FRACTION: f64 = 0.25;
/// The slots of a plain runner are divided by this to get the number of requests beyond them that it may be sent.
const PLAIN_SURPLUS_DIVISOR: u32 = 3;

/// The state on which the choice of a runner depends.
#[derive(Clone, Copy)]
pub(crate) struct Selector<'a> {
    /// The runners.
    pub(crate) registry: &'a Registry,
    /// The service of the request.
    pub(crate) service: &'a Service,
    /// The limits on the load of one engine of the service.
    pub(crate) adaptive_limit: &'a AdaptiveLimit,
    /// The fraction of these limits that the workspace may fill.
    pub(crate) fraction: f64,
    /// The fraction of the limit on waiting prompt tokens that it may fill beyond this limit.
    pub(crate) backlog_reserve: f64,
    /// The places at the engines of the service that this router may use.
    pub(crate) lease: Lease,
    /// Whether a request may be placed beyond it.
    pub(crate) is_beyond_lease: bool,
    /// Whether only runners are chosen for which this router has a credit.
    pub(crate) needs_credit: bool,
    /// Whether the runner is chosen among those that receive requests on trial.
    pub(crate) is_canary: bool,
    /// The load that is expected at each runner.
    pub(crate) expectation: Expectation,
    /// The limits that hold over all routers, with the names of this router and its peers.
    pub(crate) fleet_limits: &'a FleetLimits,
    /// The current time.
    pub(crate) now: Duration,
    /// A number that differs from request to request.
    pub(crate) salt: u64,
}

/// The chosen runner.
pub(crate) struct Choice {
    /// The runner.
    pub(crate) runner: Key,
    /// The runner from which it fetches the shared parts that it does not hold.
    pub(crate) source: Option<SocketAddr>,
}

/// A usable runner with its cost for a request.
struct Candidate {
    key: Key,
    /// Whether the request may be lost there, so that any other runner comes first.
    is_last_resort: bool,
    cost: u64,
    has_capacity: bool,
}

/// The limits that apply to the requests of a workspace at one engine.
#[derive(Debug, Clone, Copy)]
struct WorkspaceLimits {
    backlog: u64,
    running: u32,
}

impl WorkspaceLimits {
    /// Returns the number of requests that may run at a runner.
    fn running_at(&self, runner: &Runner, engine: &Engine) -> u32 {
        self.running.min(runner.registration.slots).min(engine.slots)
    }

    /// Returns the number of prompt tokens that may wait at a runner; they take the same time at each.
    fn backlog_at(&self, runner: &Runner, now: Duration) -> u64 {
        (self.backlog as f64 / runner.pace.factor(now)) as u64
    }

    /// Returns whether the number of running requests allows one more at a runner with this load.
    fn may_run(&self, load: Load, runner: &Runner, engine: &Engine) -> bool {
        load.running < self.running_at(runner, engine)
    }
}

impl Selector<'_> {
    /// Returns the selector for a request that may be placed beyond the lease, if `is_beyond`.
    pub(crate) const fn beyond_lease(self, is_beyond: bool) -> Self {
        Self { is_beyond_lease: is_beyond, ..self }
    }

    /// Returns the selector for a request beyond the lease that a credit allows.
    ///
    /// Credits divide the requests that a runner takes among the routers, and the lease the places at the others.
    const fn with_credits(self) -> Self {
        Self { is_beyond_lease: true, needs_credit: true, ..self }
    }

    /// Returns the selector for a request on trial.
    ///
    /// Requests on trial are few, and a lease of the few runners that receive them would allow a router none.
    pub(crate) const fn on_trial(self, is_limited: bool) -> Self {
        Self { is_canary: true, is_beyond_lease: self.is_beyond_lease || is_limited, ..self }
    }

    /// Returns the runners of a service among which one is chosen.
    fn serving<'b>(&'b self, service: &'b str) -> impl Iterator<Item = (Key, &'b Runner)> {
        let regular = (!self.is_canary).then(|| self.registry.serving(service));
        let canaries = self.is_canary.then(|| self.registry.canaries(service));
        regular.into_iter().flatten().chain(canaries.into_iter().flatten())
    }

    /// Chooses the runner with the lowest cost, or `None` if it has no capacity and the request may still wait for it.
    pub(crate) fn choose(&self, request: &Request) -> Option<Choice> {
        let serving = || self.serving(request.service.as_str());
        if !serving().any(|(_, runner)| self.may_have_capacity(runner, request)) {
            return None;
        }
        if self.lease_limit().is_some() {
            return self.with_credits().choose(request);
        }
        let ranks = self.ranks(request);
        let usable = || serving().filter(|(key, runner)| self.is_usable(*key, runner, request));
        let fraction = SAMPLED_RUNNERS / usable().count().max(1) as f64;
        // A credit is lost if it is not used soon.
        let sampled = usable().filter(|(key, runner)| {
            ranks.contains(key) || runner.is_limited(self.now) || self.is_sampled(runner, fraction)
        });
        let best = self.best(request, &ranks, sampled).filter(|best| best.has_capacity);
        let best = best.or_else(|| self.best(request, &ranks, usable()))?;
        let source = self.source(request, &ranks, best.key);
        best.has_capacity.then_some(Choice { runner: best.key, source })
    }

    /// Returns the runner with the lowest cost; one without capacity only while the request may wait for it.
    fn best<'a>(
        &self,
        request: &Request,
        ranks: &[Key],
        usable: impl Iterator<Item = (Key, &'a Runner)>,
    ) -> Option<Candidate> {
        let may_wait = self.now < request.arrived + max_preferred_wait(request);
        let is_zone_large = self.is_zone_large();
        let zone_cost = if is_zone_large { OTHER_LARGE_ZONE_TOKENS } else { OTHER_ZONE_TOKENS };
        let candidates = usable.map(|(key, runner)| {
            let missing = missing_tokens(runner, request, self.now);
            let rank = ranks.iter().position(|ranked| *ranked == key);
            let cost = self.cost(runner, request, missing, rank, zone_cost);
            let has_capacity = self.has_capacity(runner, request, missing);
            let is_last_resort = runner.health.is_half_open() && !probes_first(request);
            Candidate { key, is_last_resort, cost, has_capacity }
        });
        let candidates = candidates.filter(|candidate| candidate.has_capacity || may_wait);
        candidates.min_by_key(|candidate| (candidate.is_last_resort, candidate.cost))
    }

    fn workspace_limits(&self) -> WorkspaceLimits {
        let limits = self.adaptive_limit.limits();
        WorkspaceLimits {
            backlog: (limits.backlog as f64 * (self.fraction + self.backlog_reserve)) as u64,
            running: (f64::from(limits.running) * self.fraction).ceil() as u32,
        }
    }

    /// Returns the address of the runner that most likely holds the shared parts, other than the chosen one.
    ///
    /// This is a runner that has processed them for a request of this router or another one, or else the runner that
    /// ranks first for them; one in the zone of the chosen runner comes first. The chosen runner only fetches what it
    /// lacks, so a source is returned even if it is assumed to hold all parts.
    fn source(&self, request: &Request, ranks: &[Key], chosen: Key) -> Option<SocketAddr> {
        let prompt =
            request.prompt.as_ref().filter(|prompt| prompt.shared() >= MIN_FETCH_TOKENS)?;
        let zone = self.registry.get(chosen).map(|runner| &runner.registration.zone);
        let preferred = ranks.first().copied();
        let is_preferred = preferred == Some(chosen);
        let serving = self.serving(request.service.as_str());
        let others = serving.filter(|(key, _)| *key != chosen);
        let usable = others.filter(|(_, runner)| runner.health.is_usable(self.now));
        let holders = usable.filter_map(|(key, runner)| {
            let used = runner.prefix_cache.last_use(prompt.affinity(), self.now);
            let is_likely = used.is_some() || (Some(key) == preferred && !is_preferred);
            let has_processed = used.is_some_and(|used| used.is_processed);
            is_likely.then_some((
                has_processed,
                Some(&runner.registration.zone) == zone,
                Some(key) == preferred,
                used,
                runner.registration.address,
            ))
        });
        holders.max().map(|(.., address)| address)
    }

    /// Returns the runners that rank first for the last shared part of the prompt.
    ///
    /// They are runners of the router's zone if it has enough of them to share the popular parts.
    fn ranks(&self, request: &Request) -> Vec<Key> {
        let affinity = request.prompt.as_ref().map(Prompt::affinity).filter(|part| *part != 0);
        let Some(affinity) = affinity else { return Vec::new() };
        let serving = || self.serving(request.service.as_str());
        let is_near = |runner: &Runner| self.is_near(runner);
        let is_zone_large = self.is_zone_large();
        let ranked = serving().filter(|(_, runner)| !is_zone_large || is_near(runner));
        let mut ranks: Vec<(Reverse<u64>, Key)> = ranked
            .map(|(key, runner)| {
                (rendezvous::weight(affinity, runner.registration.id.as_str()), key)
            })
            .map(|(weight, key)| (Reverse(weight), key))
            .collect();
        ranks.sort_unstable();
        ranks.truncate(CACHED_FRACTIONS.len());
        ranks.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns whether the router's zone has enough runners to share the popular parts by itself.
    fn is_zone_large(&self) -> bool {
        let serving = self.serving(self.service.name.as_str());
        let near = serving.filter(|(_, runner)| self.is_near(runner));
        near.take(MIN_ZONE_RUNNERS).count() == MIN_ZONE_RUNNERS
    }

    fn is_near(&self, runner: &Runner) -> bool {
        runner.registration.zone == self.fleet_limits.zone
    }

    /// Returns whether a runner may be used for a request, apart from its capacity.
    fn is_usable(&self, key: Key, runner: &Runner, request: &Request) -> bool {
        let is_allowed = !self.needs_credit || runner.is_limited(self.now);
        is_allowed && runner.has_credit(self.now) && self.is_available(key, runner, request)
    }

    /// Returns whether a runner may be used for a request, apart from its capacity and the limit on its rate.
    fn is_available(&self, key: Key, runner: &Runner, request: &Request) -> bool {
        let is_usable = runner.may_be_sent(self.now) && !request.avoid.contains(&key);
        let may_probe = runner.own_load.running == 0
            && runner.health.may_be_probed(self.now, probes_first(request));
        let is_available = !runner.health.is_half_open() || may_probe;
        is_usable && is_available && self.has_cold_capacity(runner)
    }

    /// Returns whether the cold limit allows one more request of this router to a runner.
    ///
    /// A process that has just started does not know with how many others it shares the limit, or what the process before
    /// it has sent, so it uses none of it.
    fn has_cold_capacity(&self, runner: &Runner) -> bool {
        if !runner.is_cold(self.now) {
            return true;
        }
        let limits = self.fleet_limits;
        if self.now < limits.used_since() + COLD_WINDOW {
            return false;
        }
        let Some(others) = limits.sharing(self.now, COLD_WINDOW) else { return false };
        let cold_limit =
            ColdLimit::new(self.service.cold_rate, limits.cold_factor, limits.cold_constant);
        let others = others.map(base::Name::as_str);
        let share =
            cold_limit.share(runner.registration.started_ms, limits.router.as_str(), others);
        runner.cold_sent.clone().sum(self.now) < share
    }

    /// Returns whether a runner has capacity for a request if it holds all of its prompt.
    ///
    /// This is known at little cost, and no engine has capacity for most requests that wait.
    fn may_have_capacity(&self, runner: &Runner, request: &Request) -> bool {
        self.has_capacity(runner, request, 0)
    }

    /// Returns whether a runner has capacity for a request, of whose prompt it still has to process `missing` tokens.
    fn has_capacity(&self, runner: &Runner, request: &Request, missing: u64) -> bool {
        let load = self.expectation.load(runner);
        let Some(engine) = self.service.engine else {
            let slots = runner.registration.slots;
            return load.running < slots.saturating_add(slots.div_ceil(PLAIN_SURPLUS_DIVISOR));
        };
        let limits = self.workspace_limits();
        let backlog = limits.backlog_at(runner, self.now);
        let missing = missing.min(backlog / 2);
        let has_memory = load.memory + request.memory() <= usable_memory(&engine);
        limits.may_run(load, runner, &engine)
            && (has_memory || load.running == 0)
            && load.backlog + missing <= backlog
    }

    fn cost(
        &self,
        runner: &Runner,
        request: &Request,
        missing: u64,
        rank: Option<usize>,
        zone_cost: f64,
    ) -> u64 {
        let load = self.expectation.load(runner);
        let jitter = self.jitter(runner);
        let failure_ratio = runner.health.failure_ratio();
        let is_near = self.is_near(runner);
        let Some(prompt) = &request.prompt else {
            let busy = f64::from(load.running + 1) / f64::from(runner.registration.slots.max(1));
            let distance = if is_near { 0.0 } else { OTHER_ZONE_BUSY };
            return (((busy + distance) * 1_000.0 + failure_ratio * 4_000.0) * jitter) as u64;
        };
        let waiting = (load.backlog + u64::from(load.running) * RUNNING_TOKENS) as f64;
        let cached = rank.map_or(0.0, |rank| CACHED_FRACTIONS[rank]);
        let unshared = prompt.input.saturating_sub(prompt.shared());
        let missing_shared = missing.saturating_sub(unshared) as f64;
        let fetched = missing_shared.min(prompt.shared() as f64 * (1.0 - cached));
        let failures = failure_ratio * FAILURE_TOKENS;
        let distance = if is_near { 0.0 } else { zone_cost };
        let read = waiting * jitter + OWN_PROMPT_WEIGHT * missing as f64;
        let factor = runner.pace.factor(self.now);
        (read * factor + FETCHED_TOKEN_COST * fetched + distance + failures) as u64
    }

    /// Returns whether a runner is among those whose costs are compared for the present request.
    fn is_sampled(&self, runner: &Runner, fraction: f64) -> bool {
        let weight = rendezvous::weight(!self.salt, runner.registration.id.as_str());
        weight as f64 / (u64::MAX as f64) < fraction
    }

    fn jitter(&self, runner: &Runner) -> f64 {
        let weight = rendezvous::weight(self.salt, runner.registration.id.as_str());
        1.0 + COST_JITTER * (weight as f64 / u64::MAX as f64)
    }
}

/// Returns the tokens of an engine's memory that requests may fill.
pub(crate) const fn usable_memory(engine: &Engine) -> u64 {
    (engine.memory as f64 * MEMORY_FRACTION) as u64
}

/// Returns how long a request may wait for the runner with the lowest cost.
fn max_preferred_wait(request: &Request) -> Duration {
    request.target.saturating_sub(request.arrived).mul_f64(PREFERRED_WAIT_FRACTION)
}

/// Returns the number of prompt tokens that a runner still has to process.
pub(crate) fn missing_tokens(runner: &Runner, request: &Request, now: Duration) -> u64 {
    request.prompt.as_ref().map_or(0, |prompt| runner.prefix_cache.missing_tokens(prompt, now))
}

/// Returns whether a request may probe a runner as soon as its block is over; one that must not be lost leaves that to
/// others.
const fn probes_first(request: &Request) -> bool {
    !matches!(request.kind, Kind::Unsafe)
}
