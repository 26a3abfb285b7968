//! What the configuration and the load reports say of a shard.

use std::time::Duration;

use base::Name;
use serde::Serialize;
use strum::Display;

/// What the runners of a shard are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Engines that serve models and report their load.
    Engine,
    /// Plain services.
    Plain,
}

/// What the configuration says of one shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The shard.
    pub shard: wire::Shard,
    /// What its runners are.
    pub kind: Kind,
    /// Its runners.
    pub runners: Vec<RunnerPlan>,
    /// The workspaces that may use it.
    pub workspaces: Vec<WorkspacePlan>,
}

/// What the configuration says of one runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerPlan {
    /// The runner.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// Concurrent requests when warm.
    pub warm_limit: u32,
    /// Concurrent requests when cold.
    pub cold_limit: u32,
    /// Whether its zone or instance is taken out or leaving, so that it gets no new grants.
    pub out: bool,
}

/// What the configuration says of one workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspacePlan {
    /// The workspace.
    pub name: Name,
    /// Its share relative to the other workspaces.
    pub weight: u32,
    /// Waiting requests beyond which further ones are refused.
    pub queue_limit: u32,
}

/// A load report of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that it serves.
    pub running: u32,
    /// Requests that it has admitted and not begun.
    pub waiting: u32,
    /// Whether it says that it is warm.
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
