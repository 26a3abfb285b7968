//! An estimate of the prompt parts that a runner holds in its prefix cache.
//!
//! Load pattern: the requests for a popular shared part exceed the capacity of the runner that ranks first for it, so
//! that many routers send them to many runners. Each router sees only a few of these requests. Routers therefore report
//! to each other where they have sent shared parts, so that the next runner fetches a part from a runner that has
//! processed it and does not process it again.

use std::time::Duration;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use crate::Prompt;

/// The time after which an unused part is assumed to be evicted.
const EVICTION_TIME: Duration = Duration::from_secs(8);
/// The time that a runner takes to process a part.
const PROCESSING_TIME: Duration = Duration::from_millis(250);
/// The maximum number of parts that are recorded for one runner.
const MAX_PARTS: usize = 4_096;
/// The minimum number of shared tokens for which a placement is reported to other routers.
const MIN_REPORTED_TOKENS: u64 = 256;
/// The shortest interval between two reports of the same part.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// The use of a part at a runner since the part was last assumed to be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Use {
    /// Whether the runner has processed the part by now.
    pub(crate) is_processed: bool,
    /// The time of the last use.
    pub(crate) last: Duration,
}

/// A part that a runner is assumed to hold.
#[derive(Debug, Clone, Copy)]
struct Cached {
    first: Duration,
    last: Duration,
    /// The time of the last report to other routers.
    reported: Option<Duration>,
}

impl Cached {
    const fn new(now: Duration) -> Self {
        Self { first: now, last: now, reported: None }
    }

    fn is_cached(&self, now: Duration) -> bool {
        now < self.last + EVICTION_TIME
    }

    fn touch(&mut self, now: Duration) {
        if !self.is_cached(now) {
            self.first = now;
        }
        self.last = now;
    }
}

/// Parts by their identifier; each choice of a runner looks parts up at all runners.
type Parts = IndexMap<u64, Cached, FxBuildHasher>;

/// The prompt parts in the prefix cache of a runner, by the requests that routers have sent to it.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    /// Parts that this router has sent.
    own: Parts,
    /// Last shared parts that other routers have sent.
    peers: Parts,
}

impl PrefixCache {
    /// Returns the number of prompt tokens that the runner still has to process.
    #[must_use]
    pub fn missing_tokens(&self, prompt: &Prompt, now: Duration) -> u64 {
        let is_cached = |part: &u64| self.own.get(part).is_some_and(|part| part.is_cached(now));
        let own = prompt.parts.iter().take_while(|part| is_cached(&part.id));
        let own: u64 = own.map(|part| part.tokens).sum();
        let by_peers = self.peers.get(&prompt.affinity()).filter(|part| part.is_cached(now));
        let cached = by_peers.map_or(own, |_| own.max(prompt.shared()));
        prompt.input.saturating_sub(cached)
    }

    /// Returns the last use of a part that is assumed to be held.
    #[must_use]
    pub(crate) fn last_use(&self, part: u64, now: Duration) -> Option<Use> {
        let known = [self.own.get(&part), self.peers.get(&part)].into_iter().flatten();
        let cached = known.filter(|part| part.is_cached(now));
        cached
            .map(|part| Use { is_processed: now >= part.first + PROCESSING_TIME, last: part.last })
            .max()
    }

    /// Records that a prompt was sent to the runner; returns the part to report to the other routers, if any.
    pub fn record_sent(&mut self, prompt: &Prompt, now: Duration) -> Option<u64> {
        for part in &prompt.parts {
            touch(&mut self.own, part.id, now);
        }
        if prompt.shared() < MIN_REPORTED_TOKENS {
            return None;
        }
        let part = self.own.get_mut(&prompt.affinity())?;
        if part.reported.is_some_and(|reported| now < reported + REPORT_INTERVAL) {
            return None;
        }
        part.reported = Some(now);
        Some(prompt.affinity())
    }

    /// Records that another router has sent a prompt with this last shared part.
    pub fn record_sent_by_peer(&mut self, part: u64, now: Duration) {
        touch(&mut self.peers, part, now);
    }

    /// Removes all parts, as after a restart of the runner.
    pub fn clear(&mut self) {
        self.own.clear();
        self.peers.clear();
    }
}

fn touch(parts: &mut Parts, id: u64, now: Duration) {
    if parts.len() >= MAX_PARTS && !parts.contains_key(&id) {
        parts.retain(|_, part| now < part.last + EVICTION_TIME / 2);
    }
    if parts.len() < MAX_PARTS || parts.contains_key(&id) {
        parts.entry(id).or_insert_with(|| Cached::new(now)).touch(now);
    }
}
