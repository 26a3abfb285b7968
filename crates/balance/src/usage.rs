//! The recent work of each workspace, over all routers: what its requests have asked for and what they were granted.

use std::collections::VecDeque;
use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

use crate::Origin;
use crate::ReportAges;
use crate::Work;
use crate::decay::Decay;
use crate::place_time::PlaceTime;
use crate::snapshot::Snapshot;

/// The time after which reported figures expire.
const EXPIRY: Duration = Duration::from_millis(1_500);
/// The interval at which the work at this router is recorded.
const RECORD_INTERVAL: Duration = Duration::from_millis(50);

/// The work of a workspace at this router.
#[derive(Debug, Clone, Copy, Default)]
struct OwnWork {
    used: Decay,
    contended: Decay,
    demand: Decay,
}

/// The work that an origin has reported.
#[derive(Debug, Clone)]
struct Report {
    at: Duration,
    /// The number of routers at which it was done.
    routers: usize,
    works: IndexMap<Name, Work>,
}

/// The work at this router at an earlier time.
#[derive(Debug, Clone)]
struct Record {
    at: Duration,
    /// Whether it is what other routers were told.
    is_reported: bool,
    /// How long places were in use, as a sum with exponential decay, in seconds.
    place_time: f64,
    works: IndexMap<Name, Work>,
}

/// The recent work of each workspace.
#[derive(Debug, Clone, Default)]
pub struct Usage {
    own: IndexMap<Name, OwnWork>,
    /// The work at this router within the time after which reports expire, oldest first.
    records: VecDeque<Record>,
    /// How long requests of this router had places in use.
    place_time: PlaceTime,
    /// The reports within the time after which they expire, oldest first; there is one at least.
    reported: IndexMap<Origin, VecDeque<Report>>,
    /// The sums of the newest reports, which each decision needs.
    reported_sums: IndexMap<Name, Work>,
}

impl OwnWork {
    fn charge(&mut self, now: Duration, work: f64, is_contended: bool) {
        self.used.add(now, work);
        if is_contended {
            self.contended.add(now, work);
        }
    }

    fn value(self, now: Duration) -> Work {
        let used = self.used.value(now) as u64;
        let demand = self.demand.value(now) as u64;
        Work {
            used,
            contended: self.contended.value(now) as u64,
            unmet: demand.saturating_sub(used),
        }
    }
}

impl Usage {
    /// Records the work that a new request of a workspace asks for.
    pub fn record_demand(&mut self, now: Duration, workspace: &Name, work: u64) {
        self.own.entry(workspace.clone()).or_default().demand.add(now, work as f64);
    }

    /// Charges work to a workspace; `is_contended` tells whether some workspace lacks work.
    pub fn charge(&mut self, now: Duration, workspace: &Name, work: u64, is_contended: bool) {
        self.own.entry(workspace.clone()).or_default().charge(now, work as f64, is_contended);
    }

    /// Refunds work that was charged but not done.
    pub fn refund(&mut self, now: Duration, workspace: &Name, work: u64, is_contended: bool) {
        if let Some(own) = self.own.get_mut(workspace) {
            own.charge(now, -(work as f64), is_contended);
        }
    }

    /// Records the work at a number of other routers, by workspace, which an origin reported at `at`.
    pub fn put(
        &mut self,
        origin: &Origin,
        at: Duration,
        routers: usize,
        works: IndexMap<Name, Work>,
    ) {
        for (workspace, work) in &works {
            let sum = self.reported_sums.entry(workspace.clone()).or_default();
            *sum = sum.plus(*work);
        }
        let oldest = at.saturating_sub(EXPIRY);
        let reports = self.reported.entry(origin.clone()).or_default();
        let previous = reports.back().map(|report| report.works.clone());
        reports.push_back(Report { at, routers, works });
        while reports.front().is_some_and(|report| report.at <= oldest) {
            reports.pop_front();
        }
        self.subtract(previous);
    }

    /// Returns the newest report of each origin.
    fn newest(&self) -> impl Iterator<Item = (&Origin, &Report)> + Clone {
        self.reported.iter().filter_map(|(origin, reports)| Some((origin, reports.back()?)))
    }

    /// Removes reported figures that have expired, and returns the fraction of what others have used that is left.
    #[must_use]
    pub(crate) fn remove_expired(&mut self, now: Duration) -> f64 {
        let before = self.reported_use();
        let expired = self.newest().filter(|(_, report)| now >= report.at + EXPIRY);
        let expired: Vec<Origin> = expired.map(|(origin, _)| origin.clone()).collect();
        for origin in expired {
            let removed = self.reported.swap_remove(&origin);
            let newest = removed.and_then(|mut reports| reports.pop_back());
            self.subtract(newest.map(|report| report.works));
        }
        if before > 0 { self.reported_use() as f64 / before as f64 } else { 1.0 }
    }

    /// Returns the tokens that others have used.
    fn reported_use(&self) -> u64 {
        self.reported_sums.values().map(|work| work.used).sum()
    }

    fn subtract(&mut self, removed: Option<IndexMap<Name, Work>>) {
        for (workspace, work) in removed.into_iter().flatten() {
            if let Some(sum) = self.reported_sums.get_mut(&workspace) {
                *sum = sum.saturating_sub(work);
            }
        }
    }

    /// Returns the recent work of a workspace over all routers.
    #[must_use]
    pub fn of(&self, now: Duration, workspace: &Name) -> Work {
        let reported = self.reported_sums.get(workspace).copied().unwrap_or_default();
        reported.plus(self.own_work(now, workspace))
    }

    /// Returns the recent work of each workspace over all routers.
    pub fn all(&self, now: Duration) -> impl Iterator<Item = Work> {
        self.workspaces().into_iter().map(move |name| self.of(now, name))
    }

    /// Records the work at this router, unless that has just been done, with the number of its requests that are running.
    pub(crate) fn record_own(&mut self, now: Duration, running: u32) {
        if self.records.back().is_none_or(|record| now >= record.at + RECORD_INTERVAL) {
            self.record(now, running, false);
        }
    }

    /// Records the work at this router that other routers are told.
    pub(crate) fn record_report(&mut self, now: Duration, running: u32) {
        self.record(now, running, true);
    }

    fn record(&mut self, now: Duration, running: u32, is_reported: bool) {
        self.place_time.add(now, running);
        let place_time = self.place_time.value(now);
        let works = self.own(now).map(|(name, work)| (name.clone(), work)).collect();
        self.records.push_back(Record { at: now, is_reported, place_time, works });
        while self.records.get(1).is_some_and(|record| record.at + EXPIRY <= now) {
            self.records.pop_front();
        }
    }

    /// Returns the recorded work at this router at a time, or else the oldest.
    fn record_at(&self, time: Duration) -> Option<&Record> {
        self.records.iter().rev().find(|record| record.at <= time).or(self.records.front())
    }

    /// Returns what other routers were told of this one at a time, or else what was recorded.
    fn told_at(&self, time: Duration) -> Option<&Record> {
        let mut told = self.records.iter().rev().filter(|record| record.is_reported);
        told.find(|record| record.at <= time).or_else(|| self.record_at(time))
    }

    /// Returns the work of each workspace at this router and over all routers, as of the oldest of the newest reports.
    pub(crate) fn snapshot(&self) -> Snapshot {
        let oldest = self.newest().map(|(_, report)| report.at).min();
        let time = oldest.unwrap_or(Duration::MAX);
        let told = self.told_at(time);
        let own = told.map(|record| record.works.clone()).unwrap_or_default();
        let mut all = own.clone();
        for report in self.reported.values().filter_map(|reports| report_at(reports, time)) {
            for (name, work) in &report.works {
                let sum = all.entry(name.clone()).or_default();
                *sum = sum.plus(*work);
            }
        }
        let own_work = |name: &Name| own.get(name).copied().unwrap_or_default();
        let works = all.iter().map(|(name, all)| (own_work(name), *all)).collect();
        let place_time = told.map(|record| record.place_time).unwrap_or_default();
        Snapshot { works, place_time }
    }

    /// Returns the number of other routers whose work is known.
    pub(crate) fn heard_routers(&self) -> usize {
        self.newest().map(|(_, report)| report.routers).sum()
    }

    /// Returns the number of routers of an origin whose work is known; `None` if it is not heard.
    pub(crate) fn heard_of(&self, origin: &Origin) -> Option<usize> {
        self.reported.get(origin)?.back().map(|report| report.routers)
    }

    /// Returns the number of routers that report their own work.
    pub(crate) fn heard_directly(&self) -> usize {
        self.reported.keys().filter(|origin| origin.is_router()).count()
    }

    /// Counts what this router has granted within an interval as granted while some workspace lacked work.
    pub(crate) fn count_as_contended(&mut self, now: Duration, interval: Duration) {
        let Some(record) = self.record_at(now.saturating_sub(interval)).cloned() else { return };
        for (name, own) in &mut self.own {
            let used = record.works.get(name).map_or(0.0, |work| work.used as f64);
            let earlier = Decay::of(record.at, used);
            let recent = own.used.value(now) - earlier.value(now) - own.contended.value(now);
            own.contended.add(now, recent.max(0.0));
        }
    }

    /// Returns the recent work at this router and those that report their own, by workspace, for a report to other zones.
    pub fn of_routers(&self, now: Duration) -> impl Iterator<Item = (&Name, Work)> {
        self.workspaces()
            .into_iter()
            .map(move |name| (name, self.own_work(now, name).plus(self.work_of_routers(name))))
    }

    /// Returns the recent work at this router, by workspace.
    pub fn own(&self, now: Duration) -> impl Iterator<Item = (&Name, Work)> {
        self.own.iter().map(move |(name, own)| (name, own.value(now)))
    }

    /// Returns the ages of the figures of other routers, or of the sums of other zones; `None` if there are none.
    #[must_use]
    pub fn report_ages(&self, now: Duration, of_routers: bool) -> Option<ReportAges> {
        let reports = self.newest().filter(|(origin, _)| origin.is_router() == of_routers);
        let ages = reports.map(|(_, report)| now.saturating_sub(report.at));
        let newest = ages.clone().min()?;
        Some(ReportAges { newest, oldest: ages.max().unwrap_or(newest) })
    }

    fn own_work(&self, now: Duration, workspace: &Name) -> Work {
        self.own.get(workspace).map_or_else(Work::default, |own| own.value(now))
    }

    fn work_of_routers(&self, workspace: &Name) -> Work {
        let routers = self.newest().filter(|(origin, _)| origin.is_router());
        let works = routers.filter_map(|(_, report)| report.works.get(workspace));
        works.fold(Work::default(), |sum, work| sum.plus(*work))
    }

    /// Returns all workspaces with recent work, each once.
    fn workspaces(&self) -> Vec<&Name> {
        let reported = self.reported_sums.keys();
        let mut names: Vec<&Name> = self.own.keys().chain(reported).collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}

/// Returns the newest report that isn't newer than a time, or else the oldest.
fn report_at(reports: &VecDeque<Report>, time: Duration) -> Option<&Report> {
    reports.iter().rev().find(|report| report.at <= time).or(reports.front())
}
