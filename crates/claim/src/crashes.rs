//! Requests that crash the runners that run them.
//!
//! A crash with several requests in flight makes each a suspect, and suspects run alone next. A request is refused
//! after two crashes if it ran alone in one of them. News may come twice and in any order.

use std::time::Duration;

use base::Attempt;
use base::Name;
use indexmap::IndexMap;

/// For how long a crash counts.
const MEMORY: Duration = Duration::from_secs(600);
/// The number of requests that are remembered.
const DIGESTS_LIMIT: usize = 10_000;
/// Crashes that are told apart for one request.
const CRASHES_LIMIT: usize = 16;
/// Crashes after which a request is refused.
const REFUSED_AFTER: u32 = 2;

/// What is to be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Admission {
    /// It may run beside others.
    Clear,
    /// It may run alone on a runner.
    Suspect,
    /// It is refused: it has crashed runners, and may have run.
    Refused,
}

/// One crash of a runner.
#[derive(Debug, PartialEq, Eq)]
struct Crash {
    attempt: Attempt,
    runner: Name,
    alone: bool,
}

#[derive(Debug, Default)]
struct Case {
    seen: Vec<Crash>,
    together: u32,
    alone: u32,
    last: Duration,
}

/// The crashes of each request, by the digest of its workspace and content.
#[derive(Debug, Default)]
pub struct Crashes {
    cases: IndexMap<u64, Case>,
}

impl Crashes {
    /// Creates an empty memory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in news of a crash, from this router or another.
    pub fn record_crash(&mut self, news: &wire::Crash, now: Duration) {
        self.expire(now);
        self.make_room(news.digest);
        let case = self.cases.entry(news.digest).or_default();
        let crash = Crash { attempt: news.attempt, runner: news.runner.clone(), alone: news.alone };
        if case.seen.contains(&crash) {
            return;
        }
        if case.seen.len() == CRASHES_LIMIT {
            case.seen.remove(0);
        }
        case.seen.push(crash);
        case.last = now;
        match news.alone {
            true => case.alone += 1,
            false => case.together += 1,
        }
    }

    /// Judges a request.
    #[must_use]
    pub fn admission(&self, digest: u64, now: Duration) -> Admission {
        match self.cases.get(&digest) {
            Some(case) if case.is_recent(now) => case.admission(),
            _ => Admission::Clear,
        }
    }

    /// Takes in that a suspect ran alone and finished, unless it is already refused.
    pub fn record_completion(&mut self, digest: u64) {
        let Some(case) = self.cases.get_mut(&digest) else { return };
        if case.admission() == Admission::Suspect {
            case.alone = 0;
            case.together = 0;
        }
    }

    /// Returns the number of requests remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Returns whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        self.cases.retain(|_, case| case.is_recent(now));
    }

    fn make_room(&mut self, digest: u64) {
        if self.cases.len() < DIGESTS_LIMIT || self.cases.contains_key(&digest) {
            return;
        }
        let oldest = self.cases.iter().min_by_key(|(_, case)| case.last).map(|(digest, _)| *digest);
        if let Some(oldest) = oldest {
            self.cases.swap_remove(&oldest);
        }
    }
}

impl Case {
    const fn admission(&self) -> Admission {
        match (self.alone, self.together) {
            (0, 0) => Admission::Clear,
            (alone, together) if alone > 0 && alone + together >= REFUSED_AFTER => {
                Admission::Refused
            }
            _ => Admission::Suspect,
        }
    }

    fn is_recent(&self, now: Duration) -> bool {
        now.saturating_sub(self.last) < MEMORY
    }
}
