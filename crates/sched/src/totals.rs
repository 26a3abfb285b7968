//! Replicates the fairness counters of a dispatcher to its successors.

use std::time::Duration;

use base::Cost;
use base::Name;
use wire::Frame;
use wire::Total;
use wire::Totals;

use crate::Dispatcher;
use crate::charge;
use crate::rendezvous::successors;
use crate::timing::TOTALS_PERIOD;
use crate::timing::TOTALS_REPEAT_PERIOD;
use crate::workspace::Workspace;

/// Number of members other than the dispatcher that store its counters.
const TOTALS_REPLICAS: usize = 2;

/// The counters last sent to the successors.
#[derive(Debug, Default)]
pub(crate) struct LastTotals {
    due: Duration,
    repeat: Duration,
    sequence: u64,
    totals: Vec<Total>,
    receivers: Vec<Name>,
}

impl Dispatcher {
    /// Sends the counters to the successors when either has changed, and repeats them at intervals.
    pub(crate) fn send_totals(&mut self, now: Duration) {
        if now < self.last_totals.due {
            return;
        }
        self.last_totals.due = now + TOTALS_PERIOD;
        let totals = self.current_totals();
        let receivers = self.totals_receivers();
        let same = totals == self.last_totals.totals && receivers == self.last_totals.receivers;
        if same && now < self.last_totals.repeat {
            return;
        }
        self.last_totals.repeat = now + TOTALS_REPEAT_PERIOD;
        self.last_totals.sequence += 1;
        self.last_totals.totals.clone_from(&totals);
        self.last_totals.receivers.clone_from(&receivers);
        let (shard, term) = (self.shard.clone(), self.term());
        let frame = Totals { shard, term, sequence: self.last_totals.sequence, totals };
        for receiver in receivers {
            self.send(&receiver, Frame::Totals(frame.clone()));
        }
    }

    /// Returns the counters that a successor could not derive from the virtual time.
    fn current_totals(&self) -> Vec<Total> {
        let floor = self.min_charge();
        let is_relevant = |known: &Workspace| {
            known.running > 0 || !known.queue.is_empty() || known.account.charge > floor
        };
        let relevant = self.workspaces.iter().filter(|(_, known)| is_relevant(known));
        let counters = relevant.map(|(name, known)| total(name.clone(), known.account.charge));
        counters.chain([total(charge::virtual_time_key(), floor)]).collect()
    }

    fn totals_receivers(&self) -> Vec<Name> {
        let others = self.term_state.members().filter(|member| **member != self.name);
        let others: Vec<Name> = others.cloned().collect();
        successors(&self.shard, &others, TOTALS_REPLICAS)
    }
}

const fn total(workspace: Name, charge: Cost) -> Total {
    Total { workspace, charge }
}
