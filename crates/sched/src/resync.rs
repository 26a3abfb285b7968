//! Handles the state that members report to a dispatcher at the start of its term.

use std::time::Duration;

use base::Attempt;
use base::Cost;
use base::Name;
use wire::Resync;
use wire::Totals;

use crate::Dispatcher;
use crate::charge;
use crate::dispatcher::Running;
use crate::dispatcher_frames::waiting;
use crate::timing::AUDIT_DELAY;

impl Dispatcher {
    pub(crate) fn resync(&mut self, from: &Name, resync: &Resync, now: Duration) {
        if resync.term != self.term_state.term() || !self.term_state.is_member(from) {
            return;
        }
        if resync.totals.is_some() || !resync.running.is_empty() {
            self.record_predecessor();
        }
        if let Some(totals) = &resync.totals {
            self.merge_totals(totals);
        }
        self.remove_unreported(from, resync, now);
        for running in &resync.running {
            self.adopt_running(from, running, now);
        }
        for enqueue in &resync.waiting {
            let attempt = Attempt { request: enqueue.request, number: enqueue.attempt };
            let granted = self.running.contains_key(&attempt);
            if !granted && self.replace_earlier(enqueue) {
                self.push(waiting(from, enqueue, now), now);
            }
        }
        self.term_state.record_answer(from, now);
    }

    /// Records that an earlier dispatcher granted requests on these runners.
    fn record_predecessor(&mut self) {
        if self.term_state.has_predecessor || self.term_state.is_collected() {
            return;
        }
        self.term_state.has_predecessor = true;
        for runner in self.runners.values_mut() {
            runner.has_unknown_work = true;
        }
    }

    /// Raises the counter of each workspace to the received one.
    pub(crate) fn merge_totals(&mut self, totals: &Totals) {
        if totals.term == self.term_state.term() {
            return;
        }
        self.record_predecessor();
        let time = charge::virtual_time_key();
        for total in &totals.totals {
            if total.workspace == time {
                self.virtual_time = self.virtual_time.max(total.charge);
                continue;
            }
            self.ensure_workspace(&total.workspace);
            self.workspaces[&total.workspace].account.raise_to(total.charge);
        }
    }

    /// Adds a running request as its entry reports it.
    fn adopt_running(&mut self, from: &Name, reported: &wire::Running, now: Duration) {
        let attempt = Attempt { request: reported.request, number: reported.attempt };
        if let Some(known) = self.running.get_mut(&attempt) {
            known.runner = reported.runner.clone();
            self.record_usage(attempt, reported.used, now);
            return;
        }
        self.remove_waiting(attempt);
        self.ensure_workspace(&reported.workspace);
        let workspace = &mut self.workspaces[&reported.workspace];
        workspace.record_start();
        let account = &mut workspace.account;
        let counted = account.charge > Cost::ZERO;
        let charged = if counted {
            account.already_charged(reported.used)
        } else {
            account.update_cost(charge::ChargedCost::default(), reported.used)
        };
        let running = Running {
            entry: from.clone(),
            term: wire::Term::default(),
            workspace: reported.workspace.clone(),
            class: reported.class,
            runner: reported.runner.clone(),
            granted: self.term_state.started(),
            charged,
            alone: false,
            last_contact: Some(now),
            last_inquiry: now,
        };
        self.running.insert(attempt, running);
    }

    fn remove_waiting(&mut self, attempt: Attempt) {
        let Some(name) = self.waiting.get(&attempt.request) else { return };
        let queue = &mut self.workspaces[name].queue;
        let same = queue
            .get(attempt.request)
            .is_some_and(|waiting| waiting.enqueue.attempt <= attempt.number);
        if same {
            queue.remove(attempt.request);
            self.waiting.swap_remove(&attempt.request);
        }
    }

    /// Removes requests that the member held earlier and no longer reports.
    fn remove_unreported(&mut self, from: &Name, resync: &Resync, now: Duration) {
        let term = self.term_state.term();
        let listed = |attempt: &Attempt| {
            resync.running.iter().any(|running| {
                running.request == attempt.request && running.attempt == attempt.number
            })
        };
        let waits = |attempt: &Attempt| {
            resync.waiting.iter().any(|enqueue| {
                enqueue.request == attempt.request && enqueue.attempt == attempt.number
            })
        };
        let over = |(attempt, running): &(&Attempt, &Running)| {
            let earlier = running.term != term;
            let expired = running.last_contact.unwrap_or(running.granted) + AUDIT_DELAY <= now;
            let gone = !listed(attempt) && (earlier || (expired && !waits(attempt)));
            running.entry == *from && gone
        };
        let gone: Vec<Attempt> =
            self.running.iter().filter(over).map(|(attempt, _)| *attempt).collect();
        for attempt in gone {
            self.end_request(attempt, None, now);
        }
        let since = self.term_state.started();
        for workspace in self.workspaces.values_mut() {
            let withdrawn = workspace.queue.extract(|waiting| {
                let request = waiting.enqueue.request;
                let named = resync.waiting.iter().any(|enqueue| enqueue.request == request);
                waiting.entry == *from && waiting.arrived < since && !named
            });
            for waiting in withdrawn {
                self.waiting.swap_remove(&waiting.enqueue.request);
            }
        }
    }
}
