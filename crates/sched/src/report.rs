//! Handles reports on the usage and the end of granted requests.

use std::time::Duration;

use base::Attempt;
use base::Cost;
use base::Name;
use wire::Done;
use wire::Outcome;
use wire::Usage;

use crate::Dispatcher;
use crate::chart::Event;
use crate::dispatcher::Running;

impl Dispatcher {
    pub(crate) fn handle_usages(&mut self, from: &Name, usages: &[Usage], now: Duration) {
        for usage in usages {
            if usage.shard != self.shard {
                continue;
            }
            if let Some(attempt) = self.latest_attempt(from, usage) {
                self.record_usage(attempt, usage.used, now);
            }
        }
    }

    fn latest_attempt(&self, from: &Name, usage: &Usage) -> Option<Attempt> {
        let mine = |(attempt, running): &(&Attempt, &Running)| {
            attempt.request == usage.request && running.entry == *from
        };
        let attempts = self.running.iter().filter(mine).map(|(attempt, _)| *attempt);
        attempts.max_by_key(|attempt| attempt.number)
    }

    /// Records the work used so far and the contact with the entry.
    pub(crate) fn record_usage(&mut self, attempt: Attempt, used: Cost, now: Duration) {
        let Some(running) = self.running.get_mut(&attempt) else { return };
        running.last_contact = Some(now);
        let Some(workspace) = self.workspaces.get_mut(&running.workspace) else { return };
        let cost = used.max(running.charged.cost);
        running.charged = workspace.account.update_cost(running.charged, cost);
    }

    pub(crate) fn handle_done(&mut self, from: &Name, done: &Done, now: Duration) {
        let attempt = Attempt { request: done.request, number: done.attempt };
        if self.running.get(&attempt).is_none_or(|running| running.entry != *from) {
            return;
        }
        let Some(running) = self.end_request(attempt, Some(done.used), now) else { return };
        if done.outcome == Outcome::Answered {
            let account = &mut self.workspaces[&running.workspace].account;
            account.record_cost(running.class, done.used);
        }
        self.update_runner_state(&running, done, now);
    }

    /// Removes a request that has left its runner, and corrects its charge if its usage is known.
    pub(crate) fn end_request(
        &mut self,
        attempt: Attempt,
        used: Option<Cost>,
        now: Duration,
    ) -> Option<Running> {
        let running = self.running.swap_remove(&attempt)?;
        if let Some(workspace) = self.workspaces.get_mut(&running.workspace) {
            workspace.record_end();
            if let Some(used) = used {
                workspace.account.update_cost(running.charged, used);
            }
        }
        if let Some(runner) = self.runners.get_mut(&running.runner) {
            runner.record_end(running.granted, now);
        }
        Some(running)
    }

    /// Updates the state of a runner from the outcome of a request.
    fn update_runner_state(&mut self, running: &Running, done: &Done, now: Duration) {
        let Some(runner) = self.runners.get_mut(&running.runner) else { return };
        let (kind, before) = (self.kind, runner.state);
        match done.outcome {
            Outcome::Answered => runner.on_answer(kind, done.first_token_ms, running.granted, now),
            Outcome::Broken => runner.apply_event(Event::Broken, now),
            Outcome::Overloaded => runner.apply_event(Event::Overloaded, now),
            Outcome::Unreachable => runner.mark_suspect(now),
            Outcome::Unused | Outcome::Cancelled => {}
        }
        let after = runner.state;
        self.log_state_change(&running.runner, before, after);
    }
}
