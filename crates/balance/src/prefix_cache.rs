//! The prompt parts that a runner is believed to keep in memory.
//!
//! Load pattern: a hot shared part outgrows the runner that ranks first for it, so its requests go to many runners, from
//! many routers. Each router sees few of them; routers tell each other where they have sent shared parts, so that the
//! next runner fetches a part from one that has read it and does not read it again.

use std::time::Duration;

use indexmap::IndexMap;

use crate::Prompt;

/// How long a part that was not used is believed to be kept.
const KEEP: Duration = Duration::from_secs(8);
/// The time that passes until a runner has read a part that it was sent.
const READING: Duration = Duration::from_millis(250);
/// Parts remembered for one runner.
const PARTS: usize = 4_096;
/// Shared tokens of a prompt from which on other routers are told where it was sent.
const TOLD_LEAST: u64 = 256;
/// The time between two times that other routers are told of the same part.
const TOLD_AGAIN: Duration = Duration::from_secs(2);

/// The use of a part at a runner, without a long pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Use {
    /// Whether the runner has read the part by now.
    pub(crate) is_read: bool,
    /// When the part was used last.
    pub(crate) last: Duration,
}

/// A part in a runner's memory.
#[derive(Debug, Clone, Copy)]
struct Cached {
    first: Duration,
    last: Duration,
    /// When other routers were told of it.
    told: Option<Duration>,
}

impl Cached {
    const fn new(now: Duration) -> Self {
        Self { first: now, last: now, told: None }
    }

    fn is_kept(&self, now: Duration) -> bool {
        now < self.last + KEEP
    }

    fn touch(&mut self, now: Duration) {
        if !self.is_kept(now) {
            self.first = now;
        }
        self.last = now;
    }
}

/// Prompt parts with their use at a runner.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    /// Parts that this router has sent.
    own: IndexMap<u64, Cached>,
    /// Last shared parts that other routers have sent.
    heard: IndexMap<u64, Cached>,
}

impl PrefixCache {
    /// Returns the prompt tokens that the runner still has to read.
    #[must_use]
    pub fn missing_tokens(&self, prompt: &Prompt, now: Duration) -> u64 {
        let is_kept = |part: &u64| self.own.get(part).is_some_and(|part| part.is_kept(now));
        let own = prompt.parts.iter().take_while(|part| is_kept(&part.id));
        let own: u64 = own.map(|part| part.tokens).sum();
        let heard = self.heard.get(&prompt.affinity()).filter(|part| part.is_kept(now));
        let kept = heard.map_or(own, |_| own.max(prompt.shared()));
        prompt.input.saturating_sub(kept)
    }

    /// Returns the use of a part that is believed to be kept.
    #[must_use]
    pub(crate) fn last_use(&self, part: u64, now: Duration) -> Option<Use> {
        let known = [self.own.get(&part), self.heard.get(&part)].into_iter().flatten();
        let kept = known.filter(|part| part.is_kept(now));
        kept.map(|part| Use { is_read: now >= part.first + READING, last: part.last }).max()
    }

    /// Remembers that the runner reads a prompt; returns the part of which the other routers are to be told.
    pub fn record_sent(&mut self, prompt: &Prompt, now: Duration) -> Option<u64> {
        for part in &prompt.parts {
            touch(&mut self.own, part.id, now);
        }
        if prompt.shared() < TOLD_LEAST {
            return None;
        }
        let part = self.own.get_mut(&prompt.affinity())?;
        if part.told.is_some_and(|told| now < told + TOLD_AGAIN) {
            return None;
        }
        part.told = Some(now);
        Some(prompt.affinity())
    }

    /// Takes in that another router has sent a prompt with this last shared part.
    pub fn record_sent_by_peer(&mut self, part: u64, now: Duration) {
        touch(&mut self.heard, part, now);
    }

    /// Forgets all parts, as after a restart of the runner.
    pub fn clear(&mut self) {
        self.own.clear();
        self.heard.clear();
    }
}

fn touch(parts: &mut IndexMap<u64, Cached>, id: u64, now: Duration) {
    if parts.len() >= PARTS && !parts.contains_key(&id) {
        parts.retain(|_, part| now < part.last + KEEP / 2);
    }
    if parts.len() < PARTS || parts.contains_key(&id) {
        parts.entry(id).or_insert_with(|| Cached::new(now)).touch(now);
    }
}
