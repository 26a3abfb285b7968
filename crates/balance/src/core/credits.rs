//! Credits for requests to runners that limit the rate of all routers together.

use std::cmp::Reverse;
use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

use super::Core;
use crate::Credit;
use crate::CreditCount;
use crate::CreditRequest;
use crate::Key;
use crate::Request;
use crate::Runner;
use crate::credit::MIN_RATE;
use crate::rendezvous;

/// The time after a request for a service for which a router asks for credits before further ones come.
const DEMAND_TIME: Duration = Duration::from_millis(500);
/// The most waiting requests for which credits are wanted at once.
const MAX_WANTED: usize = 128;
/// The number of credits that are wanted for each request that waits, of different runners.
const ASKED_PER_REQUEST: usize = 2;
/// The time for which the credits last that a router holds while nothing waits, if all do.
const RESERVE_TIME: Duration = Duration::from_millis(400);
/// The interval at which other runners are asked first.
const ROTATION_TIME: Duration = Duration::from_secs(1);
/// The longest time after which a caller is asked to come back.
const MAX_CREDIT_WAIT: Duration = Duration::from_secs(5);
/// The time for which a process hands out nothing, since it may not yet know of other issuers.
const SETTLE_TIME: Duration = Duration::from_secs(1);

impl Core {
    /// Replaces the routers that may hand out credits: those that are alive and accept callers, this one included if it does;
    /// `visible` routers are alive.
    pub fn set_issuers(&mut self, candidates: Vec<Name>, visible: usize) {
        let published = self.limits.peers.as_ref().map_or(usize::MAX, |peers| peers.len() + 1);
        if !self.issuers.set(candidates, visible, published) {
            return;
        }
        let (registry, router) = (&self.registry, &self.limits.router);
        let owned: Vec<Key> = registry
            .iter()
            .filter(|(_, runner)| self.issuers.issuer(number(runner)) == Some(router))
            .map(|(key, _)| key)
            .collect();
        self.issuers.retain(|key| owned.contains(&key));
    }

    /// Returns whether any runner limits the rate of requests.
    #[must_use]
    pub fn has_rate_limits(&self, now: Duration) -> bool {
        self.registry.iter().any(|(_, runner)| runner.rate_limit.per_second(now).is_some())
    }

    /// Returns the credits that this router wants now, by issuer.
    pub fn credit_requests(&mut self, now: Duration) -> IndexMap<Name, Vec<CreditRequest>> {
        let mut requests: IndexMap<Name, Vec<CreditRequest>> = IndexMap::new();
        let services: Vec<Name> = self.services.keys().cloned().collect();
        for service in services {
            let state = &self.services[&service];
            let has_waiting = !state.queue.is_empty();
            let has_demand = state.asked_at.is_some_and(|at| now < at + DEMAND_TIME);
            if !has_demand && !has_waiting {
                continue;
            }
            let runners = self.limited(now, &service);
            if runners.is_empty() {
                continue;
            }
            let granted_shares = self.granted_shares(now, &service);
            for (runner, granted_shares) in divide(&runners, &granted_shares) {
                let wanted = granted_shares.len();
                if let Some(issuer) = self.ask(now, runner, wanted, has_waiting) {
                    let request = CreditRequest { runner, granted_shares };
                    requests.entry(issuer).or_default().push(request);
                }
            }
        }
        requests
    }

    /// Returns what the workspace of each waiting request has been granted, relative to its share, the lowest first; if nothing
    /// waits, infinity for each credit that is to be held.
    fn granted_shares(&self, now: Duration, service: &Name) -> Vec<f64> {
        let queue = &self.services[service].queue;
        if queue.is_empty() {
            return vec![f64::INFINITY; self.reserve(now, service)];
        }
        let mut shares = Vec::new();
        for queued in queue.by_payer() {
            let share = self.granted_share(now, &queued.payer);
            shares.extend(std::iter::repeat_n(share, queued.requests as usize));
        }
        // Requests of a plain service that need no key have no payer.
        shares.resize(queue.len(), 0.0);
        shares.sort_unstable_by(f64::total_cmp);
        shares.truncate(MAX_WANTED);
        shares.iter().flat_map(|share| [*share; ASKED_PER_REQUEST]).collect()
    }

    /// Returns the number of credits that this router holds while nothing waits, its part of what runners take in a short time.
    fn reserve(&self, now: Duration, service: &Name) -> usize {
        let serving = self.registry.serving(service.as_str());
        let rates = serving.filter_map(|(_, runner)| runner.rate_limit.per_second(now));
        let rate: f64 = rates.map(|rate| rate.max(MIN_RATE)).sum();
        let routers = self.limits.peers.as_ref().map_or(1, |peers| peers.len() + 1);
        (rate * RESERVE_TIME.as_secs_f64() / routers as f64).ceil() as usize
    }

    /// Returns the runners of a service whose credits this router may use, in an order that changes with time and router.
    fn limited(&self, now: Duration, service: &Name) -> Vec<Key> {
        let serving = self.registry.serving(service.as_str());
        let canaries = self.registry.canaries(service.as_str());
        let limited = serving
            .chain(canaries)
            .filter(|(_, runner)| runner.may_be_sent(now) && runner.is_limited(now));
        let epoch = now.as_millis() / ROTATION_TIME.as_millis();
        let epoch = u64::try_from(epoch).unwrap_or(u64::MAX);
        let salt = rendezvous::weight(epoch, self.limits.router.as_str());
        let weight = |runner: &Runner| rendezvous::weight(salt, runner.registration.id.as_str());
        let mut limited: Vec<(Reverse<u64>, Key)> =
            limited.map(|(key, runner)| (Reverse(weight(runner)), key)).collect();
        limited.sort_unstable();
        limited.into_iter().map(|(_, key)| key).collect()
    }

    /// Records that credits of a runner are wanted, and returns of whom; `None` if some are held or asked for already.
    fn ask(&mut self, now: Duration, key: Key, wanted: usize, has_waiting: bool) -> Option<Name> {
        let runner = self.registry.get_mut(key)?;
        runner.credits.record_lack(now, has_waiting);
        if runner.credits.count(now) >= wanted {
            return None;
        }
        let issuer = self.issuers.issuer(number(runner))?;
        let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
        runner.credits.ask(now, issuer, wanted).then(|| issuer.clone())
    }

    /// Records the request of a router for credits that this one hands out; `number` stands for it.
    pub fn request_credits(
        &mut self,
        now: Duration,
        router: &Name,
        request: CreditRequest,
        number: u64,
    ) {
        if self.is_issuer(request.runner) {
            self.issuers.record(now, router, request, number);
        }
    }

    /// Returns the credits that are due now, for each router that wants some.
    pub fn issue_credits(&mut self, now: Duration) -> Vec<Credit> {
        if self.limits.peers.is_none() || now < self.limits.used_since() + SETTLE_TIME {
            return Vec::new();
        }
        let registry = &self.registry;
        self.issuers.retain(|key| registry.get(key).is_some());
        let issued = self.issuers.issue(now, |key| {
            registry.get(key).and_then(|runner| runner.rate_limit.per_second(now))
        });
        let count: u64 = issued.iter().map(|credit| u64::from(credit.count)).sum();
        self.credit_count.issued += count;
        issued
    }

    /// Returns the time until credits are due for which a router has asked; `None` if none are wanted.
    #[must_use]
    pub fn next_issue(&self, now: Duration) -> Option<Duration> {
        let rate_of = |key| {
            self.registry.get(key).and_then(|known: &Runner| known.rate_limit.per_second(now))
        };
        self.issuers.next_issue(now, rate_of)
    }

    /// Adds credits that answer a request of `asked_at`; returns whether they may still be used.
    pub fn add_credits(
        &mut self,
        now: Duration,
        asked_at: Duration,
        runner: Key,
        count: u32,
    ) -> bool {
        let runner = self.registry.get_mut(runner);
        let is_in_time = runner.is_some_and(|runner| runner.credits.add(now, asked_at, count));
        let CreditCount { received, late, .. } = &mut self.credit_count;
        let counter = if is_in_time { received } else { late };
        *counter += u64::from(count);
        is_in_time
    }

    /// Returns the requests per second that the runners of a service take from all routers together; `None` if any of those
    /// that may be used has no limit.
    pub(super) fn total_rate(&self, now: Duration, service: &Name) -> Option<f64> {
        let serving = self.registry.serving(service.as_str());
        let usable = serving.filter(|(_, runner)| runner.may_be_sent(now));
        let mut total = None;
        for (_, runner) in usable {
            let rate = runner.rate_limit.per_second(now)?.max(MIN_RATE);
            total = Some(total.unwrap_or(0.0) + rate);
        }
        total
    }

    /// Returns whether credits have been asked for in vain and the next one comes later than the end of a request's wait.
    pub(super) fn is_credit_late(
        &self,
        now: Duration,
        request: &Request,
        expires_at: Duration,
    ) -> bool {
        let Some(rate) = self.total_rate(now, &request.service) else { return false };
        let mut serving = self.registry.serving(request.service.as_str());
        let is_lacking =
            serving.all(|(_, runner)| runner.lacks_credits(now) && runner.credits.count(now) == 0);
        is_lacking && now.as_secs_f64() + 1.0 / rate >= expires_at.as_secs_f64()
    }

    /// Returns the time in which this router gets credits for all that waits here, if all routers have as much to send.
    pub(super) fn credit_wait(&self, now: Duration, service: &Name) -> Duration {
        let Some(rate) = self.total_rate(now, service) else { return Duration::ZERO };
        let waiting = self.services.get(service).map_or(0, |state| state.queue.len()) + 1;
        let routers = self.limits.peers.as_ref().map_or(1, |peers| peers.len() + 1);
        let wait = Duration::from_secs_f64((waiting * routers) as f64 / rate);
        wait.min(MAX_CREDIT_WAIT)
    }

    fn is_issuer(&self, runner: Key) -> bool {
        let runner = self.registry.get(runner);
        let issuer = runner.and_then(|runner| self.issuers.issuer(number(runner)));
        issuer == Some(&self.limits.router)
    }
}

/// Divides the shares among runners in turn; those of each runner are in the same order.
fn divide(runners: &[Key], granted_shares: &[f64]) -> IndexMap<Key, Vec<f64>> {
    let mut divided: IndexMap<Key, Vec<f64>> = IndexMap::new();
    for (runner, share) in runners.iter().cycle().zip(granted_shares) {
        divided.entry(*runner).or_default().push(*share);
    }
    divided
}

/// Returns the number by which the issuer for a runner is chosen.
fn number(runner: &Runner) -> u64 {
    u64::from(runner.registration.incarnation())
}
