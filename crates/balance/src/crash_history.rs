//! Requests that crash each runner that begins to run them.
//!
//! Load pattern: one request, sent again by its caller to any router, takes a runner down each time. Routers tell each
//! other how often a request's runner has crashed; a request with too many crashes is refused, unless it was answered
//! here lately, since then other requests took the runners down.

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

/// Crashes from which on a request is refused.
const CRASHES: u32 = 3;
/// For how long a crash or an answer counts.
const MEMORY: Duration = Duration::from_secs(120);
/// The number of requests that are remembered.
const REQUESTS: usize = 4_096;
/// Requests that routers tell each other of at once.
const TOLD: usize = 32;

/// What is known of a request.
#[derive(Debug, Clone, Default)]
struct Case {
    own: u32,
    peers: IndexMap<Name, u32>,
    last: Duration,
    answered: Option<Duration>,
}

/// Crashes by the digest of a request's workspace and content.
#[derive(Debug, Clone, Default)]
pub struct CrashHistory {
    cases: IndexMap<u64, Case>,
}

impl CrashHistory {
    /// Takes in that the runner of a request has crashed.
    pub fn record_crash(&mut self, now: Duration, digest: u64) {
        let case = self.case(now, digest);
        case.own += 1;
    }

    /// Takes in that a request was answered.
    pub fn record_answer(&mut self, now: Duration, digest: u64) {
        if let Some(case) = self.cases.get_mut(&digest) {
            case.answered = Some(now);
        }
    }

    /// Takes in how many crashes another router has seen.
    pub fn record_peer_crashes(&mut self, router: &Name, now: Duration, digest: u64, crashes: u32) {
        let case = self.case(now, digest);
        case.peers.insert(router.clone(), crashes);
    }

    /// Returns whether a request is refused.
    #[must_use]
    pub fn is_refused(&self, now: Duration, digest: u64) -> bool {
        self.cases.get(&digest).is_some_and(|case| {
            let was_answered = case.answered.is_some_and(|at| now < at + MEMORY);
            let crashes = case.own + case.peers.values().sum::<u32>();
            crashes >= CRASHES && now < case.last + MEMORY && !was_answered
        })
    }

    /// Returns the requests with most crashes at this router.
    #[must_use]
    pub fn own_crashes(&self, now: Duration) -> Vec<(u64, u32)> {
        let recent = self.cases.iter().filter(|(_, case)| case.own > 0 && now < case.last + MEMORY);
        let mut own: Vec<(u64, u32)> = recent.map(|(digest, case)| (*digest, case.own)).collect();
        own.sort_unstable_by_key(|(digest, crashes)| (std::cmp::Reverse(*crashes), *digest));
        own.truncate(TOLD);
        own
    }

    fn case(&mut self, now: Duration, digest: u64) -> &mut Case {
        if self.cases.len() >= REQUESTS && !self.cases.contains_key(&digest) {
            self.cases.swap_remove_index(0);
        }
        let case = self.cases.entry(digest).or_default();
        case.last = now;
        case
    }
}
