//! Counts of responses by route and version, added up over all routers.
//!
//! Each router reports cumulative counts. The reports of one process, or of one zone, are merged by the larger count, so that
//! reports may be lost, late or repeated.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::Origin;

/// The upper bound of the first bucket of response times.
const FIRST_BUCKET: Duration = Duration::from_millis(1);
/// Buckets for each doubling of the time.
const BUCKETS_PER_DOUBLING: f64 = 2.0;
/// The number of buckets; the last one begins at 23 seconds.
const BUCKETS: usize = 30;
/// The number of times from which on their median is used.
const MIN_TIMES: u32 = 10;
/// The multiple of the median from which on a response is slow. Buckets overstate the median by up to 1.4 times, so a response
/// is slow from 2.5 to 3.5 times the usual time on.
const SLOW_FACTOR: f64 = 2.5;
/// The least excess over the median of a slow response, so that jitter of fast routes does not count.
const MIN_SLOW_EXCESS: Duration = Duration::from_millis(40);

/// The number of responses, and of the bad ones among them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All responses.
    pub responses: u32,
    /// Failures, broken or wrong responses, and slow ones.
    pub bad: u32,
}

impl Counts {
    /// Returns the number of responses that are not bad.
    #[must_use]
    pub const fn good(self) -> u32 {
        self.responses.saturating_sub(self.bad)
    }

    pub(crate) fn record(&mut self, is_bad: bool) {
        self.responses = self.responses.saturating_add(1);
        self.bad = self.bad.saturating_add(u32::from(is_bad));
    }

    pub(crate) const fn add(&mut self, other: Self) {
        self.responses = self.responses.saturating_add(other.responses);
        self.bad = self.bad.saturating_add(other.bad);
    }

    pub(crate) const fn since(self, earlier: Self) -> Self {
        Self {
            responses: self.responses.saturating_sub(earlier.responses),
            bad: self.bad.saturating_sub(earlier.bad),
        }
    }

    fn merge(&mut self, other: Self) {
        self.responses = self.responses.max(other.responses);
        self.bad = self.bad.max(other.bad);
    }
}

/// The responses of one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The digest of the route's name.
    pub route: u32,
    /// Those of the version that is rolled out.
    pub candidate: Counts,
    /// Those of the other versions.
    pub baseline: Counts,
    /// The times of the baseline's good and slow responses, by bucket.
    pub times: Vec<u32>,
}

/// The responses of one runner of the version that is rolled out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// The digest of its identifier.
    pub runner: u32,
    /// Its responses.
    pub counts: Counts,
}

/// Cumulative counts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// By route.
    pub routes: Vec<Route>,
    /// By runner.
    pub runners: Vec<Runner>,
}

impl Figures {
    /// Returns the responses of the version that is rolled out.
    #[must_use]
    pub fn candidate(&self) -> Counts {
        self.routes.iter().fold(Counts::default(), |mut sum, route| {
            sum.add(route.candidate);
            sum
        })
    }

    /// Returns the responses of the other versions.
    #[must_use]
    pub fn baseline(&self) -> Counts {
        self.routes.iter().fold(Counts::default(), |mut sum, route| {
            sum.add(route.baseline);
            sum
        })
    }

    fn route(&mut self, route: u32) -> &mut Route {
        let index = self.routes.iter().position(|known| known.route == route);
        let index = index.unwrap_or_else(|| {
            self.routes.push(Route { route, ..Route::default() });
            self.routes.len() - 1
        });
        &mut self.routes[index]
    }

    fn runner(&mut self, runner: u32) -> &mut Runner {
        let index = self.runners.iter().position(|known| known.runner == runner);
        let index = index.unwrap_or_else(|| {
            self.runners.push(Runner { runner, ..Runner::default() });
            self.runners.len() - 1
        });
        &mut self.runners[index]
    }

    fn combine(
        &mut self,
        other: &Self,
        counts: impl Fn(&mut Counts, Counts),
        times: impl Fn(u32, u32) -> u32,
    ) {
        for other in &other.routes {
            let route = self.route(other.route);
            counts(&mut route.candidate, other.candidate);
            counts(&mut route.baseline, other.baseline);
            let length = route.times.len().max(other.times.len()).min(BUCKETS);
            route.times.resize(length, 0);
            for (own, other) in route.times.iter_mut().zip(&other.times) {
                *own = times(*own, *other);
            }
        }
        for other in &other.runners {
            counts(&mut self.runner(other.runner).counts, other.counts);
        }
    }

    fn add(&mut self, other: &Self) {
        self.combine(other, Counts::add, u32::saturating_add);
    }

    fn merge(&mut self, other: &Self) {
        self.combine(other, Counts::merge, u32::max);
    }

    /// Returns the time from which on a response is slow, by route, where enough times of the baseline are known.
    pub(crate) fn slow_times(&self) -> IndexMap<u32, Duration> {
        let routes = self.routes.iter();
        routes.filter_map(|route| Some((route.route, slow_from(&route.times)?))).collect()
    }
}

/// The evidence of all routers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    own: Figures,
    reported: IndexMap<(Origin, u64), Figures>,
}

impl Evidence {
    /// Records a response of the baseline.
    pub(crate) fn record_baseline(&mut self, route: u32, took: Option<Duration>, is_bad: bool) {
        let route = self.own.route(route);
        route.baseline.record(is_bad);
        if let Some(took) = took {
            let bucket = bucket(took);
            if route.times.len() <= bucket {
                route.times.resize(bucket + 1, 0);
            }
            route.times[bucket] = route.times[bucket].saturating_add(1);
        }
    }

    /// Records a response of the version that is rolled out.
    pub(crate) fn record_candidate(&mut self, route: u32, runner: u32, is_bad: bool) {
        self.own.route(route).candidate.record(is_bad);
        self.own.runner(runner).counts.record(is_bad);
    }

    /// Records the figures that a process of a router, or a zone, has reported.
    pub(crate) fn record_report(&mut self, origin: &Origin, incarnation: u64, figures: &Figures) {
        let key = (origin.clone(), incarnation);
        self.reported.entry(key).or_default().merge(figures);
    }

    /// Returns the figures of this router.
    pub(crate) const fn own(&self) -> &Figures {
        &self.own
    }

    /// Returns the sum over the routers of this zone.
    pub(crate) fn zone(&self) -> Figures {
        self.sum(Origin::is_router)
    }

    /// Returns the sum over all routers.
    pub(crate) fn total(&self) -> Figures {
        self.sum(|_| true)
    }

    fn sum(&self, is_included: impl Fn(&Origin) -> bool) -> Figures {
        let mut sum = self.own.clone();
        for (_, figures) in self.reported.iter().filter(|((origin, _), _)| is_included(origin)) {
            sum.add(figures);
        }
        sum
    }
}

fn bucket(took: Duration) -> usize {
    let doublings = (took.as_secs_f64() / FIRST_BUCKET.as_secs_f64()).max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING).ceil() as usize).min(BUCKETS - 1)
}

/// Returns the time from which on a response is slow; `None` if too few times are known.
fn slow_from(times: &[u32]) -> Option<Duration> {
    let count = times.iter().fold(0, |sum: u32, times| sum.saturating_add(*times));
    if count < MIN_TIMES {
        return None;
    }
    let mut below = 0;
    let median = times.iter().position(|times| {
        below += times;
        below * 2 >= count
    })?;
    let median = FIRST_BUCKET.mul_f64((median as f64 / BUCKETS_PER_DOUBLING).exp2());
    Some(median.mul_f64(SLOW_FACTOR).max(median + MIN_SLOW_EXCESS))
}
