//! The decision whether a version is worse than those that it replaces.
//!
//! It is a CUSUM test of the log-likelihood ratio: the largest ratio over all starts of a window that ends now, of a rate of
//! bad responses that is higher than that of the baseline to the baseline's own rate. The baseline's rate is that of the
//! same window, so that faults of the whole service raise both.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use super::evidence::Counts;
use super::evidence::Figures;

/// The interval between two starts of windows.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(250);
/// The number of starts, beside that of the whole rollout.
const SNAPSHOTS: usize = 32;
/// The lowest rate of bad responses that the baseline is taken to have, which allows for some noise.
const MIN_RATE: f64 = 0.01;
/// The highest rate that a bad version is taken to have.
const MAX_RATE: f64 = 0.97;
/// The excesses over the baseline's rate that are tested. With the lowest rate, the first detects versions with more than 6 in
/// 100 bad responses within few of them, and the second those with more than 3 in 100.
const EXCESSES: [f64; 2] = [0.15, 0.05];
/// The responses of the baseline's overall rate that are added to those of a window.
const PRIOR_RESPONSES: f64 = 20.0;
/// The responses that are added to the baseline, and the bad ones among them, so that its rate is not taken to be low while few
/// are known.
const PRIOR_ALL: f64 = 10.0;
const PRIOR_BAD: f64 = 0.5;
/// The standard errors by which the baseline's rate may be higher than the one that was seen in a window.
const STANDARD_ERRORS: f64 = 1.5;
/// The ratio from which on a version is bad, about 60,000 to 1. With 3,000 to 1, one of 20 simulated services that were bad
/// as a whole was rolled back, since all windows and routes are tested all the time.
const ALARM: f64 = 11.0;
/// The least number of bad responses of a bad version.
const MIN_BAD: u32 = 3;
/// The bad responses that others than the worst runner must have given, and the ratio that these must have, or else that runner
/// may be at fault.
const MIN_BAD_OF_OTHERS: u32 = 2;
const ALARM_OF_OTHERS: f64 = 2.0;
/// The number of bad responses that decide whichever runners gave them, unless the others have given as many good ones.
const MAX_BAD_OF_ONE: u32 = 25;

/// The responses of the candidates and of the baseline, by route.
type Routes = IndexMap<u32, (Counts, Counts)>;

/// The counts at the starts of windows.
#[derive(Debug, Clone, Default)]
pub(crate) struct Windows {
    starts: VecDeque<(Duration, Routes)>,
}

/// The result of the test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Judgement {
    /// The version is not worse.
    Sound,
    /// One runner of it is worse, by its digest.
    Suspect(u32),
    /// The version is worse.
    Bad,
}

impl Windows {
    /// Records the counts as of now and returns the judgement on them.
    pub(crate) fn judge(&mut self, now: Duration, figures: &Figures) -> Judgement {
        let routes: Routes = figures
            .routes
            .iter()
            .map(|route| (route.route, (route.candidate, route.baseline)))
            .collect();
        let is_alarm = self.starts.iter().any(|(_, start)| is_alarm(&routes, start))
            || is_alarm(&routes, &Routes::new());
        let is_due = |(at, _): &(Duration, Routes)| now >= *at + SNAPSHOT_INTERVAL;
        if self.starts.back().is_none_or(is_due) {
            self.starts.push_back((now, routes));
            self.starts.drain(..self.starts.len().saturating_sub(SNAPSHOTS));
        }
        if is_alarm { attribute(figures) } else { Judgement::Sound }
    }
}

/// Decides whether the version or one of its runners is at fault.
fn attribute(figures: &Figures) -> Judgement {
    let Some(worst) = figures.runners.iter().max_by_key(|runner| runner.counts.bad) else {
        return Judgement::Sound;
    };
    let mut others = Counts::default();
    for runner in figures.runners.iter().filter(|runner| runner.runner != worst.runner) {
        others.add(runner.counts);
    }
    let baseline = figures.baseline();
    let usual = usual_rate(baseline, baseline);
    let are_bad = others.bad >= MIN_BAD_OF_OTHERS
        && EXCESSES.iter().any(|excess| log_ratio(others, usual, *excess) >= ALARM_OF_OTHERS);
    let is_decided =
        worst.counts.bad + others.bad >= MAX_BAD_OF_ONE && others.good() < MAX_BAD_OF_ONE;
    if are_bad || is_decided { Judgement::Bad } else { Judgement::Suspect(worst.runner) }
}

/// Returns whether the responses since a start show a higher rate of bad ones, on one route or over all.
fn is_alarm(routes: &Routes, start: &Routes) -> bool {
    EXCESSES.iter().any(|excess| {
        let (mut sum, mut bad) = (0.0, 0);
        for (route, (candidate, baseline)) in routes {
            let (candidate_before, baseline_before) = start.get(route).copied().unwrap_or_default();
            let candidate = candidate.since(candidate_before);
            let usual = usual_rate(baseline.since(baseline_before), *baseline);
            let ratio = log_ratio(candidate, usual, *excess);
            if candidate.bad >= MIN_BAD && ratio >= ALARM {
                return true;
            }
            sum += ratio;
            bad += candidate.bad;
        }
        bad >= MIN_BAD && sum >= ALARM
    })
}

/// Returns the baseline's rate of bad responses in a window.
fn usual_rate(window: Counts, all: Counts) -> f64 {
    let overall = (f64::from(all.bad) + PRIOR_BAD) / (f64::from(all.responses) + PRIOR_ALL);
    let overall = overall.max(MIN_RATE);
    let bad = f64::from(window.bad) + PRIOR_RESPONSES * overall;
    let responses = f64::from(window.responses) + PRIOR_RESPONSES;
    let rate = (bad / responses).max(MIN_RATE);
    let error = (rate * (1.0 - rate) / responses).max(0.0).sqrt();
    (rate + STANDARD_ERRORS * error).min(MAX_RATE)
}

/// Returns the logarithm of the likelihood of a rate above the usual one in proportion to that of the usual one.
fn log_ratio(counts: Counts, usual: f64, excess: f64) -> f64 {
    let worse = (usual + excess).min(MAX_RATE).max(usual);
    let bad = f64::from(counts.bad) * (worse / usual).ln();
    bad + f64::from(counts.good()) * ((1.0 - worse) / (1.0 - usual)).ln()
}
