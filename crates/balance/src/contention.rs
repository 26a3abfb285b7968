//! What keeps the waiting requests of a workspace from the engines.

use std::fmt;

use base::Name;

use crate::Work;

/// The waiting requests of a workspace, and the limits that hold for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Contention {
    /// The workspace.
    pub workspace: Name,
    /// The number of its requests that wait at this router.
    pub waiting: usize,
    /// Its recent work over all routers.
    pub work: Work,
    /// The fair share of a workspace, in tokens.
    pub fair_share: u64,
    /// The fraction of an engine's limits that it may fill.
    pub allowed_fraction: f64,
    /// The engines, by what limits them for this workspace.
    pub engines: EngineRoom,
}

/// The number of engines with and without room for the requests of a workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineRoom {
    /// Engines with room.
    pub free: u32,
    /// Engines at the limit on running requests.
    pub at_running_limit: u32,
    /// Other engines, at the limit on waiting prompt tokens.
    pub at_backlog_limit: u32,
    /// Other engines, without memory.
    pub at_memory_limit: u32,
}

impl fmt::Display for Contention {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { waiting, work, fair_share, allowed_fraction, engines, .. } = self;
        let Work { used, contended, unmet } = work;
        write!(formatter, "waiting {waiting}, used {used} tokens, {contended} of them ")?;
        write!(formatter, "when engines were short, lacked {unmet}, ")?;
        write!(formatter, "fair share {fair_share}, ")?;
        write!(formatter, "may fill {allowed_fraction:.2} of an engine; {engines}")
    }
}

impl fmt::Display for EngineRoom {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { free, at_running_limit, at_backlog_limit, at_memory_limit } = self;
        write!(formatter, "engines free {free}, at limit of running {at_running_limit}, ")?;
        write!(formatter, "of backlog {at_backlog_limit}, of memory {at_memory_limit}")
    }
}
