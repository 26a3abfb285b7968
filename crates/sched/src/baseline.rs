//! The baseline for measurements: each router schedules on its own, by least outstanding requests.

use std::collections::VecDeque;
use std::mem;
use std::time::Duration;

use base::Attempt;
use base::Name;
use base::Verdict;
use indexmap::IndexMap;
use wire::Done;
use wire::Enqueue;
use wire::Grant;
use wire::Refuse;
use wire::Term;

use crate::EntryAction;
use crate::Plan;

/// Retry delay advised to a caller whose request timed out, in milliseconds.
const RETRY_AFTER_MS: u32 = 2_000;

/// A scheduler that only knows the requests that its own router has sent.
#[derive(Debug)]
pub struct Scheduler {
    plan: Plan,
    waiting: VecDeque<Waiting>,
    running: IndexMap<Attempt, Name>,
    outbox: Vec<EntryAction>,
}

#[derive(Debug)]
struct Waiting {
    enqueue: Enqueue,
    deadline: Duration,
}

impl Scheduler {
    /// Creates a scheduler for a plan.
    #[must_use]
    pub fn new(plan: Plan) -> Self {
        Self { plan, waiting: VecDeque::new(), running: IndexMap::new(), outbox: Vec::new() }
    }

    /// Returns the plan.
    #[must_use]
    pub const fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Adds a request of a caller to the queue.
    pub fn submit(&mut self, enqueue: Enqueue, now: Duration) {
        let deadline = now + Duration::from_millis(u64::from(enqueue.max_wait_ms));
        self.waiting.push_back(Waiting { enqueue, deadline });
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, done: &Done, _now: Duration) {
        self.running.swap_remove(&Attempt { request: done.request, number: done.attempt });
    }

    /// Grants or refuses waiting requests where possible and returns the actions.
    pub fn poll(&mut self, now: Duration) -> Vec<EntryAction> {
        for waiting in mem::take(&mut self.waiting) {
            match self.least_outstanding(&waiting.enqueue) {
                Some(runner) => self.grant(waiting.enqueue, runner),
                None if now >= waiting.deadline => self.refuse(waiting.enqueue),
                None => self.waiting.push_back(waiting),
            }
        }
        mem::take(&mut self.outbox)
    }

    /// Returns the time of the next poll, if any request waits.
    #[must_use]
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        self.waiting.iter().map(|waiting| waiting.deadline.max(now)).min()
    }

    fn least_outstanding(&self, enqueue: &Enqueue) -> Option<Name> {
        let sent = |name: &Name| self.running.values().filter(|runner| *runner == name).count();
        let usable = self.plan.runners.iter().filter(|runner| {
            let limit = usize::try_from(runner.warm_limit).unwrap_or(usize::MAX);
            !runner.out && !enqueue.avoid.contains(&runner.name) && sent(&runner.name) < limit
        });
        usable.min_by_key(|runner| sent(&runner.name)).map(|runner| runner.name.clone())
    }

    fn grant(&mut self, enqueue: Enqueue, runner: Name) {
        let attempt = Attempt { request: enqueue.request, number: enqueue.attempt };
        self.running.insert(attempt, runner.clone());
        self.outbox.push(EntryAction::Granted(Grant {
            shard: enqueue.shard,
            term: Term::default(),
            request: enqueue.request,
            attempt: enqueue.attempt,
            runner,
        }));
    }

    fn refuse(&mut self, enqueue: Enqueue) {
        self.outbox.push(EntryAction::Refused(Refuse {
            shard: enqueue.shard,
            term: Term::default(),
            request: enqueue.request,
            verdict: Verdict::NotRun,
            retry_after_ms: RETRY_AFTER_MS,
            queue_full: false,
        }));
    }
}
