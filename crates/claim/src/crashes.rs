//! Detection of requests that crash runners.
//!
//! If a runner crashes with several requests in flight, each of them becomes a suspect, and suspects run alone next. A
//! request is refused after two crashes if it ran alone in at least one of them. Reports of crashes may arrive more
//! than once and in any order.

use std::time::Duration;

use base::Attempt;
use base::Name;
use indexmap::IndexMap;

/// How long a request is remembered after its last crash.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of requests that are remembered.
const MAX_REQUESTS: usize = 10_000;
/// Maximum number of crashes that are remembered for one request, to recognise repeated reports.
const MAX_CRASHES_PER_REQUEST: usize = 16;
/// Number of crashes after which a request is refused, if it ran alone in at least one of them.
const REFUSAL_THRESHOLD: u32 = 2;

/// The admission of a request to runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Admission {
    /// The request may run concurrently with others.
    Clear,
    /// The request may run only alone on a runner.
    Suspect,
    /// The request is refused: it has crashed runners, and may have run.
    Refused,
}

/// One crash of a runner.
#[derive(Debug, PartialEq, Eq)]
struct Crash {
    attempt: Attempt,
    runner: Name,
    alone: bool,
}

/// The crashes of one request.
#[derive(Debug, Default)]
struct History {
    /// The latest crashes, also those of a request that was cleared, since their reports may be repeated.
    crashes: Vec<Crash>,
    /// The number of crashes with other requests in flight since the request was last cleared.
    with_others: u32,
    /// The number of crashes while it ran alone since the request was last cleared.
    alone: u32,
    /// The time of the last crash.
    last: Duration,
}

/// The crashes of each request, by the digest of its workspace and content.
#[derive(Debug, Default)]
pub struct Crashes {
    histories: IndexMap<u64, History>,
}

impl Crashes {
    /// Creates an empty record of crashes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a crash that this router or another one reports.
    pub fn record_crash(&mut self, report: &wire::Crash, now: Duration) {
        self.remove_expired(now);
        self.evict_oldest(report.digest);
        let history = self.histories.entry(report.digest).or_default();
        let crash =
            Crash { attempt: report.attempt, runner: report.runner.clone(), alone: report.alone };
        if history.crashes.contains(&crash) {
            return;
        }
        if history.crashes.len() == MAX_CRASHES_PER_REQUEST {
            history.crashes.remove(0);
        }
        history.crashes.push(crash);
        history.last = now;
        match report.alone {
            true => history.alone += 1,
            false => history.with_others += 1,
        }
    }

    /// Returns the admission of a request.
    #[must_use]
    pub fn admission(&self, digest: u64, now: Duration) -> Admission {
        match self.histories.get(&digest) {
            Some(history) if history.is_recent(now) => history.admission(),
            _ => Admission::Clear,
        }
    }

    /// Records that a suspect ran alone and finished, which clears it unless it is already refused.
    pub fn record_completion(&mut self, digest: u64) {
        let Some(history) = self.histories.get_mut(&digest) else { return };
        if history.admission() == Admission::Suspect {
            history.alone = 0;
            history.with_others = 0;
        }
    }

    /// Returns the number of remembered requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Returns whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    fn remove_expired(&mut self, now: Duration) {
        self.histories.retain(|_, history| history.is_recent(now));
    }

    /// Removes the request whose last crash is the oldest, if there is no capacity for `digest`.
    fn evict_oldest(&mut self, digest: u64) {
        if self.histories.len() < MAX_REQUESTS || self.histories.contains_key(&digest) {
            return;
        }
        let oldest = self
            .histories
            .iter()
            .min_by_key(|(_, history)| history.last)
            .map(|(digest, _)| *digest);
        if let Some(oldest) = oldest {
            self.histories.swap_remove(&oldest);
        }
    }
}

impl History {
    const fn admission(&self) -> Admission {
        match (self.alone, self.with_others) {
            (0, 0) => Admission::Clear,
            (alone, with_others) if alone > 0 && alone + with_others >= REFUSAL_THRESHOLD => {
                Admission::Refused
            }
            _ => Admission::Suspect,
        }
    }

    fn is_recent(&self, now: Duration) -> bool {
        now.saturating_sub(self.last) < CRASH_RETENTION
    }
}
