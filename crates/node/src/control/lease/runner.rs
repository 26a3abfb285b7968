//! The tasks for the runners of a shard, and those that each runner has completed.

use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use sched::Load;
use strum::Display;

/// Number of consecutive missed load reports after which a runner counts as unresponsive.
const MAX_MISSED_REPORTS: u32 = 2;

/// The kind of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Load a version of a model.
    LoadModel,
    /// Load an adapter of the model.
    LoadAdapter,
}

/// A task for a runner: one part of the state that all runners of a shard must reach.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Task {
    /// The kind of the task.
    pub kind: Kind,
    /// The model with its version, or the adapter.
    pub name: String,
}

/// A runner as the configuration describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The name of the runner.
    pub name: Name,
    /// The address of the runner.
    pub address: SocketAddr,
    /// Whether the runner refuses orders with an older fencing token.
    pub checks_fencing: bool,
    /// Whether the runner is out of service or leaving.
    pub out: bool,
}

/// A runner and the tasks that it has completed in this term.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) target: Target,
    pub(super) pending_order: Option<u64>,
    pub(super) retry_at: Duration,
    /// Increases whenever the results of earlier orders become invalid.
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

    /// Records a load report; `None` means that the runner did not answer.
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

    /// Returns the next task for the runner; `None` while it is out of service or unresponsive.
    pub(super) fn next_task<'a>(&self, wanted: &'a [Task]) -> Option<&'a Task> {
        if self.target.out || self.missed_reports >= MAX_MISSED_REPORTS {
            return None;
        }
        wanted.iter().find(|task| !self.completed.contains(task))
    }
}
