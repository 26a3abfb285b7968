//! The history of runner crashes, which detects requests that crash every runner they reach.
//!
//! Load pattern: a caller retries one request at any router, and each attempt crashes a runner. Routers report to each
//! other how often the runner of a request has crashed. A request with too many crashes is refused, unless this router
//! has recently received an answer to it, because then other requests caused the crashes.

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

/// The number of crashes from which on a request is refused.
const REFUSAL_CRASHES: u32 = 3;
/// The time after which crashes and answers no longer count.
const RETENTION: Duration = Duration::from_secs(120);
/// The maximum number of recorded requests.
const MAX_REQUESTS: usize = 4_096;
/// The maximum number of requests in one report to other routers.
const MAX_REPORTED: usize = 32;

/// The crashes and answers of one request.
#[derive(Debug, Clone, Default)]
struct History {
    own: u32,
    peers: IndexMap<Name, u32>,
    last: Duration,
    answered: Option<Duration>,
}

/// The crashes of requests, by the digest of workspace and content.
#[derive(Debug, Clone, Default)]
pub struct CrashHistory {
    requests: IndexMap<u64, History>,
}

impl CrashHistory {
    /// Records that the runner of a request has crashed.
    pub fn record_crash(&mut self, now: Duration, digest: u64) {
        let request = self.request(now, digest);
        request.own += 1;
    }

    /// Records that a request was answered.
    pub fn record_answer(&mut self, now: Duration, digest: u64) {
        if let Some(request) = self.requests.get_mut(&digest) {
            request.answered = Some(now);
        }
    }

    /// Records the number of crashes that another router has seen.
    pub fn record_peer_crashes(&mut self, router: &Name, now: Duration, digest: u64, crashes: u32) {
        let request = self.request(now, digest);
        request.peers.insert(router.clone(), crashes);
    }

    /// Returns whether a request is refused.
    #[must_use]
    pub fn is_refused(&self, now: Duration, digest: u64) -> bool {
        self.requests.get(&digest).is_some_and(|request| {
            let was_answered = request.answered.is_some_and(|at| now < at + RETENTION);
            let crashes = request.own + request.peers.values().sum::<u32>();
            crashes >= REFUSAL_CRASHES && now < request.last + RETENTION && !was_answered
        })
    }

    /// Returns the requests with the most crashes at this router, for a report to other routers.
    #[must_use]
    pub fn own_crashes(&self, now: Duration) -> Vec<(u64, u32)> {
        let recent = self
            .requests
            .iter()
            .filter(|(_, request)| request.own > 0 && now < request.last + RETENTION);
        let mut own: Vec<(u64, u32)> =
            recent.map(|(digest, request)| (*digest, request.own)).collect();
        own.sort_unstable_by_key(|(digest, crashes)| (std::cmp::Reverse(*crashes), *digest));
        own.truncate(MAX_REPORTED);
        own
    }

    fn request(&mut self, now: Duration, digest: u64) -> &mut History {
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&digest) {
            self.requests.swap_remove_index(0);
        }
        let request = self.requests.entry(digest).or_default();
        request.last = now;
        request
    }
}
