//! The state of a dispatcher as operators see it.

use std::time::Duration;

use base::Cost;
use base::Name;
use serde::Serialize;

use crate::Dispatcher;
use crate::State;

/// The state of a dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Status {
    /// The shard.
    pub shard: wire::Shard,
    /// The term.
    pub term: wire::Term,
    /// Whether it still collects state from its members or must begin a new term, so that nothing is granted.
    pub gathering: bool,
    /// Its workspaces.
    pub workspaces: Vec<WorkspaceStatus>,
    /// Its runners.
    pub runners: Vec<RunnerStatus>,
    /// The current gap between the charges of backlogged workspaces.
    pub gap: Cost,
    /// The largest gap since the dispatcher was created.
    pub largest_gap: Cost,
    /// The bound on the gap, from the work seen so far.
    pub bound: Cost,
    /// The used fraction of the usable slot time while requests waited, if any waited.
    pub utilisation: Option<f64>,
}

/// The state of a workspace at a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct WorkspaceStatus {
    /// The workspace.
    pub name: Name,
    /// Its weight.
    pub weight: u32,
    /// Its charge in cost per unit of weight.
    pub charge: Cost,
    /// Its waiting requests.
    pub backlog: usize,
    /// Its running requests.
    pub running: u32,
    /// Its refusals since the dispatcher was created.
    pub refused: u64,
    /// Its grants since the dispatcher was created.
    pub granted: u64,
}

/// The state of a runner at a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RunnerStatus {
    /// The runner.
    pub name: Name,
    /// Its state.
    pub state: State,
    /// The slots that the dispatcher may use now.
    pub limit: u32,
    /// The requests that the dispatcher counts there.
    pub running: u32,
    /// Whether it accepts its full limit.
    pub warm: bool,
}

impl Dispatcher {
    /// Returns the state for operators.
    #[must_use]
    pub fn status(&self, now: Duration) -> Status {
        Status {
            shard: self.shard.clone(),
            term: self.term(),
            gathering: !self.term_state.reports_applied || self.needs_term(),
            workspaces: self.workspace_status(),
            runners: self.runner_status(now),
            gap: self.gap(),
            largest_gap: self.meter.largest_gap,
            bound: self.bound(),
            utilisation: self.meter.utilisation(),
        }
    }

    fn workspace_status(&self) -> Vec<WorkspaceStatus> {
        let one = |(name, workspace): (&Name, &crate::workspace::Workspace)| WorkspaceStatus {
            name: name.clone(),
            weight: workspace.account.weight,
            charge: workspace.account.charge,
            backlog: workspace.queue.len(),
            running: workspace.running,
            refused: workspace.refused,
            granted: workspace.granted,
        };
        self.workspaces.iter().map(one).collect()
    }

    fn runner_status(&self, now: Duration) -> Vec<RunnerStatus> {
        let slots = self.slots(now);
        slots
            .into_iter()
            .map(|slots| RunnerStatus {
                state: self.runners[&slots.runner].state,
                warm: self.runners[&slots.runner].is_warm(),
                limit: slots.limit,
                running: slots.occupied,
                name: slots.runner,
            })
            .collect()
    }
}
