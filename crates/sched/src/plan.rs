//! The configuration of a shard and the load reports of its runners.

use std::time::Duration;

use base::Name;
use serde::Serialize;
use strum::Display;

/// The kind of the runners of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Engines that serve models and report their load.
    Engine,
    /// Plain services.
    Plain,
}

/// The configuration of one shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The shard.
    pub shard: wire::Shard,
    /// The kind of its runners.
    pub kind: Kind,
    /// Its runners.
    pub runners: Vec<RunnerPlan>,
    /// The workspaces that may use it.
    pub workspaces: Vec<WorkspacePlan>,
}

/// The configuration of one runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerPlan {
    /// The runner.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// Maximum of concurrent requests when warm.
    pub warm_limit: u32,
    /// Maximum of concurrent requests when cold.
    pub cold_limit: u32,
    /// Whether its zone or instance is out of service or leaving, so that it gets no new grants.
    pub out: bool,
}

/// The configuration of one workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspacePlan {
    /// The workspace.
    pub name: Name,
    /// Its weight relative to the other workspaces.
    pub weight: u32,
    /// Maximum of waiting requests; further ones are refused.
    pub queue_limit: u32,
}

/// A load report of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that the runner serves.
    pub running: u32,
    /// Requests that the runner has admitted but not started.
    pub waiting: u32,
    /// Whether the runner reports that it is warm.
    pub warm: bool,
    /// Time since the report was taken.
    pub age: Duration,
    /// A number that rises with each report.
    pub sequence: u64,
}

/// A member of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Its name.
    pub name: Name,
}
