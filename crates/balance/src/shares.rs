//! The shares in the engines that follow from the recent work of all workspaces.

use std::time::Duration;

use base::Name;

use crate::FairShare;
use crate::Load;
use crate::Runner;
use crate::Usage;
use crate::room_part;
use crate::room_part::RoomPart;

/// The interval at which shares are computed again.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// The interval of reports to other routers until it is known.
const DEFAULT_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The shares of workspaces, and of this router.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shares {
    /// The time until which the shares are used.
    until: Duration,
    fair_share: FairShare,
    /// The part of this router in the requests of competing workspaces; `None` if none competes.
    part: Option<f64>,
    /// The time after which other routers know of a grant.
    pub(crate) report_interval: Duration,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            until: Duration::ZERO,
            fair_share: FairShare::default(),
            part: None,
            report_interval: DEFAULT_REPORT_INTERVAL,
        }
    }
}

impl Shares {
    /// Computes the shares again if they are due.
    pub(crate) fn update(&mut self, now: Duration, usage: &Usage) {
        if now < self.until {
            return;
        }
        let fair_share = FairShare::of(usage.all(now).map(|(_, all)| all));
        let competing = usage.all(now).filter(|(_, all)| fair_share.is_competing(*all));
        self.until = now + UPDATE_INTERVAL;
        self.fair_share = fair_share;
        self.part = room_part::part(competing);
    }

    /// Returns the fair share of a workspace.
    pub(crate) const fn fair_share(&self) -> FairShare {
        self.fair_share
    }

    /// Returns whether some workspace lacks work that it would be granted if engines were idle.
    pub(crate) const fn is_contended(&self) -> bool {
        self.part.is_some()
    }

    /// Returns the fraction of an engine's limits that a workspace may fill.
    pub(crate) fn allowed_fraction(
        &self,
        now: Duration,
        usage: &Usage,
        workspace: Option<&Name>,
    ) -> f64 {
        workspace.map_or(1.0, |name| self.fair_share.allowed_fraction(usage.of(now, name)))
    }

    /// Returns the part of free room that a router uses for requests of a workspace; `None` if it may use all.
    pub(crate) fn room_part(
        &self,
        now: Duration,
        usage: &Usage,
        router: &Name,
        workspace: Option<&Name>,
    ) -> Option<RoomPart> {
        let work = usage.of(now, workspace?);
        let part = self.part.filter(|_| self.fair_share.is_competing(work))?;
        Some(RoomPart::new(router, now, self.report_interval, part))
    }

    /// Records that load was placed on a runner.
    pub(crate) fn record_load(&self, now: Duration, runner: &mut Runner, load: Load) {
        runner.recent_load.add(room_part::interval(now, self.report_interval), load);
    }

    /// Records that a workspace has used more; its share may be outdated if it has exceeded it.
    pub(crate) fn record_use(&mut self, now: Duration, usage: &Usage, workspace: &Name) {
        if usage.of(now, workspace).used > self.fair_share.tokens() {
            self.until = now;
        }
    }
}
