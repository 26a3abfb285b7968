//! The fairness counters that a dispatcher leaves with its successors.

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

/// Members other than the dispatcher that hold its counters.
const TOTALS_REPLICAS: usize = 2;

/// What was last left with the successors.
#[derive(Debug, Default)]
pub(crate) struct LastTotals {
    due: Duration,
    repeat: Duration,
    sequence: u64,
    totals: Vec<Total>,
    holders: Vec<Name>,
}

impl Dispatcher {
    /// Sends the counters to the successors when they or the successors have changed.
    pub(crate) fn send_totals(&mut self, now: Duration) {
        if now < self.last_totals.due {
            return;
        }
        self.last_totals.due = now + TOTALS_PERIOD;
        let totals = self.current_totals();
        let holders = self.totals_receivers();
        let same = totals == self.last_totals.totals && holders == self.last_totals.holders;
        if same && now < self.last_totals.repeat {
            return;
        }
        self.last_totals.repeat = now + TOTALS_REPEAT_PERIOD;
        self.last_totals.sequence += 1;
        self.last_totals.totals.clone_from(&totals);
        self.last_totals.holders.clone_from(&holders);
        let (shard, term) = (self.shard.clone(), self.term());
        let frame = Totals { shard, term, sequence: self.last_totals.sequence, totals };
        for holder in holders {
            self.send(&holder, Frame::Totals(frame.clone()));
        }
    }

    /// Returns the counters that a successor could not derive from the virtual time.
    fn current_totals(&self) -> Vec<Total> {
        let floor = self.min_charge();
        let matters = |known: &Workspace| {
            known.running > 0 || !known.queue.is_empty() || known.account.charge > floor
        };
        let kept = self.workspaces.iter().filter(|(_, known)| matters(known));
        let counters = kept.map(|(name, known)| total(name.clone(), known.account.charge));
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
