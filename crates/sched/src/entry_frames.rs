//! Handles the frames that dispatchers send to an entry.

use std::time::Duration;

use base::Attempt;
use base::Cost;
use base::Name;
use wire::Done;
use wire::Frame;
use wire::Grant;
use wire::NotOwner;
use wire::Outcome;
use wire::Redirect;
use wire::Refuse;
use wire::Resync;
use wire::Shard;
use wire::Term;
use wire::Totals;

use crate::Entry;
use crate::entry::Action;
use crate::entry::Running;
use crate::entry::Waiting;
use crate::timing::ENQUEUE_RESEND;
use crate::timing::FIRST_REPORT;

impl Entry {
    /// Handles a frame from a member.
    pub fn handle_frame(&mut self, from: &Name, frame: &Frame, now: Duration) {
        self.renew_lease(now);
        match frame {
            Frame::Grant(grant) => self.grant(from, grant, now),
            Frame::Refuse(refuse) => self.refuse(from, refuse),
            Frame::Redirect(redirect) => self.redirect(from, redirect, now),
            Frame::TakeOver(take_over) => {
                self.answer_take_over(from, &take_over.shard, take_over.term, now);
            }
            Frame::Totals(totals) => self.store_totals(totals),
            Frame::NotOwner(not_owner) => self.not_owner(from, &not_owner.shard, now),
            _ => {}
        }
    }

    /// Answers a dispatcher that begins a term, if this router considers it the owner of the shard.
    pub(crate) fn answer_take_over(
        &mut self,
        from: &Name,
        shard: &Shard,
        term: Term,
        now: Duration,
    ) {
        let owner = self.owners.entry(shard.clone()).or_default();
        if owner.name.as_ref() != Some(from) {
            owner.early_take_over = Some((from.clone(), term));
            self.send(from, Frame::NotOwner(NotOwner { shard: shard.clone() }));
            return;
        }
        let newest = owner.terms.entry(from.clone()).or_default();
        if term < *newest || now < self.stale_until {
            return;
        }
        *newest = term;
        self.mark_synced(shard);
        let resync = self.resync(shard, term, now);
        self.send(from, Frame::Resync(resync));
    }

    fn resync(&mut self, shard: &Shard, term: Term, now: Duration) -> Resync {
        let mut waiting = Vec::new();
        for request in self.waiting.values_mut() {
            if request.request().shard == *shard {
                request.resend_due = now + ENQUEUE_RESEND;
                waiting.push(request.enqueue(now));
            }
        }
        let on_shard = self.running.iter().filter(|(_, running)| running.shard == *shard);
        let running = on_shard.map(|(request, running)| wire::Running {
            request: *request,
            attempt: running.attempt,
            workspace: running.workspace.clone(),
            class: running.class,
            runner: running.runner.clone(),
            // Usage that was not reported yet follows with the next usage report.
            used: running.reported,
        });
        let totals = self.owners.get(shard).and_then(|owner| owner.totals.clone());
        Resync { shard: shard.clone(), term, waiting, running: running.collect(), totals }
    }

    fn grant(&mut self, from: &Name, grant: &Grant, now: Duration) {
        let attempt = Attempt { request: grant.request, number: grant.attempt };
        if !self.is_current_owner(from, &grant.shard, grant.term) {
            self.decline(from, grant);
            self.send(from, Frame::NotOwner(NotOwner { shard: grant.shard.clone() }));
            return;
        }
        if let Some(done) = self.finished.get(&attempt) {
            let done = done.clone();
            self.send(from, Frame::Done(done));
            return;
        }
        let runs = self.running.get(&grant.request).filter(|run| run.attempt == grant.attempt);
        if runs.is_some_and(|run| run.runner == grant.runner) {
            return;
        }
        let waits = self.waiting.get(&grant.request).map(|waiting| waiting.request().attempt);
        if waits != Some(grant.attempt) {
            self.decline(from, grant);
            return;
        }
        let Some(waiting) = self.waiting.shift_remove(&grant.request) else { return };
        let enqueue = waiting.request();
        let running = Running {
            shard: grant.shard.clone(),
            attempt: grant.attempt,
            workspace: enqueue.workspace.clone(),
            class: enqueue.class,
            runner: grant.runner.clone(),
            used: Cost::ZERO,
            reported: Cost::ZERO,
            report_due: now + FIRST_REPORT,
            report_period: FIRST_REPORT * 2,
        };
        self.running.insert(grant.request, running);
        self.outbox.push(Action::Granted(grant.clone()));
    }

    /// Reports a grant to its dispatcher as unused.
    fn decline(&mut self, from: &Name, grant: &Grant) {
        let done = Done {
            shard: grant.shard.clone(),
            request: grant.request,
            attempt: grant.attempt,
            used: Cost::ZERO,
            outcome: Outcome::Unused,
            first_token_ms: None,
        };
        self.send(from, Frame::Done(done));
    }

    fn refuse(&mut self, from: &Name, refuse: &Refuse) {
        if self.is_current_owner(from, &refuse.shard, refuse.term)
            && self.waiting.shift_remove(&refuse.request).is_some()
        {
            self.outbox.push(Action::Refused(refuse.clone()));
        }
    }

    /// Moves a waiting request to another shard.
    fn redirect(&mut self, from: &Name, redirect: &Redirect, now: Duration) {
        if !self.is_current_owner(from, &redirect.shard, redirect.term) {
            return;
        }
        let to = Shard { index: redirect.to, ..redirect.shard.clone() };
        let waits_in_shard = |waiting: &Waiting| waiting.request().shard == redirect.shard;
        if self.waiting.get(&redirect.request).is_some_and(waits_in_shard) {
            self.move_waiting(redirect.request, &to, now);
        }
    }

    /// Returns whether a frame comes from the synchronised owner of a shard in its newest term.
    fn is_current_owner(&self, from: &Name, shard: &Shard, term: Term) -> bool {
        self.owners.get(shard).is_some_and(|owner| {
            let newest = owner.terms.get(from).copied().unwrap_or_default();
            owner.name.as_ref() == Some(from) && owner.synced && term >= newest
        })
    }

    fn store_totals(&mut self, totals: &Totals) {
        let owner = self.owners.entry(totals.shard.clone()).or_default();
        let key = |totals: &Totals| (totals.term, totals.sequence);
        if owner.totals.as_ref().is_none_or(|known| key(known) < key(totals)) {
            owner.totals = Some(totals.clone());
        }
    }

    /// Resends waiting requests earlier to an owner that did not know yet that it owns the shard.
    fn not_owner(&mut self, from: &Name, shard: &Shard, now: Duration) {
        let is_owner =
            self.owners.get(shard).is_some_and(|owner| owner.name.as_ref() == Some(from));
        if !is_owner {
            return;
        }
        for waiting in self.waiting.values_mut() {
            if waiting.request().shard == *shard {
                waiting.resend_due = waiting.resend_due.min(now + ENQUEUE_RESEND / 4);
            }
        }
    }
}
