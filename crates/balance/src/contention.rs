//! What keeps the waiting requests of a workspace from the engines.

use std::fmt;
use std::time::Duration;

use base::Name;

use crate::EngineFill;
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
    /// The places at engines that this router has in use and may use for it; `None` for a service without engines.
    pub places: Option<LeasedPlaces>,
    /// The engines, by what limits them for this workspace.
    pub engines: EngineRoom,
    /// The engines that would take its next waiting request.
    pub openings: Openings,
    /// The mean fill of the engines.
    pub fill: Option<EngineFill>,
    /// The other routers whose figures are known.
    pub heard_routers: usize,
    /// The other routers that are published; `None` if they are unknown.
    pub published_routers: Option<usize>,
    /// The time after which other routers are taken to know of a grant.
    pub report_interval: Duration,
    /// The ages of the figures of other routers of this zone.
    pub router_ages: Option<ReportAges>,
    /// The ages of the sums of other zones.
    pub zone_ages: Option<ReportAges>,
}

/// What kept a request from the engines when it was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Limit {
    /// No engine has room.
    Engines,
    /// The rates of requests that runners take from all routers together.
    Rate,
    /// The limits of engines, which are lowered by the share of its workspace.
    Share,
    /// The places at engines that its router may use.
    Lease,
    /// The waiting prompt tokens that its router may place at engines.
    LeaseBacklog,
    /// It is not known which runners leave.
    Departures,
    /// It waited for a runner with a lower cost.
    Preference,
    /// None of these: other requests that wait at its router were examined before it.
    Unexamined,
}

/// The number of engines that would take one request, by the limits that are applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Openings {
    /// Engines under their full limits.
    pub full: u32,
    /// Engines under the limits for the workspace.
    pub share: u32,
    /// What the lease of the router lacks; `None` if it allows the request.
    pub lease_limit: Option<Limit>,
    /// Engines with room for which this router has no credit.
    pub without_credit: u32,
    /// Whether the router would place the request now.
    pub is_placeable: bool,
}

/// The places at engines that a router has in use and may use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LeasedPlaces {
    /// Places in use.
    pub own: u32,
    /// Places that may be used.
    pub leased: f64,
    /// What is borrowed from other routers; it is part of the places that may be used.
    pub borrowed: u32,
    /// What is lent to other routers; it is no part of them.
    pub lent: u32,
}

/// The ages of reported figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportAges {
    /// The age of the newest report.
    pub newest: Duration,
    /// The age of the oldest report.
    pub oldest: Duration,
}

/// The number of engines with and without room for the requests of a workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineRoom {
    /// Engines with room.
    pub free: u32,
    /// Engines whose rate is limited, for which this router has no credit.
    pub at_rate_limit: u32,
    /// Other engines, at the limit on running requests.
    pub at_running_limit: u32,
    /// Other engines, at the limit on waiting prompt tokens.
    pub at_backlog_limit: u32,
    /// Other engines, without memory.
    pub at_memory_limit: u32,
}

impl Openings {
    /// Returns what keeps a request from the engines.
    pub(crate) const fn limit(self) -> Limit {
        match self {
            Self { full: 0, without_credit: 1.., .. } => Limit::Rate,
            Self { full: 0, .. } => Limit::Engines,
            Self { share: 0, .. } => Limit::Share,
            Self { lease_limit: Some(limit), .. } => limit,
            Self { is_placeable: false, .. } => Limit::Preference,
            Self { .. } => Limit::Unexamined,
        }
    }
}

impl fmt::Display for Contention {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { waiting, work, fair_share, allowed_fraction, engines, openings, .. } = self;
        let Work { used, contended, unmet } = work;
        write!(formatter, "waiting {waiting}, used {used} tokens, {contended} of them ")?;
        write!(formatter, "when engines were short, lacked {unmet}, ")?;
        write!(formatter, "fair share {fair_share}, ")?;
        write!(formatter, "may fill {allowed_fraction:.2} of an engine; {engines}; ")?;
        if let Some(LeasedPlaces { own, leased, borrowed, lent }) = self.places {
            write!(formatter, "uses {own} of {leased:.1} places, ")?;
            write!(formatter, "borrowed {borrowed}, lent {lent}; ")?;
        }
        write!(formatter, "{openings}; ")?;
        if let Some(fill) = self.fill {
            write!(formatter, "{fill}; ")?;
        }
        write!(formatter, "heard {} ", self.heard_routers)?;
        if let Some(published) = self.published_routers {
            write!(formatter, "of {published} ")?;
        }
        write!(formatter, "routers; report interval {} ms", self.report_interval.as_millis())?;
        if let Some(ages) = self.router_ages {
            write!(formatter, ", routers {ages}")?;
        }
        if let Some(ages) = self.zone_ages {
            write!(formatter, ", zones {ages}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Openings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { full, share, lease_limit, .. } = self;
        write!(formatter, "engines for one request: {full} by full limits, {share} by its share")?;
        match lease_limit {
            Some(limit) => write!(formatter, ", none by the limit {limit}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for ReportAges {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { newest, oldest } = self;
        write!(formatter, "reported {} to {} ms ago", newest.as_millis(), oldest.as_millis())
    }
}

impl fmt::Display for EngineRoom {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { free, at_rate_limit, at_running_limit, at_backlog_limit, at_memory_limit } =
            self;
        write!(formatter, "engines free {free}, without credit {at_rate_limit}, ")?;
        write!(formatter, "at limit of running {at_running_limit}, ")?;
        write!(formatter, "of backlog {at_backlog_limit}, of memory {at_memory_limit}")
    }
}
