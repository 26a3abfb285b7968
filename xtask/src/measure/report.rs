//! The figures of both trials, side by side and against the targets.

use serde::Serialize;

use super::cost::Cost;
use super::cost::usize_as_f64;
use super::trial::Outcome;
use super::trial::Times;
use crate::target;
use crate::target::Target;

/// Largest control traffic of a router, in bytes a second.
const CONTROL_BYTES: f64 = 11_000.0;
/// Largest processor time of control, in percent of a core.
const CONTROL_PERCENT: f64 = 3.4;
/// Least utilisation while work waits.
const UTILISATION: f64 = 0.97;
/// How many times smaller than the baseline's the gap has to be.
const GAP_FACTOR: f64 = 5.0;
/// Longest time to the first token for 95 in 100 calls, in milliseconds.
const FIRST_TOKEN_MS: f64 = 730.0;

/// The figures of both trials.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    /// The deployment.
    pub(crate) profile: &'static str,
    /// The seed of the load.
    pub(crate) seed: u64,
    /// Seconds of load in each trial.
    pub(crate) seconds: u64,
    /// The fleet.
    pub(crate) fleet: Outcome,
    /// Each router alone.
    pub(crate) baseline: Outcome,
}

impl Report {
    /// Prints the report and returns whether all targets were met.
    pub(crate) fn print(&self, json: bool) -> bool {
        target::print(self, &self.targets(), json, Self::print_figures)
    }

    fn print_figures(&self) {
        println!(
            "profile {}, seed {}, {} s of load in each trial",
            self.profile, self.seed, self.seconds
        );
        println!("{:<44} {:>14} {:>14}", "", "fleet", "baseline");
        let (fleet, baseline) = (&self.fleet, &self.baseline);
        row("largest gap, tokens per weight", fleet.gap_tokens, baseline.gap_tokens);
        row("stated bound, tokens per weight", fleet.bound_tokens.unwrap_or(0.0), f64::NAN);
        row(
            "largest charged gap, tokens per weight",
            fleet.charged_gap_tokens.unwrap_or(0.0),
            f64::NAN,
        );
        row("utilisation while work waits", fleet.utilisation, baseline.utilisation);
        row("  as the dispatcher counts it", fleet.own_utilisation.unwrap_or(0.0), f64::NAN);
        row("requests queued inside engines", fleet.queued_in_engines, baseline.queued_in_engines);
        row("control bytes/s, largest router", largest(fleet, bytes), largest(baseline, bytes));
        row("control bytes/s, mean", mean(fleet, bytes), mean(baseline, bytes));
        row("control frames/s, largest router", largest(fleet, frames), largest(baseline, frames));
        row(
            "control thread % of a core, largest",
            largest(fleet, control),
            largest(baseline, control),
        );
        row("control thread % of a core, mean", mean(fleet, control), mean(baseline, control));
        row(
            "whole process % of a core, largest",
            largest(fleet, process),
            largest(baseline, process),
        );
        row("memory MiB, largest", largest(fleet, memory), largest(baseline, memory));
        times(
            "first token ms, within share",
            fleet.first_token_within_share,
            baseline.first_token_within_share,
        );
        times(
            "first token ms, backlogged",
            fleet.first_token_backlogged,
            baseline.first_token_backlogged,
        );
        times("first token ms, long", fleet.first_token_long, baseline.first_token_long);
        times("between tokens ms", fleet.between_tokens, baseline.between_tokens);
        println!("{:<44} {:?}", "endings, fleet", fleet.endings);
        println!("{:<44} {:?}", "endings, baseline", baseline.endings);
    }

    fn targets(&self) -> Vec<Target> {
        let fleet = &self.fleet;
        let bound = fleet.bound_tokens.unwrap_or(0.0);
        let factor = self.baseline.gap_tokens / fleet.gap_tokens.max(f64::EPSILON);
        vec![
            Target::at_most("gap within its bound", fleet.gap_tokens, bound),
            Target::at_least("gap smaller than the baseline's by a factor", factor, GAP_FACTOR),
            Target::at_least("utilisation while work waits", fleet.utilisation, UTILISATION),
            Target::at_most("control bytes/s of each router", largest(fleet, bytes), CONTROL_BYTES),
            Target::at_most(
                "control % of a core of each router",
                largest(fleet, control),
                CONTROL_PERCENT,
            ),
            Target::at_most(
                "first token ms p95 within share",
                fleet.first_token_within_share.p95,
                FIRST_TOKEN_MS,
            ),
            Target::at_most(
                "calls neither whole nor refused",
                usize_as_f64(fleet.endings.failed),
                0.0,
            ),
        ]
    }
}

fn row(name: &str, fleet: f64, baseline: f64) {
    println!("{name:<44} {fleet:>14.3} {baseline:>14.3}");
}

fn times(name: &str, fleet: Times, baseline: Times) {
    row(&format!("{name}, p50"), fleet.p50, baseline.p50);
    row(&format!("{name}, p95 (n={})", fleet.count), fleet.p95, baseline.p95);
}

fn largest(outcome: &Outcome, part: fn(&Cost) -> f64) -> f64 {
    outcome.costs.iter().map(part).fold(0.0, f64::max)
}

fn mean(outcome: &Outcome, part: fn(&Cost) -> f64) -> f64 {
    outcome.costs.iter().map(part).sum::<f64>() / usize_as_f64(outcome.costs.len()).max(1.0)
}

const fn bytes(cost: &Cost) -> f64 {
    cost.bytes_per_second
}

const fn frames(cost: &Cost) -> f64 {
    cost.frames_per_second
}

const fn control(cost: &Cost) -> f64 {
    cost.control_percent
}

const fn process(cost: &Cost) -> f64 {
    cost.process_percent
}

const fn memory(cost: &Cost) -> f64 {
    cost.memory_mib
}
