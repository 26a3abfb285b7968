//! Handles the frames that entries send to a dispatcher.

use std::time::Duration;

use base::Attempt;
use base::Class;
use base::EventKind;
use base::Name;
use wire::Cancel;
use wire::Enqueue;
use wire::Frame;

use crate::Dispatcher;
use crate::queue::Waiting;
use crate::workspace::Workspace;

impl Dispatcher {
    /// Handles a frame from a member; decisions follow at the next poll.
    pub fn handle_frame(&mut self, from: &Name, frame: &Frame, now: Duration) {
        match frame {
            Frame::Enqueue(enqueue) if enqueue.shard == self.shard => {
                self.enqueue(from, enqueue, now);
            }
            Frame::Cancel(cancel) if cancel.shard == self.shard => self.cancel(from, cancel),
            Frame::Usage(usages) => self.handle_usages(from, usages, now),
            Frame::Done(done) if done.shard == self.shard => self.handle_done(from, done, now),
            Frame::Resync(resync) if resync.shard == self.shard => self.resync(from, resync, now),
            Frame::Totals(totals) if totals.shard == self.shard => self.merge_totals(totals),
            Frame::Served(served) => self.handle_served(served, now),
            Frame::NotOwner(not_owner) if not_owner.shard == self.shard => {
                self.term_state.clear_answer(from, now);
            }
            _ => {}
        }
    }

    fn enqueue(&mut self, from: &Name, enqueue: &Enqueue, now: Duration) {
        if !self.term_state.is_member(from) || self.is_granted(from, enqueue, now) {
            return;
        }
        let waiting = waiting(from, enqueue, now);
        if !self.replace_earlier(enqueue) {
            return;
        }
        self.ensure_workspace(&enqueue.workspace);
        let queue = &self.workspaces[&enqueue.workspace].queue;
        let limit = self.workspaces[&enqueue.workspace].queue_limit;
        if queue.len() >= usize::try_from(limit).unwrap_or(usize::MAX) {
            self.refuse(&waiting, true, now);
            return;
        }
        let places = queue.ahead_of(enqueue.class) + 1;
        let wait = queue.expected_wait(places, now).unwrap_or_default();
        if !self.is_satisfiable(enqueue) || now + wait > waiting.deadline {
            self.refuse(&waiting, false, now);
            return;
        }
        self.log_request_event(EventKind::Queued, enqueue.request, &enqueue.workspace, None, "");
        self.push(waiting, now);
    }

    /// Adds a request to its queue, and raises the charge of a workspace that was idle to the smallest of the others'.
    pub(crate) fn push(&mut self, waiting: Waiting, now: Duration) {
        let name = waiting.enqueue.workspace.clone();
        self.ensure_workspace(&name);
        if waiting.enqueue.class == Class::Interactive {
            self.last_interactive = Some(now);
        }
        let floor = self.min_charge();
        let is_ready = self.term_state.reports_applied;
        self.waiting.insert(waiting.enqueue.request, name.clone());
        let workspace = &mut self.workspaces[&name];
        if is_ready && workspace.queue.is_empty() {
            workspace.account.raise_to(floor);
        }
        workspace.queue.push(waiting, now);
    }

    /// Returns whether the attempt is already granted, and resends its grant then.
    fn is_granted(&mut self, from: &Name, enqueue: &Enqueue, now: Duration) -> bool {
        let attempt = Attempt { request: enqueue.request, number: enqueue.attempt };
        let term = self.term_state.term();
        let Some(running) = self.running.get_mut(&attempt) else { return false };
        if running.term == term && running.entry == *from && running.last_inquiry < now {
            running.last_inquiry = now;
            let running = running.clone();
            self.send_grant(attempt, &running);
        }
        true
    }

    /// Removes an earlier waiting attempt of a request and returns whether the new one may wait.
    pub(crate) fn replace_earlier(&mut self, enqueue: &Enqueue) -> bool {
        let Some(name) = self.waiting.get(&enqueue.request) else { return true };
        let queue = &mut self.workspaces[name].queue;
        let known = queue.get(enqueue.request).map_or(0, |waiting| waiting.enqueue.attempt);
        if known >= enqueue.attempt {
            return false;
        }
        queue.remove(enqueue.request);
        self.waiting.swap_remove(&enqueue.request);
        true
    }

    fn cancel(&mut self, from: &Name, cancel: &Cancel) {
        let Some(name) = self.waiting.get(&cancel.request) else { return };
        let queue = &mut self.workspaces[name].queue;
        if queue.get(cancel.request).is_some_and(|waiting| waiting.entry == *from) {
            queue.remove(cancel.request);
            self.waiting.swap_remove(&cancel.request);
        }
    }

    pub(crate) fn ensure_workspace(&mut self, name: &Name) {
        if !self.workspaces.contains_key(name) {
            self.workspaces.insert(name.clone(), Workspace::unplanned());
        }
    }
}

/// Creates the record of a waiting request.
pub(crate) fn waiting(from: &Name, enqueue: &Enqueue, now: Duration) -> Waiting {
    Waiting {
        enqueue: enqueue.clone(),
        entry: from.clone(),
        arrived: now,
        waited_before: Duration::from_millis(u64::from(enqueue.waited_ms)),
        deadline: now + Duration::from_millis(u64::from(enqueue.max_wait_ms)),
    }
}
