//! The shares in the engines that follow from the recent work of all workspaces.

use std::time::Duration;

use base::Name;

use crate::FairShare;
use crate::Usage;
use crate::Work;
use crate::lease::Lease;
use crate::place_time::PlaceTime;
use crate::silence::Silence;
use crate::silence::Unheard;

/// The interval at which shares are computed again.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// The interval of reports to other routers until it is known.
const DEFAULT_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// The smallest fill from which a capacity is estimated.
const MIN_FILL: f64 = 0.1;
/// The fraction of places that is divided evenly among routers, whatever they are asked for.
const EVEN_FRACTION: f64 = 0.1;
/// The time after a report from which on others may take this router for silent, less a margin, if none has confirmed it.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_250);

/// The state of the engines and of the fleet on which shares depend.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Conditions {
    /// The fraction of the engines' limits that is in use, in the mean over the engines of the fullest service.
    pub(crate) fill: f64,
    /// The number of routers, heard or not; `None` if it is unknown.
    pub(crate) routers: Option<usize>,
    /// The requests that this router has running at engines.
    pub(crate) own_running: u32,
    /// The requests that all routers have running at engines.
    pub(crate) all_running: u32,
}

/// The shares of workspaces, and the part of this router.
#[derive(Debug, Clone)]
pub(crate) struct Shares {
    /// The time until which the shares are used.
    until: Duration,
    fair_share: FairShare,
    /// Whether some workspace competes with others.
    is_contended: bool,
    /// The part of all places that this router may use.
    part: f64,
    /// How long requests of others had places in use.
    others_time: PlaceTime,
    silence: Silence,
    /// The routers that are not heard, but may still use an even part.
    waited_for: usize,
    /// The time of the newest report to other routers that one of them has confirmed.
    confirmed_at: Option<Duration>,
    /// The time after which other routers know of a grant.
    pub(crate) report_interval: Duration,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            until: Duration::ZERO,
            fair_share: FairShare::default(),
            is_contended: false,
            part: 0.0,
            others_time: PlaceTime::default(),
            silence: Silence::default(),
            waited_for: 0,
            confirmed_at: None,
            report_interval: DEFAULT_REPORT_INTERVAL,
        }
    }
}

impl Shares {
    /// Returns whether the shares are to be computed again.
    pub(crate) fn is_due(&self, now: Duration) -> bool {
        now >= self.until
    }

    /// Computes the shares again.
    pub(crate) fn update(&mut self, now: Duration, usage: &mut Usage, conditions: Conditions) {
        self.until = now + UPDATE_INTERVAL;
        let works: Vec<Work> = usage.all(now).collect();
        self.fair_share = FairShare::of(capacity(&works, conditions.fill), &works);
        let was_contended = self.is_contended;
        self.is_contended = works.iter().any(|work| self.fair_share.is_competing(*work));
        if self.is_contended && !was_contended {
            // Nobody could know of the shortage before the reports of the last interval.
            usage.count_as_contended(now, self.report_interval);
        }
        usage.record_own(now, conditions.own_running);
        let others_running = conditions.all_running.saturating_sub(conditions.own_running);
        self.others_time.add_reported(now, others_running, self.report_interval);
        let is_confirmed = self.confirmed_at.is_some_and(|at| now < at + CONFIRMATION_TIMEOUT);
        self.part = match conditions.routers {
            None => 0.0,
            Some(routers) if routers > 1 && !(is_confirmed && usage.heard_routers() > 0) => {
                1.0 / routers as f64
            }
            Some(_) => self.part_asked(now, usage, conditions.fill),
        };
    }

    /// Returns the part of all places for this router: of what each workspace is owed, as much as it is asked for here. What
    /// nobody is owed is divided evenly, and routers that are not heard, but waited for, may still use an even part.
    fn part_asked(&self, now: Duration, usage: &Usage, fill: f64) -> f64 {
        let routers = usage.heard_routers() + 1 + self.waited_for;
        let even = 1.0 / routers as f64;
        let heard = 1.0 - self.waited_for as f64 * even;
        let snapshot = usage.snapshot();
        let all: Vec<Work> = snapshot.works.iter().map(|(_, all)| *all).collect();
        let capacity = capacity(&all, fill);
        let fair_share = FairShare::of(capacity, &all);
        let owed: f64 = all.iter().map(|all| fair_share.owed(*all)).sum();
        let competing = snapshot.works.iter().filter(|(_, all)| all.demand() > 0);
        let owed_here: f64 = competing
            .map(|(own, all)| fair_share.owed(*all) * own.demand() as f64 / all.demand() as f64)
            .sum();
        let whole = (capacity as f64).max(owed).max(1.0);
        let duration = snapshot.relative_duration(self.others_time.value(now));
        let asked = heard * duration * owed_here / whole + even * (1.0 - owed / whole);
        EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * asked.min(1.0)
    }

    /// Keeps a fraction of what is known of the time for which requests of others had places in use.
    ///
    /// The work of others that are no longer heard is forgotten; their places must be as well, or requests of the others
    /// would seem to hold places for longer than those of this router.
    pub(crate) const fn keep_others(&mut self, fraction: f64) {
        self.others_time.scale(fraction);
    }

    /// Records which other routers are not heard.
    pub(crate) fn record_silence(&mut self, now: Duration, unheard: Unheard) {
        self.waited_for = unheard.count() - self.silence.record(now, unheard);
    }

    /// Records that another router has received a report of this one that was sent at `at`.
    pub(crate) fn confirm_report(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the fair share of a workspace.
    pub(crate) const fn fair_share(&self) -> FairShare {
        self.fair_share
    }

    /// Returns whether some workspace lacks work that it would be granted if engines were idle.
    pub(crate) const fn is_contended(&self) -> bool {
        self.is_contended
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

    /// Returns the fraction of an engine's limit on waiting prompt tokens that a workspace may fill beyond it.
    pub(crate) fn backlog_reserve(
        &self,
        now: Duration,
        usage: &Usage,
        workspace: Option<&Name>,
    ) -> f64 {
        workspace.map_or(0.0, |name| self.fair_share.backlog_reserve(usage.of(now, name)))
    }

    /// Returns the lease of a router.
    pub(crate) fn lease(&self, now: Duration, router: &Name) -> Lease {
        let interval = now.as_millis() / self.report_interval.as_millis().max(1);
        Lease::new(
            router,
            u64::try_from(interval).unwrap_or(u64::MAX),
            self.part,
            self.is_contended,
        )
    }

    /// Records that a workspace has used more; its share may be outdated if it has exceeded it.
    pub(crate) fn record_use(&mut self, now: Duration, usage: &Usage, workspace: &Name) {
        if usage.of(now, workspace).used > self.fair_share.tokens() {
            self.until = now;
        }
    }
}

/// Returns the work that engines could be granted if they were full, in tokens.
fn capacity(works: &[Work], fill: f64) -> u64 {
    let used: u64 = works.iter().map(|work| work.used).sum();
    (used as f64 / fill.max(MIN_FILL)) as u64
}
