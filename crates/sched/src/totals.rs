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
const COUNTER_COPIES: usize = 2;

/// What was last left with the successors.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    due: Duration,
    repeat: Duration,
    sequence: u64,
    totals: Vec<Total>,
    holders: Vec<Name>,
}

impl Dispatcher {
    /// Sends the counters to the successors when they or the successors have changed.
    pub(crate) fn send_totals(&mut self, now: Duration) {
        if now < self.copies.due {
            return;
        }
        self.copies.due = now + TOTALS_PERIOD;
        let totals = self.current_totals();
        let holders = self.holders();
        let same = totals == self.copies.totals && holders == self.copies.holders;
        if same && now < self.copies.repeat {
            return;
        }
        self.copies.repeat = now + TOTALS_REPEAT_PERIOD;
        self.copies.sequence += 1;
        self.copies.totals.clone_from(&totals);
        self.copies.holders.clone_from(&holders);
        let (shard, term) = (self.shard.clone(), self.term());
        let frame = Totals { shard, term, sequence: self.copies.sequence, totals };
        for holder in holders {
            self.send(&holder, Frame::Totals(frame.clone()));
        }
    }

    /// Returns the counters that a successor could not derive from the virtual time.
    fn current_totals(&self) -> Vec<Total> {
        let floor = self.floor();
        let matters = |known: &Workspace| {
            known.running > 0 || !known.queue.is_empty() || known.account.charge > floor
        };
        let kept = self.workspaces.iter().filter(|(_, known)| matters(known));
        let counters = kept.map(|(name, known)| total(name.clone(), known.account.charge));
        counters.chain([total(charge::virtual_time_name(), floor)]).collect()
    }

    fn holders(&self) -> Vec<Name> {
        let others = self.gather.members().filter(|member| **member != self.me);
        let others: Vec<Name> = others.cloned().collect();
        successors(&self.shard, &others, COUNTER_COPIES)
    }
}

const fn total(workspace: Name, charge: Cost) -> Total {
    Total { workspace, charge }
}
