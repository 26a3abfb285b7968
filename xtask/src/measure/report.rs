//! The figures of both modes, compared with each other and with the targets.

use serde::Serialize;

use super::cost::Cost;
use super::cost::usize_as_f64;
use super::measurement::Figures;
use super::measurement::Percentiles;
use crate::target;
use crate::target::Target;

/// Largest control traffic of a router, in bytes per second.
const MAX_CONTROL_BYTES: f64 = 11_000.0;
/// Largest processor time of control, in percent of a core.
const MAX_CONTROL_PERCENT: f64 = 3.4;
/// Smallest utilisation while work waits, as a fraction.
const MIN_UTILISATION: f64 = 0.97;
/// Smallest ratio of the baseline's gap to the fleet's gap.
const MIN_GAP_FACTOR: f64 = 5.0;
/// Largest p95 of the time to the first token, in milliseconds.
const MAX_FIRST_TOKEN_MS: f64 = 730.0;

/// The figures of both modes.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    /// The deployment.
    pub(crate) profile: &'static str,
    /// The seed of the load.
    pub(crate) seed: u64,
    /// Duration of the load in each mode, in seconds.
    pub(crate) seconds: u64,
    /// The figures of the fleet.
    pub(crate) fleet: Figures,
    /// The figures of the baseline, in which each router decides alone.
    pub(crate) baseline: Figures,
}

impl Report {
    /// Prints the report and returns whether all targets were met.
    pub(crate) fn print(&self, json: bool) -> bool {
        target::print(self, &self.targets(), json, Self::print_figures)
    }

    fn print_figures(&self) {
        println!(
            "profile {}, seed {}, {} s of load in each mode",
            self.profile, self.seed, self.seconds
        );
        println!("{:<44} {:>14} {:>14}", "", "fleet", "baseline");
        let (fleet, baseline) = (&self.fleet, &self.baseline);
        print_row("largest gap, tokens per weight", fleet.gap_tokens, baseline.gap_tokens);
        print_row("stated bound, tokens per weight", fleet.bound_tokens.unwrap_or(0.0), f64::NAN);
        print_row(
            "largest charged gap, tokens per weight",
            fleet.charged_gap_tokens.unwrap_or(0.0),
            f64::NAN,
        );
        print_row("utilisation while work waits", fleet.utilisation, baseline.utilisation);
        print_row(
            "  as the dispatcher counts it",
            fleet.dispatcher_utilisation.unwrap_or(0.0),
            f64::NAN,
        );
        print_row(
            "requests queued inside engines",
            fleet.queued_in_engines,
            baseline.queued_in_engines,
        );
        print_row(
            "control bytes/s, largest router",
            largest(fleet, bytes),
            largest(baseline, bytes),
        );
        print_row("control bytes/s, mean", mean(fleet, bytes), mean(baseline, bytes));
        print_row(
            "control frames/s, largest router",
            largest(fleet, frames),
            largest(baseline, frames),
        );
        print_row(
            "control thread % of a core, largest",
            largest(fleet, control),
            largest(baseline, control),
        );
        print_row(
            "control thread % of a core, mean",
            mean(fleet, control),
            mean(baseline, control),
        );
        print_row(
            "whole process % of a core, largest",
            largest(fleet, process),
            largest(baseline, process),
        );
        print_row("memory MiB, largest", largest(fleet, memory), largest(baseline, memory));
        print_percentiles(
            "first token ms, within share",
            fleet.first_token_within_share,
            baseline.first_token_within_share,
        );
        print_percentiles(
            "first token ms, backlogged",
            fleet.first_token_backlogged,
            baseline.first_token_backlogged,
        );
        print_percentiles(
            "first token ms, long",
            fleet.first_token_long,
            baseline.first_token_long,
        );
        print_percentiles("between tokens ms", fleet.between_tokens, baseline.between_tokens);
        println!("{:<44} {:?}", "endings, fleet", fleet.endings);
        println!("{:<44} {:?}", "endings, baseline", baseline.endings);
    }

    fn targets(&self) -> Vec<Target> {
        let fleet = &self.fleet;
        let bound = fleet.bound_tokens.unwrap_or(0.0);
        let factor = self.baseline.gap_tokens / fleet.gap_tokens.max(f64::EPSILON);
        vec![
            Target::at_most("gap within its bound", fleet.gap_tokens, bound),
            Target::at_least("gap smaller than the baseline's by a factor", factor, MIN_GAP_FACTOR),
            Target::at_least("utilisation while work waits", fleet.utilisation, MIN_UTILISATION),
            Target::at_most(
                "control bytes/s of each router",
                largest(fleet, bytes),
                MAX_CONTROL_BYTES,
            ),
            Target::at_most(
                "control % of a core of each router",
                largest(fleet, control),
                MAX_CONTROL_PERCENT,
            ),
            Target::at_most(
                "first token ms p95 within share",
                fleet.first_token_within_share.p95,
                MAX_FIRST_TOKEN_MS,
            ),
            Target::at_most(
                "calls neither whole nor refused",
                usize_as_f64(fleet.endings.failed),
                0.0,
            ),
        ]
    }
}

fn print_row(name: &str, fleet: f64, baseline: f64) {
    println!("{name:<44} {fleet:>14.3} {baseline:>14.3}");
}

fn print_percentiles(name: &str, fleet: Percentiles, baseline: Percentiles) {
    print_row(&format!("{name}, p50"), fleet.p50, baseline.p50);
    print_row(&format!("{name}, p95 (n={})", fleet.count), fleet.p95, baseline.p95);
}

fn largest(figures: &Figures, value: fn(&Cost) -> f64) -> f64 {
    figures.costs.iter().map(value).fold(0.0, f64::max)
}

fn mean(figures: &Figures, value: fn(&Cost) -> f64) -> f64 {
    figures.costs.iter().map(value).sum::<f64>() / usize_as_f64(figures.costs.len()).max(1.0)
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
