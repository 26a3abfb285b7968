//! What members tell a dispatcher of the time before its term.

use std::time::Duration;

use base::Attempt;
use base::Cost;
use base::Name;
use wire::Resync;
use wire::Totals;

use crate::Dispatcher;
use crate::charge;
use crate::dispatcher::Running;
use crate::inbox::waiting;
use crate::timing::AUDIT_DELAY;

impl Dispatcher {
    pub(crate) fn resync(&mut self, from: &Name, resync: &Resync, now: Duration) {
        if resync.term != self.gather.term() || !self.gather.is_member(from) {
            return;
        }
        if resync.totals.is_some() || !resync.running.is_empty() {
            self.inherit();
        }
        if let Some(totals) = &resync.totals {
            self.merge_totals(totals);
        }
        self.drop_unlisted(from, resync, now);
        for running in &resync.running {
            self.adopt(from, running, now);
        }
        for enqueue in &resync.waiting {
            let attempt = Attempt { request: enqueue.request, number: enqueue.attempt };
            let granted = self.running.contains_key(&attempt);
            if !granted && self.replaces_earlier(enqueue) {
                self.push(waiting(from, enqueue, now), now);
            }
        }
        self.gather.hear(from, now);
    }

    /// Notes that an earlier dispatcher granted on these runners.
    fn inherit(&mut self) {
        if self.gather.inherited || self.gather.is_done() {
            return;
        }
        self.gather.inherited = true;
        for runner in self.runners.values_mut() {
            runner.doubt = true;
        }
    }

    /// Takes the larger of the own and the heard counter of each workspace.
    pub(crate) fn merge_totals(&mut self, totals: &Totals) {
        if totals.term == self.gather.term() {
            return;
        }
        self.inherit();
        let time = charge::virtual_time_name();
        for total in &totals.totals {
            if total.workspace == time {
                self.virtual_time = self.virtual_time.max(total.charge);
                continue;
            }
            self.ensure_workspace(&total.workspace);
            self.workspaces[&total.workspace].account.lift(total.charge);
        }
    }

    /// Counts a running request as its entry tells it.
    fn adopt(&mut self, from: &Name, told: &wire::Running, now: Duration) {
        let attempt = Attempt { request: told.request, number: told.attempt };
        if let Some(known) = self.running.get_mut(&attempt) {
            known.runner = told.runner.clone();
            self.used(attempt, told.used, now);
            return;
        }
        self.remove_waiting(attempt);
        self.ensure_workspace(&told.workspace);
        let workspace = &mut self.workspaces[&told.workspace];
        workspace.started();
        let account = &mut workspace.account;
        let counted = account.charge > Cost::ZERO;
        let entered = if counted {
            account.adopt(told.used)
        } else {
            account.enter(charge::Entered::default(), told.used)
        };
        let running = Running {
            entry: from.clone(),
            term: wire::Term::default(),
            workspace: told.workspace.clone(),
            class: told.class,
            runner: told.runner.clone(),
            granted: self.gather.since(),
            entered,
            alone: false,
            confirmed: Some(now),
            asked: now,
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

    /// Drops what the member held earlier and holds no longer.
    fn drop_unlisted(&mut self, from: &Name, resync: &Resync, now: Duration) {
        let term = self.gather.term();
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
            let silent = running.confirmed.unwrap_or(running.granted) + AUDIT_DELAY <= now;
            let gone = !listed(attempt) && (earlier || (silent && !waits(attempt)));
            running.entry == *from && gone
        };
        let gone: Vec<Attempt> =
            self.running.iter().filter(over).map(|(attempt, _)| *attempt).collect();
        for attempt in gone {
            self.close(attempt, None, now);
        }
        let since = self.gather.since();
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
