//! Handles the orders that traffic threads send.

use front::Order;
use front::Submission;
use wire::Enqueue;
use wire::Frame;

use super::Control;
use super::Waiting;
use super::plan::shard_for;

impl Control {
    /// Handles an order; returns whether the control thread keeps running.
    pub(super) fn handle_order(&mut self, order: Order) -> bool {
        let now = self.now();
        match order {
            Order::Submit(submission) => self.submit(submission),
            Order::Cancel { request } => {
                self.waiting.swap_remove(&request);
                self.entry.cancel(request, now);
            }
            Order::Done(done) => {
                self.usage.untrack(done.request);
                self.record_end(done);
            }
            Order::Crash(crash) => self.broadcast(&Frame::Crash(crash)),
            Order::Apply { base, text, reply } => self.apply(base, text, reply),
            Order::ChangePlacement { placement, reply } => self.change_placement(&placement, reply),
            Order::Status { reply } => drop(reply.send(self.status())),
            Order::Config { reply } => drop(reply.send(self.config_content())),
        }
        true
    }

    fn submit(&mut self, submission: Submission) {
        let Submission { mut enqueue, used, reply } = submission;
        if self.baseline.is_none() {
            self.choose_shard(&mut enqueue);
        }
        let now = self.now();
        self.waiting.insert(enqueue.request, Waiting { used, reply });
        match &mut self.baseline {
            Some(schedulers) => {
                if let Some(scheduler) = schedulers.get_mut(&enqueue.shard) {
                    scheduler.submit(enqueue, now);
                }
            }
            None => self.entry.submit(enqueue, now),
        }
    }

    /// Sets the shard of a request according to the configuration in force, if it contains the service.
    fn choose_shard(&self, enqueue: &mut Enqueue) {
        let Some(version) = self.chain.version() else { return };
        let mut services = version.configuration.services.iter();
        if let Some(service) = services.find(|service| service.name == enqueue.shard.service) {
            enqueue.shard = shard_for(service, enqueue.request);
        }
    }

    /// Sends a frame to all other live members.
    pub(super) fn broadcast(&self, frame: &Frame) {
        for member in &self.members {
            if member.name != self.me && member.state.is_live() {
                self.mesh.send(&member.name, frame.clone());
            }
        }
    }
}
