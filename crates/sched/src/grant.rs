//! The decisions of a dispatcher: grants in fair order, refusals and repeated frames.

use std::mem;
use std::time::Duration;

use base::Attempt;
use base::Cost;
use base::EventKind;
use base::Name;
use base::RequestId;
use base::Verdict;
use wire::Frame;
use wire::Grant;
use wire::Refuse;

use crate::Action;
use crate::Dispatcher;
use crate::EventRecord;
use crate::charge;
use crate::dispatcher::Reservation;
use crate::dispatcher::Running;
use crate::meter;
use crate::queue::Waiting;
use crate::slots::Slots;
use crate::timing::AUDIT_DELAY;
use crate::timing::GRANT_RESEND;

/// A request and the runner chosen for it.
struct Choice {
    request: RequestId,
    runner: Name,
}

impl Dispatcher {
    /// Grants and refuses waiting requests where possible and returns the actions.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        if !self.renew_lease(now) {
            return mem::take(&mut self.outbox);
        }
        self.term_state.update(now);
        self.ask_unanswered(now);
        if !self.term_state.reports_applied && self.term_state.is_collected() {
            self.apply_member_reports();
        }
        self.update_runners(now);
        self.refuse_overdue(now, |deadline| deadline < now);
        if self.term_state.is_collected() {
            self.grant_all(now);
            self.redirect_to_siblings(now);
            self.refuse_in_minority(now);
            self.resend_grants(now);
            self.send_totals(now);
        }
        self.refuse_overdue(now, |deadline| deadline <= now);
        self.measure(now);
        mem::take(&mut self.outbox)
    }

    fn grant_all(&mut self, now: Duration) {
        self.reserve_for_alone(now);
        loop {
            let slots = self.slots(now);
            if slots.iter().all(|slots| slots.free == 0) || !self.grant_next(&slots, now) {
                return;
            }
        }
    }

    /// Grants the next request in fair order that fits a slot, and returns whether there was one.
    fn grant_next(&mut self, slots: &[Slots], now: Duration) -> bool {
        let order = self.fair_order();
        for (place, workspace) in order.iter().enumerate() {
            let Some(choice) = self.first_fitting(workspace, slots, now) else { continue };
            self.limit_credit(&order[..place], workspace);
            self.grant(workspace, &choice, now);
            return true;
        }
        false
    }

    /// Returns the backlogged workspaces by ascending charge.
    pub(crate) fn fair_order(&self) -> Vec<Name> {
        let backlogged = self.workspaces.iter().filter(|(_, known)| !known.queue.is_empty());
        let mut order: Vec<(Cost, &Name)> =
            backlogged.map(|(name, known)| (known.account.charge, name)).collect();
        order.sort();
        order.into_iter().map(|(_, name)| name.clone()).collect()
    }

    fn first_fitting(&self, workspace: &Name, slots: &[Slots], now: Duration) -> Option<Choice> {
        self.workspaces[workspace].queue.in_turn(now).find_map(|waiting| {
            let runner = self.choose(waiting, slots)?;
            Some(Choice { request: waiting.enqueue.request, runner })
        })
    }

    /// Limits the credit of workspaces that no free slot fits, so that the gap stays within its bound.
    fn limit_credit(&mut self, passed_over: &[Name], granted: &Name) {
        if passed_over.is_empty() {
            return;
        }
        let accounts = self.workspaces.values().map(|known| &known.account);
        let credit = charge::credit(accounts);
        let floor = self.workspaces[granted].account.charge.saturating_sub(credit);
        for name in passed_over {
            self.workspaces[name].account.raise_to(floor);
        }
    }

    fn grant(&mut self, name: &Name, choice: &Choice, now: Duration) {
        self.virtual_time = self.virtual_time.max(self.min_charge());
        self.waiting.swap_remove(&choice.request);
        let workspace = &mut self.workspaces[name];
        let Some(waiting) = workspace.queue.take(choice.request, now) else { return };
        let enqueue = waiting.enqueue;
        workspace.granted += 1;
        workspace.record_start();
        let estimate = workspace.account.estimate(enqueue.class, enqueue.hint);
        let charged = workspace.account.update_cost(charge::ChargedCost::default(), estimate);
        self.runners[&choice.runner].record_prefix(enqueue.prefix);
        let attempt = Attempt { request: enqueue.request, number: enqueue.attempt };
        let running = Running {
            entry: waiting.entry,
            term: self.term_state.term(),
            workspace: name.clone(),
            class: enqueue.class,
            runner: choice.runner.clone(),
            granted: now,
            charged,
            alone: enqueue.alone,
            last_contact: None,
            last_inquiry: now,
        };
        self.send_grant(attempt, &running);
        self.log_request_event(
            EventKind::Granted,
            attempt.request,
            name,
            Some(&running.runner),
            "",
        );
        self.running.insert(attempt, running);
    }

    /// Sends the grant of a request; it may be sent repeatedly.
    pub(crate) fn send_grant(&mut self, attempt: Attempt, running: &Running) {
        let grant = Grant {
            shard: self.shard.clone(),
            term: running.term,
            request: attempt.request,
            attempt: attempt.number,
            runner: running.runner.clone(),
        };
        self.send(&running.entry, Frame::Grant(grant));
    }

    /// Reserves the least occupied runner for the first request that must run alone.
    fn reserve_for_alone(&mut self, now: Duration) {
        let waiting = &self.waiting;
        self.reservation =
            self.reservation.take().filter(|reserved| waiting.contains_key(&reserved.request));
        if let Some(reserved) = &self.reservation {
            let usable =
                self.runners.get(&reserved.runner).is_some_and(|runner| runner.limit() > 0);
            if usable {
                return;
            }
        }
        let order = self.fair_order();
        let mut all = order.iter().flat_map(|name| self.workspaces[name].queue.in_turn(now));
        let Some(alone) = all.find(|waiting| waiting.enqueue.alone) else {
            self.reservation = None;
            return;
        };
        let slots = self.slots(now);
        let allowed = slots
            .iter()
            .filter(|slots| slots.limit > 0 && !alone.enqueue.avoid.contains(&slots.runner));
        let least = allowed.min_by_key(|slots| slots.occupied);
        let request = alone.enqueue.request;
        self.reservation = least.map(|slots| Reservation { request, runner: slots.runner.clone() });
    }

    fn refuse_overdue(&mut self, now: Duration, is_over: impl Fn(Duration) -> bool) {
        let mut overdue = Vec::new();
        for queue in self.workspaces.values_mut().map(|workspace| &mut workspace.queue) {
            if queue.iter().any(|waiting| is_over(waiting.deadline)) {
                overdue.extend(queue.extract(|waiting| is_over(waiting.deadline)));
            }
        }
        for waiting in overdue {
            self.waiting.swap_remove(&waiting.enqueue.request);
            self.refuse(&waiting, false, now);
        }
    }

    /// Refuses all waiting requests on a side of a partition whose share of every limit is zero.
    fn refuse_in_minority(&mut self, now: Duration) {
        let must_refuse = self.term_state.is_minority(now)
            && !self.waiting.is_empty()
            && self.slots(now).iter().all(|slots| slots.limit == 0);
        if must_refuse {
            self.refuse_overdue(now, |_| true);
        }
    }

    /// Refuses a request that was removed from its queue or never entered it.
    pub(crate) fn refuse(&mut self, waiting: &Waiting, queue_full: bool, now: Duration) {
        let enqueue = &waiting.enqueue;
        let Some(workspace) = self.workspaces.get_mut(&enqueue.workspace) else { return };
        workspace.refused += 1;
        let retry_after = workspace.queue.retry_after(now);
        let refuse = Refuse {
            shard: self.shard.clone(),
            term: self.term_state.term(),
            request: enqueue.request,
            verdict: Verdict::NotRun,
            retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
            queue_full,
        };
        self.send(&waiting.entry, Frame::Refuse(refuse));
        let why = if queue_full { "queue is full" } else { "no runner in time" };
        self.log_request_event(EventKind::Refused, enqueue.request, &enqueue.workspace, None, why);
    }

    /// Resends unconfirmed grants and asks entries about requests that were not reported for long.
    fn resend_grants(&mut self, now: Duration) {
        let term = self.term_state.term();
        let mut grants = Vec::new();
        let mut unresponsive = Vec::new();
        for (attempt, running) in &mut self.running {
            let fresh = running.last_contact.is_none() && running.term == term;
            let last_seen = running.last_contact.unwrap_or_default().max(running.last_inquiry);
            if fresh && now >= running.last_inquiry + GRANT_RESEND {
                running.last_inquiry = now;
                grants.push((*attempt, running.clone()));
            } else if !fresh && now >= last_seen + AUDIT_DELAY {
                running.last_inquiry = now;
                unresponsive.push(running.entry.clone());
            }
        }
        for (attempt, running) in grants {
            self.send_grant(attempt, &running);
        }
        unresponsive.sort();
        unresponsive.dedup();
        for entry in unresponsive {
            self.ask(&entry);
        }
    }

    fn measure(&mut self, now: Duration) {
        let slots = self.slots(now);
        if self.term_state.is_collected() {
            self.publish_to_siblings(&slots, now);
        }
        let backlogged = !self.waiting.is_empty();
        let used = slots.iter().map(|slots| slots.occupied.min(slots.limit)).sum();
        let usable = slots.iter().map(|slots| slots.limit).sum();
        let closed: u32 = slots.iter().map(|slots| slots.free - slots.free_for_long).sum();
        let idle = if backlogged { closed } else { 0 };
        self.idle_allowance.advance(idle, if backlogged { usable } else { 0 }, now);
        self.meter.advance(meter::SlotUsage { used, usable, backlogged }, now);
        if self.term_state.is_collected() {
            self.meter.observe_gap(self.gap());
        }
    }

    /// Returns the difference between the largest and the smallest charge of backlogged workspaces.
    pub(crate) fn gap(&self) -> Cost {
        let order = self.fair_order();
        let charge = |name: Option<&Name>| name.map(|name| self.workspaces[name].account.charge);
        let (smallest, largest) = (charge(order.first()), charge(order.last()));
        largest.unwrap_or_default().saturating_sub(smallest.unwrap_or_default())
    }

    /// Returns the bound on the gap.
    pub(crate) fn bound(&self) -> Cost {
        let accounts = self.workspaces.values().map(|workspace| &workspace.account);
        let inherited = self.inherited_charge.saturating_sub(self.min_charge());
        charge::bound(accounts) + inherited + self.unreported_gap()
    }

    /// Returns the smallest charge of a backlogged workspace, or the virtual time if there is none.
    pub(crate) fn min_charge(&self) -> Cost {
        let backlogged = self.workspaces.values().filter(|workspace| !workspace.queue.is_empty());
        backlogged.map(|workspace| workspace.account.charge).min().unwrap_or(self.virtual_time)
    }

    /// Applies the collected counters: raises workspaces without history to the virtual time.
    fn apply_member_reports(&mut self) {
        self.term_state.reports_applied = true;
        let floor = self.virtual_time;
        for workspace in self.workspaces.values_mut().filter(|known| !known.queue.is_empty()) {
            workspace.account.raise_to(floor);
        }
        let charges = self.workspaces.values().map(|known| known.account.charge);
        self.inherited_charge = charges.max().unwrap_or_default();
        log::info!("sched: dispatcher of {} has collected the state of its members", self.shard);
    }

    pub(crate) fn log_request_event(
        &mut self,
        kind: EventKind,
        request: RequestId,
        workspace: &Name,
        runner: Option<&Name>,
        detail: &str,
    ) {
        let event = EventRecord {
            kind,
            request: Some(request),
            workspace: Some(workspace.clone()),
            runner: runner.cloned(),
            detail: detail.to_owned(),
        };
        self.outbox.push(Action::Event(event));
    }
}
