//! The figures of each second and of the entire measurement.

use std::time::Duration;

use rig::Record;
use serde::Serialize;

use super::scenario;
use crate::measure::cost;
use crate::measure::ending::Endings;

/// Duration of the load before the first calls that are measured.
pub(super) const WARM_UP_TIME: Duration = Duration::from_secs(6);
/// Maximum time from the answer to an order until it is in force everywhere.
pub(super) const MAX_ORDER_DELAY: Duration = Duration::from_secs(3);
/// Duration of a step.
const STEP: Duration = Duration::from_secs(1);
/// Duration of the steps in which the gap is computed.
const GAP_STEP: Duration = Duration::from_millis(100);

/// The interval in which the zone was out of service, as times since the load began.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct OutOfService {
    /// The time of the answer to the first order.
    #[serde(serialize_with = "seconds")]
    #[serde(rename = "out")]
    pub(super) start: Duration,
    /// The time at which the second order was sent.
    #[serde(serialize_with = "seconds")]
    #[serde(rename = "back")]
    pub(super) end: Duration,
}

/// The running requests of all engines at one time.
#[derive(Debug, Clone)]
pub(super) struct Sample {
    /// The time since the load began.
    pub(super) at: Duration,
    /// Number of running requests of each engine.
    pub(super) running: Vec<u32>,
}

/// The figures of one second.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct Step {
    /// Its start, in seconds since the load began.
    pub(super) second: u64,
    /// Calls that ended in it.
    pub(super) endings: Endings,
    /// The p95 of the time to the first token of calls that began in it, of workspaces within their share, in
    /// milliseconds.
    pub(super) first_token_ms: f64,
    /// Tokens per weight that the first backlogged workspace received more than the second.
    pub(super) gap_tokens: f64,
    /// Busy slots of the engines in the other zones, as a fraction.
    pub(super) utilisation: f64,
    /// Busy slots of the engines in the zone, as a fraction.
    pub(super) zone_utilisation: f64,
    /// Number of requests started in the zone.
    pub(super) zone_starts: usize,
}

/// Returns the figures of all seconds.
pub(super) fn steps(
    records: &[Record],
    samples: &[Sample],
    starts: &[Duration],
    duration: Duration,
) -> Vec<Step> {
    (0..duration.as_secs()).map(|second| step(records, samples, starts, second)).collect()
}

fn step(records: &[Record], samples: &[Sample], starts: &[Duration], second: u64) -> Step {
    let from = Duration::from_secs(second);
    let to = from + STEP;
    let is_within = |at: Duration| at >= from && at < to;
    let ended = records.iter().filter(|record| is_within(record.started + record.total));
    let samples_within: Vec<&Sample> =
        samples.iter().filter(|sample| is_within(sample.at)).collect();
    let tokens_per_weight =
        |(name, weight): (&str, u32)| tokens(records, name, from, to) / f64::from(weight);
    Step {
        second,
        endings: Endings::of(ended),
        first_token_ms: first_token_p95(records, from, to),
        gap_tokens: tokens_per_weight(scenario::BACKLOGGED[0])
            - tokens_per_weight(scenario::BACKLOGGED[1]),
        utilisation: utilisation(&samples_within, false),
        zone_utilisation: utilisation(&samples_within, true),
        zone_starts: starts.iter().filter(|at| is_within(**at)).count(),
    }
}

/// Returns the p95 of the time to the first token, in milliseconds, of calls that began in an interval, of workspaces
/// within their share.
pub(super) fn first_token_p95(records: &[Record], from: Duration, to: Duration) -> f64 {
    let chosen = records.iter().filter(|record| {
        scenario::WITHIN_SHARE.contains(&record.workspace.as_str())
            && record.started >= from
            && record.started < to
    });
    let times: Vec<Duration> = chosen.filter_map(Record::first_token).collect();
    rig::percentile(&times, 95.0).map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
}

/// Returns the largest change, over any interval, of the difference between the two backlogged workspaces, in tokens
/// per weight.
pub(super) fn largest_gap(records: &[Record], duration: Duration) -> f64 {
    let steps = (duration.saturating_sub(WARM_UP_TIME)).as_millis() / GAP_STEP.as_millis();
    let mut difference = 0.0;
    let (mut low, mut high) = (0.0_f64, 0.0_f64);
    for step in 0..u32::try_from(steps).unwrap_or(u32::MAX) {
        let from = WARM_UP_TIME + GAP_STEP * step;
        let tokens_per_weight = |(name, weight): (&str, u32)| {
            tokens(records, name, from, from + GAP_STEP) / f64::from(weight)
        };
        difference +=
            tokens_per_weight(scenario::BACKLOGGED[0]) - tokens_per_weight(scenario::BACKLOGGED[1]);
        (low, high) = (low.min(difference), high.max(difference));
    }
    high - low
}

/// Returns the number of requests started in the zone while the order to take it out had to be in force everywhere.
pub(super) fn late_starts(starts: &[Duration], out_of_service: OutOfService) -> usize {
    starts
        .iter()
        .filter(|at| **at > out_of_service.start + MAX_ORDER_DELAY && **at < out_of_service.end)
        .count()
}

fn tokens(records: &[Record], workspace: &str, from: Duration, to: Duration) -> f64 {
    let own = records.iter().filter(|record| record.workspace == workspace);
    let overlapping =
        own.filter(|record| record.started < to && record.started + record.total >= from);
    let times = overlapping.flat_map(|record| record.tokens.iter().map(|at| record.started + *at));
    cost::usize_as_f64(times.filter(|at| *at >= from && *at < to).count())
}

fn utilisation(samples: &[&Sample], in_target_zone: bool) -> f64 {
    let mut busy = 0;
    let mut slots = 0;
    for sample in samples {
        for (engine, running) in sample.running.iter().enumerate() {
            if scenario::is_in_target_zone(engine) == in_target_zone {
                busy += running;
                slots += scenario::SLOTS;
            }
        }
    }
    f64::from(busy) / f64::from(slots.max(1))
}

fn seconds<S: serde::Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64(time.as_secs_f64())
}
