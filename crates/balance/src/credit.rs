//! Credits for requests to runners that limit the rate of all routers together.
//!
//! Load pattern: a runner takes few requests a second, and more routers have requests for it than its limit can be divided
//! among; which of them have requests changes all the time. A part for each router would be less than one request, or
//! stand idle. A count that each router keeps and tells to the others would be exceeded before they hear of it. So one
//! router, the issuer, hands out credits for each such runner, one for each request, at the rate of its limit, to those
//! that ask for some. The issuer is the live router that ranks first by rendezvous hashing, so that each router finds it
//! without communication. Credits and the requests for them last for a short time only, so that nothing piles up.

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

use crate::Key;

/// The time for which a router's request for credits holds.
const REQUEST_TIME: Duration = Duration::from_millis(400);
/// The time after which an issuer forgets when it last answered a router that asks no more.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);
/// The pause before a router asks for more credits than it has asked for.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// The time for which a credit may be used after the request for it has expired.
const CREDIT_TIME: Duration = Duration::from_millis(400);
/// The time of its rate for which an issuer may hand out credits at once.
const BURST_TIME: Duration = Duration::from_millis(250);
/// The lowest rate of credits per second, since only the answer to a request tells that a limit has ended.
pub(crate) const MIN_RATE: f64 = 0.25;
/// The time for which a router that lacks credits at a runner takes the runner for full.
const LACK_TIME: Duration = Duration::from_millis(500);
/// The delay after which a router that has asked for credits in vain lacks them.
const LACK_DELAY: Duration = Duration::from_millis(30);

/// A router's request for credits of a runner.
#[derive(Debug, Clone, PartialEq)]
pub struct CreditRequest {
    /// The runner.
    pub runner: Key,
    /// For each credit, what the workspace whose request waits for it has been granted, relative to its fair share, the
    /// lowest first; infinite if no request waits. The lowest comes first.
    pub granted_shares: Vec<f64>,
}

/// The numbers of credits that a router has received and used since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CreditCount {
    /// Credits that were received in time.
    pub received: u64,
    /// Credits that were received too late.
    pub late: u64,
    /// Credits that were used for a request.
    pub used: u64,
    /// Credits that this router has handed out, as an issuer.
    pub issued: u64,
}

/// Credits that an issuer hands out to a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Credit {
    /// The router that receives them.
    pub router: Name,
    /// The runner.
    pub runner: Key,
    /// The number of credits.
    pub count: u32,
    /// The number of the [`CreditRequest`] that they answer.
    pub number: u64,
}

/// What a router has asked for.
#[derive(Debug, Clone)]
struct Asked {
    issuer: Name,
    left: u32,
    at: Duration,
}

/// The credits that a router holds for one runner.
#[derive(Debug, Clone, Default)]
pub struct Stock {
    /// The times at which they expire, the earliest first.
    expiries: Vec<Duration>,
    asked: Option<Asked>,
    /// The time since when requests wait and none is held.
    lacking_since: Option<Duration>,
    lacking_until: Duration,
}

impl Stock {
    /// Returns the number of credits that may be used.
    #[must_use]
    pub fn count(&self, now: Duration) -> usize {
        self.expiries.iter().filter(|expiry| now < **expiry).count()
    }

    /// Uses a credit, and returns whether one was held.
    pub(crate) fn take(&mut self, now: Duration) -> bool {
        self.expiries.retain(|expiry| now < *expiry);
        let has_credit = !self.expiries.is_empty();
        if has_credit {
            self.expiries.remove(0);
        }
        has_credit
    }

    /// Adds credits that answer a [`CreditRequest`] of `asked_at`; returns whether they may still be used.
    pub(crate) fn add(&mut self, now: Duration, asked_at: Duration, count: u32) -> bool {
        let expiry = asked_at + REQUEST_TIME + CREDIT_TIME;
        if let Some(asked) = &mut self.asked {
            asked.left = asked.left.saturating_sub(count);
        }
        if now >= expiry {
            return false;
        }
        self.lacking_since = None;
        let position = self.expiries.partition_point(|known| *known <= expiry);
        let added = std::iter::repeat_n(expiry, count as usize);
        self.expiries.splice(position..position, added);
        true
    }

    /// Returns whether credits may be asked of an issuer, who has not been asked for as many lately, and records that they are.
    pub(crate) fn ask(&mut self, now: Duration, issuer: &Name, wanted: u32) -> bool {
        let is_pending = self.asked.as_ref().is_some_and(|asked| {
            let time = if asked.left >= wanted { REQUEST_TIME } else { MIN_PAUSE };
            now < asked.at + time && asked.left > 0 && asked.issuer == *issuer
        });
        if is_pending {
            return false;
        }
        self.asked = Some(Asked { issuer: issuer.clone(), left: wanted, at: now });
        true
    }

    /// Records whether requests wait and no credit is held.
    pub(crate) fn record_lack(&mut self, now: Duration, has_waiting: bool) {
        if !has_waiting || self.count(now) > 0 {
            self.lacking_since = None;
            return;
        }
        if now >= self.lacking_until {
            self.lacking_since = None;
        }
        self.lacking_since.get_or_insert(now);
        self.lacking_until = now + LACK_TIME;
    }

    /// Returns whether requests have waited in vain for credits.
    pub(crate) fn is_lacking(&self, now: Duration) -> bool {
        let has_waited = self.lacking_since.is_some_and(|since| since + LACK_DELAY <= now);
        has_waited && now < self.lacking_until
    }
}

/// The newest [`CreditRequest`] of a router, as far as its issuer has not answered it.
#[derive(Debug, Clone)]
struct Pending {
    /// One for each credit, the lowest last.
    granted_shares: Vec<f64>,
    number: u64,
    until: Duration,
    served_at: Duration,
}

/// What an issuer hands out for one runner.
#[derive(Debug, Clone)]
struct Issuance {
    credits: f64,
    updated_at: Duration,
    pending: IndexMap<Name, Pending>,
}

impl Issuance {
    /// Creates an issuance without credits, since an issuer before may have handed out all that the runner takes.
    fn new(now: Duration) -> Self {
        Self { credits: 0.0, updated_at: now, pending: IndexMap::new() }
    }

    fn refill(&mut self, now: Duration, rate: f64) {
        let elapsed = now.saturating_sub(self.updated_at);
        let most = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        self.credits = (self.credits + rate * elapsed.as_secs_f64()).min(most);
        self.updated_at = now;
    }

    /// Returns the router that gets the next credit, and counts it.
    fn serve(&mut self, now: Duration) -> Option<(Name, u64)> {
        let open = self.pending.iter_mut().filter(|(_, request)| now < request.until);
        let open = open.filter_map(|(router, request)| {
            let share = *request.granted_shares.last()?;
            Some((share, router, request))
        });
        let (_, router, request) =
            open.min_by(|(share, _, request), (other_share, _, other)| {
                share.total_cmp(other_share).then(request.served_at.cmp(&other.served_at))
            })?;
        request.granted_shares.pop();
        request.served_at = now;
        Some((router.clone(), request.number))
    }
}

/// The routers among which issuers are chosen, and what this router hands out.
#[derive(Debug, Clone, Default)]
pub(crate) struct Issuers {
    /// The live routers that accept callers; this one is among them if it does.
    candidates: Vec<Name>,
    /// The fraction of each limit that is handed out.
    fraction: f64,
    issuances: IndexMap<Key, Issuance>,
}

impl Issuers {
    /// Replaces the candidates, of whom `visible` of `published` routers are alive; returns whether they differ.
    ///
    /// Routers that don't see a third of the fleet or more hand out less, since others may be issuers there. So two sides that
    /// don't see each other hand out at most four thirds of a limit, and a zone in three may be lost without a loss of rate.
    pub(crate) fn set(&mut self, candidates: Vec<Name>, visible: usize, published: usize) -> bool {
        let is_most = visible.saturating_mul(3) >= published.saturating_mul(2);
        self.fraction = if is_most { 1.0 } else { visible as f64 / published.max(1) as f64 };
        let is_changed = self.candidates != candidates;
        self.candidates = candidates;
        is_changed
    }

    /// Returns the issuer for a runner, by a number that stands for it; `None` if nobody accepts callers.
    pub(crate) fn issuer(&self, number: u64) -> Option<&Name> {
        let weight = |name: &&Name| crate::rendezvous::weight(number, name.as_str());
        self.candidates.iter().max_by_key(weight)
    }

    /// Ends what is handed out for other runners than some.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(Key) -> bool) {
        self.issuances.retain(|key, _| is_kept(*key));
    }

    /// Records a router's request, which replaces its last one.
    pub(crate) fn record(
        &mut self,
        now: Duration,
        router: &Name,
        request: CreditRequest,
        number: u64,
    ) {
        let CreditRequest { runner, mut granted_shares } = request;
        granted_shares.reverse();
        let issuance = self.issuances.entry(runner).or_insert_with(|| Issuance::new(now));
        issuance.pending.retain(|_, request| now < request.until + FORGOTTEN_AFTER);
        let served_at =
            issuance.pending.get(router).map_or(Duration::ZERO, |request| request.served_at);
        let until = now + REQUEST_TIME;
        let request = Pending { granted_shares, number, until, served_at };
        issuance.pending.insert(router.clone(), request);
    }

    /// Hands out the credits that are due, at the rate of each runner in requests per second, if it is limited.
    pub(crate) fn issue(
        &mut self,
        now: Duration,
        rate_of: impl Fn(Key) -> Option<f64>,
    ) -> Vec<Credit> {
        let mut issued: IndexMap<(Name, Key, u64), u32> = IndexMap::new();
        for (key, issuance) in &mut self.issuances {
            let rate = rate_of(*key);
            if let Some(rate) = rate {
                issuance.refill(now, rate.max(MIN_RATE) * self.fraction);
            }
            while rate.is_none() || issuance.credits >= 1.0 {
                let Some((router, number)) = issuance.serve(now) else { break };
                if rate.is_some() {
                    issuance.credits -= 1.0;
                }
                *issued.entry((router, *key, number)).or_default() += 1;
            }
        }
        let credits = issued.into_iter();
        credits
            .map(|((router, runner, number), count)| Credit { router, runner, count, number })
            .collect()
    }

    /// Returns the time until the next credit is due for which a router has asked; `None` if none is wanted.
    pub(crate) fn next_issue(
        &self,
        now: Duration,
        rate_of: impl Fn(Key) -> Option<f64>,
    ) -> Option<Duration> {
        let is_open = |request: &Pending| !request.granted_shares.is_empty() && now < request.until;
        let wanted = self.issuances.iter();
        let wanted = wanted.filter(|(_, issuance)| issuance.pending.values().any(is_open));
        let times = wanted.map(|(key, issuance)| {
            let rate = rate_of(*key).map_or(f64::INFINITY, |rate| rate.max(MIN_RATE));
            let lacking = (1.0 - issuance.credits).max(0.0);
            Duration::from_secs_f64(
                lacking / (rate * self.fraction.max(f64::EPSILON)).max(MIN_RATE / 4.0),
            )
        });
        times.min()
    }
}
