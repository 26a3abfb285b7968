//! The entry: the requests of a router's own callers, for all shards.

use std::collections::VecDeque;
use std::mem;
use std::time::Duration;

use base::Attempt;
use base::Class;
use base::Cost;
use base::Name;
use base::RequestId;
use base::Verdict;
use indexmap::IndexMap;
use wire::Cancel;
use wire::Done;
use wire::Enqueue;
use wire::Frame;
use wire::Grant;
use wire::Refuse;
use wire::Shard;
use wire::Term;
use wire::Totals;
use wire::Usage;

use crate::timing::ENQUEUE_RESEND;
use crate::timing::ENTRY_LEASE;
use crate::timing::MAX_POLL_INTERVAL;
use crate::timing::MAX_REPORT_PERIOD;
use crate::timing::MAX_TRANSIT;
use crate::timing::MIN_USAGE_INTERVAL;
use crate::timing::REFUSE_GRACE;
use crate::timing::TAKEOVER_GRACE;

/// Finished attempts kept to answer repeated grants.
const MAX_FINISHED: usize = 4_096;
/// Retry delay advised to a caller whose request no dispatcher has answered, in milliseconds.
const RETRY_AFTER_MS: u32 = 2_000;

/// An action of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a frame to a member, which may be this one.
    Send {
        /// The receiver.
        to: Name,
        /// The frame.
        frame: Frame,
    },
    /// A runner was granted to a submitted request.
    Granted(Grant),
    /// A submitted request was refused.
    Refused(Refuse),
}

/// The dispatcher of a shard, as an entry sees it.
#[derive(Debug, Default)]
pub(crate) struct Owner {
    pub(crate) name: Option<Name>,
    /// Whether the owner has asked for the state of this entry since it became owner, so that its
    /// grants count.
    pub(crate) synced: bool,
    /// The newest term received from each member.
    pub(crate) terms: IndexMap<Name, Term>,
    /// The announced term of a member that is not the owner yet.
    pub(crate) early_take_over: Option<(Name, Term)>,
    /// When waiting requests are sent to a new owner that has not asked for them.
    resend_due: Option<Duration>,
    /// The newest fairness counters received from a dispatcher.
    pub(crate) totals: Option<Totals>,
}

/// A submitted request that waits for a grant.
#[derive(Debug)]
pub(crate) struct Waiting {
    enqueue: Enqueue,
    submitted: Duration,
    deadline: Duration,
    pub(crate) resend_due: Duration,
}

/// A granted request.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) shard: Shard,
    pub(crate) attempt: u32,
    pub(crate) workspace: Name,
    pub(crate) class: Class,
    pub(crate) runner: Name,
    pub(crate) used: Cost,
    /// The work reported to the dispatcher.
    pub(crate) reported: Cost,
    /// When the next usage report is due.
    pub(crate) report_due: Duration,
    /// The time from the next report to the one after it.
    pub(crate) report_period: Duration,
}

/// The requests of a router's own callers.
#[derive(Debug)]
pub struct Entry {
    name: Name,
    pub(crate) owners: IndexMap<Shard, Owner>,
    pub(crate) waiting: IndexMap<RequestId, Waiting>,
    pub(crate) running: IndexMap<RequestId, Running>,
    pub(crate) finished: IndexMap<Attempt, Done>,
    finished_order: VecDeque<Attempt>,
    usage_due: Duration,
    /// The time of the last call.
    last_call: Option<Duration>,
    /// The time until which received frames may date from before a pause.
    pub(crate) stale_until: Duration,
    pub(crate) outbox: Vec<Action>,
}

impl Waiting {
    /// Returns the request as it is sent to a dispatcher now.
    pub(crate) fn enqueue(&self, now: Duration) -> Enqueue {
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        let waited = millis(now.saturating_sub(self.submitted));
        Enqueue {
            max_wait_ms: millis(self.deadline.saturating_sub(now)),
            waited_ms: self.enqueue.waited_ms.saturating_add(waited),
            ..self.enqueue.clone()
        }
    }

    pub(crate) const fn request(&self) -> &Enqueue {
        &self.enqueue
    }
}

impl Entry {
    /// Creates the entry of a router.
    #[must_use]
    pub fn new(me: Name) -> Self {
        Self {
            name: me,
            owners: IndexMap::new(),
            waiting: IndexMap::new(),
            running: IndexMap::new(),
            finished: IndexMap::new(),
            finished_order: VecDeque::new(),
            usage_due: Duration::ZERO,
            last_call: None,
            stale_until: Duration::ZERO,
            outbox: Vec::new(),
        }
    }

    /// Returns the name of the router.
    #[must_use]
    pub const fn name(&self) -> &Name {
        &self.name
    }

    /// Sets the member that this router considers the dispatcher of a shard.
    ///
    /// Grants of a new owner count once it has asked for the state of this entry. If it does not ask
    /// soon, the waiting requests are sent to it.
    pub fn set_owner(&mut self, shard: &Shard, owner: Option<Name>, now: Duration) {
        let known = self.owners.entry(shard.clone()).or_default();
        if known.name == owner {
            return;
        }
        known.name = owner;
        known.synced = false;
        known.resend_due = Some(now + TAKEOVER_GRACE);
        let early = known.early_take_over.take();
        if let Some((from, term)) = early {
            self.answer_take_over(&from, shard, term, now);
        }
    }

    /// Submits a request of a caller, which ends with exactly one grant or refusal unless cancelled.
    pub fn submit(&mut self, enqueue: Enqueue, now: Duration) {
        let deadline = now + Duration::from_millis(u64::from(enqueue.max_wait_ms));
        let request = enqueue.request;
        let resend_due = now + ENQUEUE_RESEND / 4;
        let waiting = Waiting { enqueue, submitted: now, deadline, resend_due };
        let frame = Frame::Enqueue(waiting.enqueue(now));
        let shard = waiting.enqueue.shard.clone();
        self.waiting.insert(request, waiting);
        self.send_to_owner(&shard, frame);
    }

    /// Cancels a waiting request.
    pub fn cancel(&mut self, request: RequestId, _now: Duration) {
        if let Some(waiting) = self.waiting.shift_remove(&request) {
            let shard = waiting.enqueue.shard;
            self.send_to_owner(&shard, Frame::Cancel(Cancel { shard: shard.clone(), request }));
        }
    }

    /// Moves waiting requests of shards that no longer exist; `to` returns the new shard of each.
    pub fn reshard(&mut self, to: impl Fn(&Shard) -> Shard, now: Duration) {
        let moved: Vec<(RequestId, Shard)> = self
            .waiting
            .iter()
            .map(|(request, waiting)| (*request, to(&waiting.enqueue.shard)))
            .filter(|(request, shard)| self.waiting[request].enqueue.shard != *shard)
            .collect();
        for (request, shard) in moved {
            self.move_waiting(request, &shard, now);
        }
    }

    /// Sends a waiting request to the dispatcher of another shard.
    pub(crate) fn move_waiting(&mut self, request: RequestId, to: &Shard, now: Duration) {
        let Some(waiting) = self.waiting.get_mut(&request) else { return };
        waiting.enqueue.shard = to.clone();
        waiting.resend_due = now + ENQUEUE_RESEND;
        let frame = Frame::Enqueue(waiting.enqueue(now));
        self.send_to_owner(to, frame);
    }

    /// Records the work used so far by the running attempt of a request.
    pub fn record_usage(&mut self, _shard: &Shard, request: RequestId, used: Cost, _now: Duration) {
        if let Some(running) = self.running.get_mut(&request) {
            running.used = running.used.max(used);
        }
    }

    /// Records the end of an attempt and reports it to the owner.
    pub fn record_end(&mut self, done: Done, _now: Duration) {
        let same = self.running.get(&done.request).is_some_and(|run| run.attempt == done.attempt);
        if !same {
            return;
        }
        self.running.swap_remove(&done.request);
        let attempt = Attempt { request: done.request, number: done.attempt };
        self.finished.insert(attempt, done.clone());
        self.finished_order.push_back(attempt);
        if self.finished_order.len() > MAX_FINISHED
            && let Some(oldest) = self.finished_order.pop_front()
        {
            self.finished.swap_remove(&oldest);
        }
        let shard = done.shard.clone();
        self.send_to_owner(&shard, Frame::Done(done));
    }

    /// Returns the actions that are due.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        self.renew_lease(now);
        self.refuse_expired(now);
        self.resend_to_new_owners(now);
        self.resend_waiting(now);
        self.report_usage(now);
        mem::take(&mut self.outbox)
    }

    /// Returns the time of the next poll, if one is needed.
    #[must_use]
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        let waiting = self
            .waiting
            .values()
            .flat_map(|waiting| [waiting.resend_due, waiting.deadline + REFUSE_GRACE]);
        let owners = self.owners.values().filter_map(|owner| owner.resend_due);
        let usage = (!self.running.is_empty()).then_some(self.usage_due);
        let lease = (!self.owners.is_empty()).then_some(now + MAX_POLL_INTERVAL);
        waiting.chain(owners).chain(usage).chain(lease).min().map(|wake| wake.max(now))
    }

    /// Rejects grants after a pause until the owner asks again, because a dispatcher that lost contact
    /// with this router meanwhile no longer counts them.
    pub(crate) fn renew_lease(&mut self, now: Duration) {
        let missed = self.last_call.is_some_and(|active| now > active + ENTRY_LEASE);
        self.last_call = Some(now);
        if !missed {
            return;
        }
        self.stale_until = now + MAX_TRANSIT;
        for owner in self.owners.values_mut() {
            owner.synced = false;
        }
    }

    /// Refuses requests that no dispatcher has answered in time.
    fn refuse_expired(&mut self, now: Duration) {
        let over = |waiting: &Waiting| now >= waiting.deadline + REFUSE_GRACE;
        let requests: Vec<RequestId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| over(waiting))
            .map(|(request, _)| *request)
            .collect();
        for request in requests {
            let Some(waiting) = self.waiting.shift_remove(&request) else { continue };
            let shard = waiting.enqueue.shard;
            let cancel = Cancel { shard: shard.clone(), request };
            self.send_to_owner(&shard, Frame::Cancel(cancel));
            self.outbox.push(Action::Refused(Refuse {
                shard,
                term: Term::default(),
                request,
                verdict: Verdict::NotRun,
                retry_after_ms: RETRY_AFTER_MS,
                queue_full: false,
            }));
        }
    }

    fn resend_to_new_owners(&mut self, now: Duration) {
        let mut due = Vec::new();
        for (shard, owner) in &mut self.owners {
            if owner.resend_due.is_some_and(|at| now >= at) {
                owner.resend_due = None;
                due.push(shard.clone());
            }
        }
        for waiting in self.waiting.values_mut() {
            if due.contains(&waiting.enqueue.shard) {
                waiting.resend_due = now;
            }
        }
    }

    fn resend_waiting(&mut self, now: Duration) {
        let mut frames = Vec::new();
        for waiting in self.waiting.values_mut().filter(|waiting| now >= waiting.resend_due) {
            waiting.resend_due = now + ENQUEUE_RESEND;
            frames.push(waiting.enqueue(now));
        }
        for enqueue in frames {
            let shard = enqueue.shard.clone();
            self.send_to_owner(&shard, Frame::Enqueue(enqueue));
        }
    }

    fn report_usage(&mut self, now: Duration) {
        if now < self.usage_due {
            return;
        }
        let mut batches: IndexMap<Shard, Vec<Usage>> = IndexMap::new();
        for (request, running) in &mut self.running {
            if now >= running.report_due {
                running.report_due = now + running.report_period;
                running.report_period = (running.report_period * 2).min(MAX_REPORT_PERIOD);
                running.reported = running.used;
                let shard = running.shard.clone();
                let usage = Usage { shard: shard.clone(), request: *request, used: running.used };
                batches.entry(shard).or_default().push(usage);
            }
        }
        if !self.running.is_empty() {
            self.usage_due = now + MIN_USAGE_INTERVAL;
        }
        for (shard, usages) in batches {
            self.send_to_owner(&shard, Frame::Usage(usages));
        }
    }

    pub(crate) fn mark_synced(&mut self, shard: &Shard) {
        if let Some(owner) = self.owners.get_mut(shard) {
            owner.resend_due = None;
            owner.synced = true;
        }
    }

    pub(crate) fn send(&mut self, to: &Name, frame: Frame) {
        self.outbox.push(Action::Send { to: to.clone(), frame });
    }

    fn send_to_owner(&mut self, shard: &Shard, frame: Frame) {
        let owner = self.owners.get(shard).and_then(|owner| owner.name.clone());
        if let Some(owner) = owner {
            self.send(&owner, frame);
        }
    }
}
