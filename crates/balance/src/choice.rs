//! Which runner a request is sent to.
//!
//! Load pattern: long prompts delay the tokens of everyone at their runner, and a runner that keeps the shared parts of
//! a prompt saves reading them. The prompt tokens that a runner still has to read are the load that is balanced. The
//! runner that ranks first for a shared part is preferred as long as its backlog does not outweigh what it keeps; any
//! other one fetches the shared parts from it.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use crate::AdaptiveLimit;
use crate::ColdLimit;
use crate::FleetLimits;
use crate::Key;
use crate::Kind;
use crate::Prompt;
use crate::Registry;
use crate::Request;
use crate::Runner;
use crate::Service;
use crate::rendezvous;

/// Prompt tokens that delay a first token as much as one running request does.
const RUNNING_TOKENS: u64 = 48;
/// The part of an engine's memory that is given out.
const MEMORY_PART: f64 = 0.9;
/// The part by which costs differ at random, so that routers with the same figures spread out.
const SPREAD: f64 = 0.1;
/// The cost of an expected failure, in prompt tokens.
const FAILURE_TOKENS: f64 = 20_000.0;
/// The cost of a shared token that is fetched from another runner, in prompt tokens that wait.
const FETCHED: f64 = 0.5;
/// Shared tokens from which on fetching them is worth its set-up.
const FETCH_LEAST: u64 = 32;
/// The part of the shared tokens that the runners ranking first for them are believed to keep.
const KEPT_PARTS: [f64; 3] = [1.0, 0.5, 0.2];
/// The part of its target for which a request waits for the runner that suits it best.
const PATIENCE_PART: f64 = 0.25;
/// Requests beyond its slots that a plain runner is sent, as a part of its slots.
const PLAIN_SURPLUS: u32 = 3;

/// What is known when a runner is chosen.
pub(crate) struct View<'a> {
    /// The runners.
    pub(crate) registry: &'a Registry,
    /// The service of the request.
    pub(crate) service: &'a Service,
    /// The most load that one engine of the service is given.
    pub(crate) adaptive_limit: &'a AdaptiveLimit,
    /// The part of that load that the workspace may fill.
    pub(crate) part: f64,
    /// This router and its peers.
    pub(crate) limits: &'a FleetLimits,
    /// The time.
    pub(crate) now: Duration,
    /// A number that differs from request to request.
    pub(crate) salt: u64,
}

/// The chosen runner.
pub(crate) struct Choice {
    /// The runner.
    pub(crate) runner: Key,
    /// The runner from which it fetches the shared parts that it does not keep.
    pub(crate) source: Option<SocketAddr>,
}

/// A runner that may be used, with the cost of using it.
struct Candidate {
    key: Key,
    cost: u64,
    has_room: bool,
}

impl View<'_> {
    /// Chooses the runner with the lowest cost; none if it has no room and the request may still wait for it.
    pub(crate) fn choose(&self, request: &Request) -> Option<Choice> {
        let ranks = self.ranks(request);
        let serving = self.registry.serving(request.service.as_str());
        let usable = serving.filter(|(key, runner)| self.is_usable(*key, runner, request));
        let candidates = usable.map(|(key, runner)| Candidate {
            key,
            cost: self.cost(runner, request, ranks.iter().position(|ranked| *ranked == key)),
            has_room: self.fits(runner, request),
        });
        let may_wait = self.now < request.arrived + patience(request);
        let candidates = candidates.filter(|candidate| candidate.has_room || may_wait);
        let best = candidates.min_by_key(|candidate| candidate.cost)?;
        let source = self.source(request, &ranks, best.key);
        best.has_room.then_some(Choice { runner: best.key, source })
    }

    /// Returns the runner that most likely keeps the shared parts, other than the chosen one.
    ///
    /// That is one which has read them, by what this router or another has sent; without such a one it is their home.
    /// The chosen runner fetches only what it lacks, so a source is named even if it is believed to keep all.
    fn source(&self, request: &Request, ranks: &[Key], chosen: Key) -> Option<SocketAddr> {
        let prompt = request.prompt.as_ref().filter(|prompt| prompt.shared() >= FETCH_LEAST)?;
        let home = ranks.first().copied();
        let is_home = home == Some(chosen);
        let serving = self.registry.serving(request.service.as_str());
        let others = serving.filter(|(key, _)| *key != chosen);
        let working = others.filter(|(_, runner)| runner.health.is_usable(self.now));
        let keepers = working.filter_map(|(key, runner)| {
            let used = runner.prefix_cache.last_use(prompt.affinity(), self.now);
            let is_likely = used.is_some() || (Some(key) == home && !is_home);
            let has_read = used.is_some_and(|used| used.is_read);
            is_likely.then_some((has_read, Some(key) == home, used, runner.registration.address))
        });
        keepers.max().map(|(.., address)| address)
    }

    /// Returns the runners that rank first for the shared part of the prompt.
    fn ranks(&self, request: &Request) -> Vec<Key> {
        let affinity = request.prompt.as_ref().map(Prompt::affinity).filter(|part| *part != 0);
        let Some(affinity) = affinity else { return Vec::new() };
        let serving = self.registry.serving(request.service.as_str());
        let mut ranks: Vec<(Reverse<u64>, Key)> = serving
            .map(|(key, runner)| {
                (rendezvous::weight(affinity, runner.registration.id.as_str()), key)
            })
            .map(|(weight, key)| (Reverse(weight), key))
            .collect();
        ranks.sort_unstable();
        ranks.truncate(KEPT_PARTS.len());
        ranks.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns whether a runner may be sent a request at all.
    fn is_usable(&self, key: Key, runner: &Runner, request: &Request) -> bool {
        let is_usable = runner.health.is_usable(self.now) && !request.avoid.contains(&key);
        let is_free =
            !runner.health.is_half_open() || (runner.own_load.running == 0 && may_try(request));
        is_usable && is_free && self.bears(runner)
    }

    /// Returns whether a cold runner bears one more request of this router now.
    fn bears(&self, runner: &Runner) -> bool {
        if !runner.is_cold(self.now) {
            return true;
        }
        let limits = self.limits;
        let cold_limit =
            ColdLimit::new(self.service.cold_rate, limits.cold_factor, limits.cold_constant);
        let others = limits.peers.iter().map(base::Name::as_str);
        let part = cold_limit.share(runner.registration.started_ms, limits.router.as_str(), others);
        runner.cold_sent.clone().sum(self.now) < part
    }

    fn fits(&self, runner: &Runner, request: &Request) -> bool {
        let load = runner.load(self.now);
        let Some(engine) = self.service.engine else {
            return load.running
                < runner.registration.slots + runner.registration.slots.div_ceil(PLAIN_SURPLUS);
        };
        let memory = (engine.memory as f64 * MEMORY_PART) as u64;
        let limits = self.adaptive_limit.limits();
        let backlog = (limits.backlog as f64 * self.part) as u64;
        let running = (f64::from(limits.running) * self.part).ceil() as u32;
        let missing = missing(runner, request, self.now).min(backlog / 2);
        load.running < running.min(runner.registration.slots).min(engine.slots)
            && (load.memory + request.memory() <= memory || load.running == 0)
            && load.backlog + missing <= backlog
    }

    fn cost(&self, runner: &Runner, request: &Request, rank: Option<usize>) -> u64 {
        let load = runner.load(self.now);
        let spread = self.spread(runner);
        let failure_ratio = runner.health.failure_ratio();
        let Some(prompt) = &request.prompt else {
            let busy = f64::from(load.running + 1) / f64::from(runner.registration.slots.max(1));
            return ((busy * 1_000.0 + failure_ratio * 4_000.0) * spread) as u64;
        };
        let waiting = load.backlog + u64::from(load.running) * RUNNING_TOKENS;
        let kept = rank.map_or(0.0, |rank| KEPT_PARTS[rank]);
        let missing = missing_shared(runner, prompt, self.now) as f64;
        let fetched = missing.min(prompt.shared() as f64 * (1.0 - kept));
        let failures = failure_ratio * FAILURE_TOKENS;
        (waiting as f64 * spread + FETCHED * fetched + failures) as u64
    }

    fn spread(&self, runner: &Runner) -> f64 {
        let weight = rendezvous::weight(self.salt, runner.registration.id.as_str());
        1.0 + SPREAD * (weight as f64 / u64::MAX as f64)
    }
}

/// Returns for how long a request may wait for the runner that suits it best.
fn patience(request: &Request) -> Duration {
    request.target.saturating_sub(request.arrived).mul_f64(PATIENCE_PART)
}

/// Returns the prompt tokens that a runner still has to read.
pub(crate) fn missing(runner: &Runner, request: &Request, now: Duration) -> u64 {
    request.prompt.as_ref().map_or(0, |prompt| runner.prefix_cache.missing_tokens(prompt, now))
}

/// Returns the tokens of shared parts that a runner does not keep.
fn missing_shared(runner: &Runner, prompt: &Prompt, now: Duration) -> u64 {
    let unshared = prompt.input.saturating_sub(prompt.shared());
    runner.prefix_cache.missing_tokens(prompt, now).saturating_sub(unshared)
}

/// Returns whether a request may be used to find out if a runner works again.
const fn may_try(request: &Request) -> bool {
    !matches!(request.kind, Kind::Unsafe)
}
