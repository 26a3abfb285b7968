//! What the runners of a shard shall have loaded, and what each has been ordered.

use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use sched::Load;
use strum::Display;

/// Missing load reports in a row after which a runner counts as silent.
const MAX_MISSED_REPORTS: u32 = 2;

/// What a runner is ordered to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Load a version of a model.
    LoadModel,
    /// Load an adapter of the model.
    LoadAdapter,
}

/// One part of the wanted state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Task {
    /// What is ordered.
    pub kind: Kind,
    /// The model with its version, or the adapter.
    pub name: String,
}

/// What the configuration says of a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The runner.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it refuses older fencing numbers.
    pub checks_fencing: bool,
    /// Whether it is taken out or leaving.
    pub out: bool,
}

/// A runner and the orders that it has obeyed in this term.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) target: Target,
    pub(super) pending_order: Option<u64>,
    pub(super) retry_at: Duration,
    /// Rises whenever earlier orders no longer count.
    pub(super) epoch: u64,
    completed: Vec<Task>,
    missed_reports: u32,
    last: Option<Load>,
}

impl Runner {
    pub(super) const fn new(target: Target) -> Self {
        Self {
            target,
            pending_order: None,
            retry_at: Duration::ZERO,
            epoch: 0,
            completed: Vec::new(),
            missed_reports: 0,
            last: None,
        }
    }

    /// Makes all orders due again.
    pub(super) fn reset_orders(&mut self) {
        self.completed.clear();
        self.epoch += 1;
    }

    pub(super) fn record_done(&mut self, task: Task) {
        self.completed.push(task);
    }

    /// Takes in a load report; none means that it could not be had.
    pub(super) fn record_load(&mut self, load: Option<Load>) {
        let Some(load) = load else {
            self.missed_reports = self.missed_reports.saturating_add(1);
            if self.missed_reports == MAX_MISSED_REPORTS {
                self.reset_orders();
            }
            return;
        };
        self.missed_reports = 0;
        let has_restarted = self.last.is_some_and(|last| load.sequence < last.sequence);
        let has_turned_cold = self.last.is_some_and(|last| last.warm && !load.warm);
        if has_restarted || has_turned_cold {
            self.reset_orders();
        }
        self.last = Some(load);
    }

    /// Returns the next order that the runner needs; none while it is out or silent.
    pub(super) fn next_task<'a>(&self, wanted: &'a [Task]) -> Option<&'a Task> {
        if self.target.out || self.missed_reports >= MAX_MISSED_REPORTS {
            return None;
        }
        wanted.iter().find(|task| !self.completed.contains(task))
    }
}
