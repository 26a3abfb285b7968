//! Frames between the entry and dispatchers of this router and those of other routers.

use base::Event;
use base::Name;
use front::Decision;
use indexmap::IndexMap;
use sched::Action;
use sched::EntryAction;
use sched::EventRecord;
use wire::Done;
use wire::Frame;
use wire::Grant;
use wire::NotOwner;
use wire::Refuse;
use wire::Shard;
use wire::Term;

use super::Control;

/// Maximum number of delivery rounds between this router's entry and its dispatchers in [`Control::process_due`].
const MAX_DELIVERY_ROUNDS: usize = 16;

impl Control {
    /// Makes all due decisions and delivers the resulting frames.
    pub(super) fn process_due(&mut self) {
        self.expire_pending_configs();
        self.expire_orders();
        self.request_newer_config();
        self.republish();
        self.report_usage();
        if self.baseline.is_some() {
            self.process_baseline();
            return;
        }
        for _ in 0..MAX_DELIVERY_ROUNDS {
            let sent = self.poll_dispatchers() + self.poll_entry();
            if sent == 0 {
                break;
            }
        }
        self.poll_leases();
    }

    /// Handles a frame from another router.
    pub(super) fn handle_frame(&mut self, from: &Name, frame: &Frame) {
        match frame {
            Frame::ConfigPull { version } => self.handle_config_pull(from, *version),
            Frame::ConfigPush(content) => self.handle_config_push(content),
            Frame::PlacementOrder(order) => self.handle_placement_order(from, order),
            Frame::PlacementAck(order) => self.confirm_order(order),
            Frame::Crash(crash) => {
                let now = self.now();
                self.with_crashes(|crashes| crashes.record_crash(crash, now));
            }
            _ => self.deliver(from, frame),
        }
    }

    fn deliver(&mut self, from: &Name, frame: &Frame) {
        let now = self.now();
        match frame {
            Frame::Grant(_) | Frame::Refuse(_) | Frame::TakeOver(_) | Frame::Redirect(_) => {
                self.entry.handle_frame(from, frame, now);
            }
            Frame::NotOwner(not_owner) => {
                self.entry.handle_frame(from, frame, now);
                if let Some(dispatcher) = self.dispatchers.get_mut(&not_owner.shard) {
                    dispatcher.handle_frame(from, frame, now);
                }
            }
            Frame::Totals(totals) => {
                self.entry.handle_frame(from, frame, now);
                if let Some(dispatcher) = self.dispatchers.get_mut(&totals.shard) {
                    dispatcher.handle_frame(from, frame, now);
                }
            }
            Frame::Served(_) => {
                for dispatcher in self.dispatchers.values_mut() {
                    dispatcher.handle_frame(from, frame, now);
                }
            }
            Frame::Usage(usages) => self.deliver_usage(from, usages),
            Frame::Enqueue(enqueue) => self.deliver_to(from, &enqueue.shard, frame),
            Frame::Cancel(cancel) => self.deliver_to(from, &cancel.shard, frame),
            Frame::Done(done) => self.deliver_to(from, &done.shard, frame),
            Frame::Resync(resync) => self.deliver_to(from, &resync.shard, frame),
            Frame::ConfigPull { .. }
            | Frame::ConfigPush(_)
            | Frame::PlacementOrder(_)
            | Frame::PlacementAck(_)
            | Frame::Crash(_) => (),
        }
    }

    fn deliver_to(&mut self, from: &Name, shard: &Shard, frame: &Frame) {
        let now = self.now();
        match self.dispatchers.get_mut(shard) {
            Some(dispatcher) => dispatcher.handle_frame(from, frame, now),
            None => {
                let answer = Frame::NotOwner(NotOwner { shard: shard.clone() });
                self.send(from, answer);
            }
        }
    }

    fn deliver_usage(&mut self, from: &Name, usages: &[wire::Usage]) {
        let now = self.now();
        for usage in usages {
            if let Some(dispatcher) = self.dispatchers.get_mut(&usage.shard) {
                dispatcher.handle_frame(from, &Frame::Usage(vec![usage.clone()]), now);
            }
        }
    }

    fn send(&mut self, to: &Name, frame: Frame) {
        if *to == self.me {
            let me = self.me.clone();
            self.deliver(&me, &frame);
        } else {
            self.mesh.send(to, frame);
        }
    }

    fn poll_dispatchers(&mut self) -> usize {
        let now = self.now();
        let mut actions = Vec::new();
        for dispatcher in self.dispatchers.values_mut() {
            if dispatcher.needs_term() {
                dispatcher.begin_term(Term(self.shared.clock.now()));
            }
            actions.extend(dispatcher.poll(now));
        }
        let count = actions.len();
        for action in actions {
            match action {
                Action::Send { to, frame } => self.send(&to, frame),
                Action::Event(event) => self.record_dispatcher_event(event),
            }
        }
        count
    }

    fn poll_entry(&mut self) -> usize {
        let now = self.now();
        let actions = self.entry.poll(now);
        let count = actions.len();
        for action in actions {
            self.execute_entry_action(action);
        }
        count
    }

    fn execute_entry_action(&mut self, action: EntryAction) {
        match action {
            EntryAction::Send { to, frame } => self.send(&to, frame),
            EntryAction::Granted(grant) => self.handle_grant(grant),
            EntryAction::Refused(refuse) => self.handle_refusal(refuse),
        }
    }

    fn handle_grant(&mut self, grant: Grant) {
        let Some(waiting) = self.waiting.swap_remove(&grant.request) else {
            self.release_unused(&grant);
            return;
        };
        self.usage.track(grant.request, grant.shard.clone(), waiting.used);
        if let Err(Decision::Granted(grant)) = waiting.reply.send(Decision::Granted(grant)) {
            self.usage.untrack(grant.request);
            self.release_unused(&grant);
        }
    }

    fn handle_refusal(&mut self, refuse: Refuse) {
        if let Some(waiting) = self.waiting.swap_remove(&refuse.request) {
            drop(waiting.reply.send(Decision::Refused(refuse)));
        }
    }

    fn release_unused(&mut self, grant: &Grant) {
        let done = Done {
            shard: grant.shard.clone(),
            request: grant.request,
            attempt: grant.attempt,
            used: base::Cost::ZERO,
            outcome: wire::Outcome::Unused,
            first_token_ms: None,
        };
        self.record_end(done);
    }

    /// Records that an attempt has ended and no longer uses its runner.
    pub(super) fn record_end(&mut self, done: Done) {
        let now = self.now();
        match &mut self.baseline {
            Some(schedulers) => {
                if let Some(scheduler) = schedulers.get_mut(&done.shard) {
                    scheduler.record_end(&done, now);
                }
            }
            None => self.entry.record_end(done, now),
        }
    }

    fn report_usage(&mut self) {
        let now = self.now();
        if self.baseline.is_some() {
            return;
        }
        for sample in self.usage.sample() {
            self.entry.record_usage(&sample.shard, sample.request, sample.used, now);
        }
    }

    fn process_baseline(&mut self) {
        let now = self.now();
        let schedulers = self.baseline.iter_mut().flat_map(IndexMap::values_mut);
        let actions: Vec<EntryAction> =
            schedulers.flat_map(|scheduler| scheduler.poll(now)).collect();
        for action in actions {
            self.execute_entry_action(action);
        }
    }

    fn record_dispatcher_event(&self, event: EventRecord) {
        self.shared.ring.push(Event {
            at: self.shared.clock.now(),
            process: self.me.clone(),
            kind: event.kind,
            request: event.request,
            workspace: event.workspace,
            runner: event.runner,
            detail: event.detail,
        });
    }
}
