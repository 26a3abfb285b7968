//! The state of one runner, as a dispatcher sees it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Kind;
use crate::Load;
use crate::RunnerPlan;
use crate::chart::Event;
use crate::chart::Limit;
use crate::chart::State;
use crate::mean::Mean;
use crate::timing::ENGINE_ORPHAN_TIMEOUT;
use crate::timing::LEASE;
use crate::timing::MAX_TRANSIT;
use crate::timing::PLAIN_ORPHAN_TIMEOUT;
use crate::timing::SUSPECT_RETRY_DELAY;

/// Maximum of prompt prefixes recorded for each runner.
const MAX_PREFIXES: usize = 32;
/// Consecutive failed load reports after which a runner is suspect.
const FAILED_REPORTS_BEFORE_SUSPECT: u32 = 2;
/// Time for which ended requests are kept to interpret late load reports.
const ENDED_RETENTION: Duration = Duration::from_secs(10);
/// Samples of the first token's latency after which their mean counts as learned.
const MIN_FIRST_TOKEN_SAMPLES: u32 = 8;
/// A first token is slow only if its latency exceeds this multiple of the mean.
const SLOW_FACTOR: u64 = 4;
/// A first token is slow only if its latency exceeds the mean by more than this, in milliseconds.
const SLOW_MARGIN_MS: u64 = 1_000;

/// A load report with the time at which it was taken.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Report {
    pub(crate) taken: Duration,
    pub(crate) occupied: u32,
    pub(crate) warm: bool,
    sequence: u64,
}

/// The residence time of a request on a runner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Residence {
    pub(crate) granted: Duration,
    pub(crate) ended: Option<Duration>,
}

/// A runner, with the evidence on its state and limit.
#[derive(Debug)]
pub(crate) struct Runner {
    pub(crate) plan: RunnerPlan,
    pub(crate) state: State,
    pub(crate) report: Option<Report>,
    /// Whether requests that this dispatcher did not grant may run here.
    pub(crate) has_unknown_work: bool,
    learned_limit: u32,
    probation: bool,
    failed_reports: u32,
    ended: VecDeque<Residence>,
    /// When the entries of lost requests on this runner were lost.
    orphans: Vec<Duration>,
    mean_first_token: Mean,
    prefixes: VecDeque<u64>,
    suspect_since: Duration,
    /// When the learned limit was last reset; answers to earlier grants do not raise it.
    limit_reset: Duration,
}

impl Runner {
    pub(crate) fn new(plan: RunnerPlan, now: Duration) -> Self {
        let mut runner = Self {
            learned_limit: plan.cold_limit,
            state: State::initial(),
            report: None,
            has_unknown_work: false,
            probation: false,
            failed_reports: 0,
            ended: VecDeque::new(),
            orphans: Vec::new(),
            mean_first_token: Mean::default(),
            prefixes: VecDeque::new(),
            suspect_since: Duration::ZERO,
            limit_reset: Duration::ZERO,
            plan,
        };
        runner.apply_plan(now);
        runner
    }

    pub(crate) fn update_plan(&mut self, plan: RunnerPlan, now: Duration) {
        self.plan = plan;
        self.learned_limit =
            self.learned_limit.clamp(self.min_limit(), self.plan.warm_limit.max(self.min_limit()));
        self.apply_plan(now);
    }

    fn apply_plan(&mut self, now: Duration) {
        let out = matches!(self.state, State::Draining | State::Out | State::Gone);
        if self.plan.out && !out {
            self.apply_event(Event::TakenOut, now);
        } else if !self.plan.out && out {
            self.apply_event(Event::PutBack, now);
        }
    }

    const fn min_limit(&self) -> u32 {
        self.plan.cold_limit
    }

    pub(crate) fn apply_event(&mut self, event: Event, now: Duration) {
        let next = self.state.after(event);
        let shrinks = matches!(next.limit(), Limit::Cold | Limit::None);
        if next != self.state && shrinks {
            self.learned_limit = self.min_limit();
            self.limit_reset = now;
        }
        self.state = next;
    }

    /// Returns the limit that the state allows, before a partition's share is applied.
    pub(crate) fn limit(&self) -> u32 {
        let limit = match self.state.limit() {
            Limit::None => 0,
            Limit::Cold => self.min_limit(),
            Limit::Learned => self.learned_limit,
        };
        if self.probation { limit.min(1) } else { limit }
    }

    /// Returns whether the runner certainly accepts more requests than a cold one.
    pub(crate) fn is_warm(&self) -> bool {
        self.state == State::Warm
    }

    pub(crate) fn record_load(&mut self, load: Option<Load>, now: Duration) {
        let Some(load) = load else {
            self.failed_reports += 1;
            if self.failed_reports >= FAILED_REPORTS_BEFORE_SUSPECT {
                self.mark_suspect(now);
            }
            return;
        };
        let taken = now.saturating_sub(load.age);
        let stale =
            self.report.is_some_and(|last| load.sequence < last.sequence && taken <= last.taken);
        if stale {
            return;
        }
        self.failed_reports = 0;
        let occupied = load.running.saturating_add(load.waiting);
        self.report = Some(Report { taken, occupied, warm: load.warm, sequence: load.sequence });
        if self.state == State::Suspect && taken < self.suspect_since {
            return;
        }
        if self.state == State::Suspect {
            self.probation = true;
        }
        self.apply_event(if load.warm { Event::ReportWarm } else { Event::ReportCold }, now);
    }

    pub(crate) fn mark_suspect(&mut self, now: Duration) {
        self.suspect_since = now;
        self.apply_event(Event::Unreachable, now);
    }

    /// Allows a suspect runner without load reports to be tried again, one request at a time.
    pub(crate) fn retry_suspect(&mut self, kind: Kind, now: Duration) {
        let due = now >= self.suspect_since + SUSPECT_RETRY_DELAY;
        let is_unreported = kind == Kind::Plain && self.report.is_none();
        if self.state == State::Suspect && is_unreported && due {
            self.probation = true;
            self.apply_event(Event::Retry, now);
        }
    }

    pub(crate) fn on_answer(
        &mut self,
        kind: Kind,
        first_token_ms: Option<u32>,
        granted: Duration,
        now: Duration,
    ) {
        self.probation = false;
        if first_token_ms.is_some_and(|first| self.is_slow(u64::from(first))) {
            self.apply_event(Event::Slow, now);
            return;
        }
        if let Some(first) = first_token_ms {
            self.mean_first_token.add(u64::from(first));
        }
        let cold = self.report.map_or(kind == Kind::Engine, |report| !report.warm);
        if granted < self.limit_reset || cold {
            return;
        }
        self.apply_event(Event::Answered, now);
        self.raise_limit(now);
    }

    fn raise_limit(&mut self, now: Duration) {
        if self.state.limit() != Limit::Learned {
            return;
        }
        self.learned_limit =
            self.learned_limit.saturating_add(1).min(self.plan.warm_limit.max(self.min_limit()));
        if self.learned_limit >= self.plan.warm_limit {
            self.apply_event(Event::Grown, now);
        }
    }

    fn is_slow(&self, first_ms: u64) -> bool {
        let mean = self.mean_first_token.value();
        let learned = self.mean_first_token.samples() >= MIN_FIRST_TOKEN_SAMPLES;
        learned && first_ms > (mean * SLOW_FACTOR).max(mean + SLOW_MARGIN_MS)
    }

    pub(crate) fn record_prefix(&mut self, prefix: u64) {
        if prefix == 0 {
            return;
        }
        self.prefixes.retain(|known| *known != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.pop_front();
        }
    }

    pub(crate) fn has_prefix(&self, prefix: u64) -> bool {
        prefix != 0 && self.prefixes.contains(&prefix)
    }

    pub(crate) fn record_end(&mut self, granted: Duration, now: Duration) {
        self.ended.push_back(Residence { granted, ended: Some(now) });
        self.expire_ended(now);
    }

    pub(crate) fn record_orphan(&mut self, now: Duration) {
        self.orphans.push(now);
        self.has_unknown_work = true;
    }

    /// Removes ended requests that are too old to matter.
    pub(crate) fn expire_ended(&mut self, now: Duration) {
        while self
            .ended
            .front()
            .is_some_and(|residence| residence.ended.unwrap_or_default() + ENDED_RETENTION < now)
        {
            self.ended.pop_front();
        }
    }

    /// Returns the number of requests on the runner that are not among the counted ones.
    ///
    /// With `strict` it is the largest number that the last report allows, otherwise the smallest.
    pub(crate) fn foreign(
        &self,
        counted: &[Duration],
        strict: bool,
        kind: Kind,
        now: Duration,
    ) -> u32 {
        let orphan_timeout =
            if kind == Kind::Engine { ENGINE_ORPHAN_TIMEOUT } else { PLAIN_ORPHAN_TIMEOUT };
        let taken = self.report.map(|report| report.taken);
        let unseen = |lost: &&Duration| {
            taken.is_none_or(|at| at < **lost + LEASE) && now < **lost + orphan_timeout
        };
        let orphans = u32::try_from(self.orphans.iter().filter(unseen).count()).unwrap_or(u32::MAX);
        let Some(report) = self.report else { return orphans };
        let running = counted.iter().map(|granted| Residence { granted: *granted, ended: None });
        let residences = running.chain(self.ended.iter().copied());
        let own = residences.filter(|residence| residence.covers(report.taken, strict)).count();
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        report.occupied.saturating_sub(own).max(orphans)
    }

    /// Returns whether the last report was taken at or after `since`.
    pub(crate) fn reported_since(&self, since: Duration) -> bool {
        self.report.is_some_and(|report| report.taken >= since)
    }
}

impl Residence {
    /// Returns whether the request was certainly (`strict`) or possibly on the runner at a time.
    fn covers(self, at: Duration, strict: bool) -> bool {
        if strict {
            self.granted + MAX_TRANSIT <= at
                && self.ended.is_none_or(|ended| ended >= at + MAX_TRANSIT)
        } else {
            self.granted <= at && self.ended.is_none_or(|ended| ended + MAX_TRANSIT >= at)
        }
    }
}
