//! The term of a dispatcher, the members that answered in it, and the lease that it must renew.

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
use crate::totals::LastTotals;

/// Whether a member has answered in this term.
#[derive(Debug, Clone, Copy)]
struct MemberReport {
    /// Answers before this time do not count.
    joined: Duration,
    answered: bool,
}

/// The term and the members that answered in it.
#[derive(Debug)]
pub(crate) struct TermState {
    term: Term,
    members: IndexMap<Name, MemberReport>,
    listed: usize,
    started: Duration,
    collected: bool,
    /// Whether the dispatcher has applied the collected reports.
    pub(crate) reports_applied: bool,
    last_inquiry: Option<Duration>,
    last_poll: Duration,
    expired: bool,
    /// Members that had answered at the last update.
    visible: usize,
    /// The time since which the other side of a partition may be granting too.
    partitioned_since: Option<Duration>,
    /// Whether an earlier dispatcher may have granted on the same runners.
    pub(crate) has_predecessor: bool,
}

impl TermState {
    pub(crate) fn new(term: Term, members: Vec<Name>, listed: usize, now: Duration) -> Self {
        let report = MemberReport { joined: now, answered: false };
        Self {
            term,
            members: members.into_iter().map(|member| (member, report)).collect(),
            listed,
            started: now,
            collected: false,
            reports_applied: false,
            last_inquiry: None,
            last_poll: now,
            expired: false,
            visible: 0,
            partitioned_since: None,
            has_predecessor: false,
        }
    }

    pub(crate) const fn term(&self) -> Term {
        self.term
    }

    pub(crate) const fn is_expired(&self) -> bool {
        self.expired
    }

    pub(crate) const fn is_collected(&self) -> bool {
        self.collected
    }

    pub(crate) const fn started(&self) -> Duration {
        self.started
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
        // An answer sent before the member returned does not cover the time of its absence.
        let joined = if self.collected { now + MAX_TRANSIT } else { now };
        for member in members {
            self.members.entry(member).or_insert(MemberReport { joined, answered: false });
        }
        self.update(now);
        lost
    }

    /// Records the answer of a member.
    pub(crate) fn record_answer(&mut self, member: &Name, now: Duration) {
        let Some(report) = self.members.get_mut(member) else { return };
        if now >= report.joined {
            report.answered = true;
        }
        self.update(now);
    }

    /// Discards the answer of a member that follows another dispatcher.
    pub(crate) fn clear_answer(&mut self, member: &Name, now: Duration) {
        let Some(report) = self.members.get_mut(member) else { return };
        *report = MemberReport { joined: now, answered: false };
        self.update(now);
    }

    /// Ends the collection when all members have answered or at the timeout, and then tracks losses.
    pub(crate) fn update(&mut self, now: Duration) {
        let visible = self.members.values().filter(|report| report.answered).count();
        let complete = visible >= self.listed.max(self.members.len());
        let all = visible == self.members.len();
        if !self.collected {
            self.visible = visible;
            self.collected = all || now >= self.started + GATHER_TIMEOUT;
            self.partitioned_since = (!complete).then_some(self.started);
            return;
        }
        let grew_to_majority = !self.is_majority(self.visible) && self.is_majority(visible);
        let continuing = self.partitioned_since.is_none() && self.is_majority(visible);
        if complete {
            self.partitioned_since = None;
        } else if visible != self.visible && (!continuing || grew_to_majority) {
            self.partitioned_since = Some(now);
        }
        self.visible = visible;
    }

    const fn is_majority(&self, visible: usize) -> bool {
        visible * 2 > self.listed
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.visible >= self.listed.max(self.members.len())
    }

    /// Returns the share of a limit that this side may use.
    pub(crate) fn share(&self, limit: u32) -> u32 {
        share(limit, self.visible, self.listed.max(self.members.len()))
    }

    /// Returns whether this is known to be the minority side of a partition.
    pub(crate) fn is_minority(&self, now: Duration) -> bool {
        let lasts =
            self.partitioned_since.is_some_and(|since| now >= since + MINORITY_REFUSE_DELAY);
        self.collected && lasts && !self.is_majority(self.visible)
    }

    /// Returns whether a runner may get grants in view of what other sides may have granted.
    fn may_grant(&self, runner: &Runner, kind: Kind, now: Duration) -> bool {
        let is_unreported = kind == Kind::Plain && runner.report.is_none();
        if self.has_predecessor && !is_unreported && !runner.reported_since(self.started) {
            return false;
        }
        let Some(since) = self.partitioned_since else { return true };
        let settled = since + PARTITION_SETTLE_TIME;
        now >= settled && (is_unreported || runner.reported_since(settled))
    }

    fn unanswered(&self) -> Vec<Name> {
        let missing = self.members.iter().filter(|(_, report)| !report.answered);
        missing.map(|(member, _)| member.clone()).collect()
    }
}

impl Dispatcher {
    /// Begins a new term after a missed lease and collects the state of the members again.
    pub fn begin_term(&mut self, term: Term) {
        let now = self.term_state.last_poll;
        let members = self.term_state.members().cloned().collect();
        let listed = self.term_state.listed;
        self.term_state = TermState::new(term, members, listed, now);
        self.term_state.has_predecessor = true;
        self.last_totals = LastTotals::default();
        for runner in self.runners.values_mut() {
            runner.has_unknown_work = true;
        }
        self.log_event(EventKind::Dispatcher, format!("term {term} begins after a pause"));
    }

    /// Renews the lease and returns whether it has held since the last poll.
    pub(crate) fn renew_lease(&mut self, now: Duration) -> bool {
        let missed = now.saturating_sub(self.term_state.last_poll) > LEASE;
        self.term_state.last_poll = now;
        if missed && !self.term_state.expired && self.term_state.last_inquiry.is_some() {
            log::warn!("sched: dispatcher of {} missed its lease", self.shard);
            self.term_state.expired = true;
        }
        !self.term_state.expired
    }

    /// Asks all members that have not answered in this term.
    pub(crate) fn ask_unanswered(&mut self, now: Duration) {
        let due = self.term_state.last_inquiry.is_none_or(|asked| now >= asked + ASK_PERIOD);
        if !due {
            return;
        }
        self.term_state.last_inquiry = Some(now);
        for member in self.term_state.unanswered() {
            self.ask(&member);
        }
    }

    pub(crate) fn ask(&mut self, member: &Name) {
        let take_over = TakeOver { shard: self.shard.clone(), term: self.term_state.term };
        self.send(member, Frame::TakeOver(take_over));
    }

    /// Returns whether a runner may get grants in view of what other sides may have granted.
    pub(crate) fn may_grant(&self, runner: &Runner, now: Duration) -> bool {
        self.term_state.may_grant(runner, self.kind, now)
    }

    /// Clears the mark of unknown work on a runner once a report shows only this dispatcher's requests.
    pub(crate) fn clear_unknown_work(&mut self, name: &Name, now: Duration) {
        if !self.term_state.collected || !self.term_state.is_complete() {
            return;
        }
        let counted = self.counted(name);
        let (kind, since) = (self.kind, self.term_state.started);
        let Some(runner) = self.runners.get_mut(name) else { return };
        if runner.reported_since(since) && runner.foreign(&counted, true, kind, now) == 0 {
            runner.has_unknown_work = false;
        }
    }

    /// Returns the grant times of the requests on a runner.
    pub(crate) fn counted(&self, runner: &Name) -> Vec<Duration> {
        let on_runner = self.running.values().filter(|running| running.runner == *runner);
        on_runner.map(|running| running.granted).collect()
    }
}
