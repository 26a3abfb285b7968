//! Which runner a request is sent to.
//!
//! Load pattern: long prompts delay the tokens of everyone at their runner, and a runner that keeps the shared parts of
//! a prompt saves reading them. The prompt tokens that a runner still has to read are the load that is balanced; the
//! runner that ranks first for a shared part is preferred as long as its backlog does not outweigh what it keeps.

use std::time::Duration;

use crate::Allowance;
use crate::Ask;
use crate::Key;
use crate::Kind;
use crate::Limits;
use crate::Prompt;
use crate::Registry;
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
/// Requests beyond its slots that a plain runner is sent, as a part of its slots.
const PLAIN_SURPLUS: u32 = 3;

/// What is known when a runner is chosen.
pub(crate) struct View<'a> {
    /// The runners.
    pub(crate) registry: &'a Registry,
    /// The service of the request.
    pub(crate) service: &'a Service,
    /// The most prompt tokens that may wait at one engine.
    pub(crate) backlog: u64,
    /// This router and its peers.
    pub(crate) limits: &'a Limits,
    /// The time.
    pub(crate) now: Duration,
    /// A number that differs from request to request.
    pub(crate) salt: u64,
}

impl View<'_> {
    /// Chooses the runner with the lowest cost among those with room.
    pub(crate) fn choose(&self, ask: &Ask) -> Option<Key> {
        let home = self.home(ask);
        let candidates = self.registry.serving(ask.service.as_str());
        let with_room = candidates.filter(|(key, runner)| self.has_room(*key, runner, ask));
        let costs = with_room.map(|(key, runner)| (self.cost(runner, ask, home == Some(key)), key));
        costs.min_by_key(|(cost, _)| *cost).map(|(_, key)| key)
    }

    /// Returns the runner that ranks first for the shared part of the prompt.
    fn home(&self, ask: &Ask) -> Option<Key> {
        let affinity = ask.prompt.as_ref().map(Prompt::affinity).filter(|part| *part != 0)?;
        let candidates = self.registry.serving(ask.service.as_str());
        candidates
            .max_by_key(|(_, runner)| rendezvous::weight(affinity, runner.id.as_str()))
            .map(|(key, _)| key)
    }

    fn has_room(&self, key: Key, runner: &Runner, ask: &Ask) -> bool {
        let is_usable = runner.health.is_usable(self.now) && !ask.avoid.contains(&key);
        let is_free = !runner.health.is_on_trial() || (runner.own.running == 0 && may_try(ask));
        is_usable && is_free && self.bears(runner) && self.fits(runner, ask)
    }

    /// Returns whether a cold runner bears one more request of this router now.
    fn bears(&self, runner: &Runner) -> bool {
        if !runner.is_cold(self.now) {
            return true;
        }
        let limits = self.limits;
        let allowance =
            Allowance::new(self.service.cold_rate, limits.cold_factor, limits.cold_constant);
        let others = limits.peers.iter().map(base::Name::as_str);
        let part = allowance.part(runner.born, limits.router.as_str(), others);
        runner.cold_sent.clone().sum(self.now) < part
    }

    fn fits(&self, runner: &Runner, ask: &Ask) -> bool {
        let load = runner.load(self.now);
        let Some(engine) = self.service.engine else {
            return load.running < runner.slots + runner.slots.div_ceil(PLAIN_SURPLUS);
        };
        let memory = (engine.memory as f64 * MEMORY_PART) as u64;
        let missing = missing(runner, ask, self.now).min(self.backlog / 2);
        load.running < runner.slots.min(engine.slots)
            && (load.memory + ask.memory() <= memory || load.running == 0)
            && load.backlog + missing <= self.backlog
    }

    fn cost(&self, runner: &Runner, ask: &Ask, is_home: bool) -> u64 {
        let load = runner.load(self.now);
        let failures = (runner.health.failure_ratio() * FAILURE_TOKENS) as u64;
        let spread = self.spread(runner);
        let Some(prompt) = &ask.prompt else {
            let busy = f64::from(load.running + 1) / f64::from(runner.slots.max(1));
            return ((busy * 1_000.0 + runner.health.failure_ratio() * 4_000.0) * spread) as u64;
        };
        let read = if is_home { unshared(prompt) } else { runner.kept.missing(prompt, self.now) };
        let tokens = load.backlog + read + u64::from(load.running) * RUNNING_TOKENS + failures;
        (tokens as f64 * spread) as u64
    }

    fn spread(&self, runner: &Runner) -> f64 {
        let weight = rendezvous::weight(self.salt, runner.id.as_str());
        1.0 + SPREAD * (weight as f64 / u64::MAX as f64)
    }
}

/// Returns the prompt tokens that a runner still has to read.
pub(crate) fn missing(runner: &Runner, ask: &Ask, now: Duration) -> u64 {
    ask.prompt.as_ref().map_or(0, |prompt| runner.kept.missing(prompt, now))
}

/// Returns the tokens of a prompt that no other session shares.
fn unshared(prompt: &Prompt) -> u64 {
    let shared = prompt.parts.len().saturating_sub(1);
    let tokens: u64 = prompt.parts.iter().take(shared).map(|part| part.tokens).sum();
    prompt.input.saturating_sub(tokens)
}

/// Returns whether a request may be used to find out if a runner works again.
const fn may_try(ask: &Ask) -> bool {
    !matches!(ask.kind, Kind::Unsafe)
}
