//! Terms, the members heard in a term, and the lease that a dispatcher must keep.

use std::time::Duration;

use base::EventKind;
use base::Name;
use indexmap::IndexMap;
use wire::Frame;
use wire::TakeOver;
use wire::Term;

use crate::Dispatcher;
use crate::Kind;
use crate::limit::share;
use crate::runner::Runner;
use crate::timing::ASK_PERIOD;
use crate::timing::GATHER_TIMEOUT;
use crate::timing::LEASE;
use crate::timing::MAX_TRANSIT;
use crate::timing::MINORITY_REFUSE_DELAY;
use crate::timing::PARTITION_SETTLE_TIME;
use crate::totals::Copies;

/// What is known of a member in this term.
#[derive(Debug, Clone, Copy)]
struct Hearing {
    /// Answers before this time do not count.
    joined: Duration,
    heard: bool,
}

/// The term and the members heard in it.
#[derive(Debug)]
pub(crate) struct Gather {
    term: Term,
    members: IndexMap<Name, Hearing>,
    listed: usize,
    since: Duration,
    done: bool,
    /// Whether the dispatcher has acted on the end of the gathering.
    pub(crate) finished: bool,
    asked: Option<Duration>,
    polled: Duration,
    expired: bool,
    /// Members heard at the last look.
    visible: usize,
    /// Since when the other side of a partition may be granting too.
    paused: Option<Duration>,
    /// Whether an earlier dispatcher may have granted on the same runners.
    pub(crate) inherited: bool,
}

impl Gather {
    pub(crate) fn new(term: Term, members: Vec<Name>, listed: usize, now: Duration) -> Self {
        let hearing = Hearing { joined: now, heard: false };
        Self {
            term,
            members: members.into_iter().map(|member| (member, hearing)).collect(),
            listed,
            since: now,
            done: false,
            finished: false,
            asked: None,
            polled: now,
            expired: false,
            visible: 0,
            paused: None,
            inherited: false,
        }
    }

    pub(crate) const fn term(&self) -> Term {
        self.term
    }

    pub(crate) const fn is_expired(&self) -> bool {
        self.expired
    }

    pub(crate) const fn is_done(&self) -> bool {
        self.done
    }

    pub(crate) const fn since(&self) -> Duration {
        self.since
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &Name> {
        self.members.keys()
    }

    pub(crate) fn is_member(&self, member: &Name) -> bool {
        self.members.contains_key(member)
    }

    /// Replaces the members and returns the lost ones.
    pub(crate) fn replace_members(
        &mut self,
        members: Vec<Name>,
        listed: usize,
        now: Duration,
    ) -> Vec<Name> {
        self.listed = listed;
        let lost: Vec<Name> =
            self.members.keys().filter(|known| !members.contains(known)).cloned().collect();
        self.members.retain(|known, _| members.contains(known));
        // An answer that was on its way before the member came back says nothing of the time between.
        let joined = if self.done { now + MAX_TRANSIT } else { now };
        for member in members {
            self.members.entry(member).or_insert(Hearing { joined, heard: false });
        }
        self.review(now);
        lost
    }

    /// Counts the answer of a member.
    pub(crate) fn hear(&mut self, member: &Name, now: Duration) {
        let Some(hearing) = self.members.get_mut(member) else { return };
        if now >= hearing.joined {
            hearing.heard = true;
        }
        self.review(now);
    }

    /// Takes back the answer of a member that obeys another dispatcher.
    pub(crate) fn unhear(&mut self, member: &Name, now: Duration) {
        let Some(hearing) = self.members.get_mut(member) else { return };
        *hearing = Hearing { joined: now, heard: false };
        self.review(now);
    }

    /// Ends the gathering when all have answered or the time is over, and follows losses after it.
    pub(crate) fn review(&mut self, now: Duration) {
        let visible = self.members.values().filter(|hearing| hearing.heard).count();
        let complete = visible >= self.listed.max(self.members.len());
        let all = visible == self.members.len();
        if !self.done {
            self.visible = visible;
            self.done = all || now >= self.since + GATHER_TIMEOUT;
            self.paused = (!complete).then_some(self.since);
            return;
        }
        let grew_to_majority = !self.is_majority(self.visible) && self.is_majority(visible);
        let continuing = self.paused.is_none() && self.is_majority(visible);
        if complete {
            self.paused = None;
        } else if visible != self.visible && (!continuing || grew_to_majority) {
            self.paused = Some(now);
        }
        self.visible = visible;
    }

    const fn is_majority(&self, visible: usize) -> bool {
        visible * 2 > self.listed
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.visible >= self.listed.max(self.members.len())
    }

    /// Returns the part of a limit that this side may use.
    pub(crate) fn share(&self, limit: u32) -> u32 {
        share(limit, self.visible, self.listed.max(self.members.len()))
    }

    /// Returns whether this is surely the smaller side of a partition.
    pub(crate) fn is_cut_off(&self, now: Duration) -> bool {
        let lasts = self.paused.is_some_and(|paused| now >= paused + MINORITY_REFUSE_DELAY);
        self.done && lasts && !self.is_majority(self.visible)
    }

    /// Returns whether a runner may get grants in view of what other sides may have granted.
    fn permits(&self, runner: &Runner, kind: Kind, now: Duration) -> bool {
        let blind = kind == Kind::Plain && runner.report.is_none();
        if self.inherited && !blind && !runner.reported_since(self.since) {
            return false;
        }
        let Some(paused) = self.paused else { return true };
        let settled = paused + PARTITION_SETTLE_TIME;
        now >= settled && (blind || runner.reported_since(settled))
    }

    fn unheard(&self) -> Vec<Name> {
        let silent = self.members.iter().filter(|(_, hearing)| !hearing.heard);
        silent.map(|(member, _)| member.clone()).collect()
    }
}

impl Dispatcher {
    /// Begins a new term after a missed lease and gathers again.
    pub fn begin_term(&mut self, term: Term) {
        let now = self.gather.polled;
        let members = self.gather.members().cloned().collect();
        let listed = self.gather.listed;
        self.gather = Gather::new(term, members, listed, now);
        self.gather.inherited = true;
        self.copies = Copies::default();
        for runner in self.runners.values_mut() {
            runner.doubt = true;
        }
        self.note(EventKind::Dispatcher, format!("term {term} begins after a pause"));
    }

    /// Returns whether the lease was kept since the last poll, and keeps it.
    pub(crate) fn keep_lease(&mut self, now: Duration) -> bool {
        let missed = now.saturating_sub(self.gather.polled) > LEASE;
        self.gather.polled = now;
        if missed && !self.gather.expired && self.gather.asked.is_some() {
            log::warn!("sched: dispatcher of {} missed its lease", self.shard);
            self.gather.expired = true;
        }
        !self.gather.expired
    }

    /// Asks all members that have not answered in this term.
    pub(crate) fn ask_unheard(&mut self, now: Duration) {
        let due = self.gather.asked.is_none_or(|asked| now >= asked + ASK_PERIOD);
        if !due {
            return;
        }
        self.gather.asked = Some(now);
        for member in self.gather.unheard() {
            self.ask(&member);
        }
    }

    pub(crate) fn ask(&mut self, member: &Name) {
        let take_over = TakeOver { shard: self.shard.clone(), term: self.gather.term };
        self.send(member, Frame::TakeOver(take_over));
    }

    /// Returns whether a runner may get grants in view of what other sides may have granted.
    pub(crate) fn permits(&self, runner: &Runner, now: Duration) -> bool {
        self.gather.permits(runner, self.kind, now)
    }

    /// Forgets the doubt on a runner once a report shows none but this dispatcher's own work.
    pub(crate) fn clear_doubt(&mut self, name: &Name, now: Duration) {
        if !self.gather.done || !self.gather.is_complete() {
            return;
        }
        let counted = self.counted(name);
        let (kind, since) = (self.kind, self.gather.since);
        let Some(runner) = self.runners.get_mut(name) else { return };
        if runner.reported_since(since) && runner.foreign(&counted, true, kind, now) == 0 {
            runner.doubt = false;
        }
    }

    /// Returns when each request on a runner was granted.
    pub(crate) fn counted(&self, runner: &Name) -> Vec<Duration> {
        let on_runner = self.running.values().filter(|running| running.runner == *runner);
        on_runner.map(|running| running.granted).collect()
    }
}
