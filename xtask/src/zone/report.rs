//! The report of a measurement, its table and its targets.

use serde::Serialize;

use super::step::OutOfService;
use super::step::Step;
use crate::measure::cost;
use crate::measure::ending::Endings;
use crate::target;
use crate::target::Target;

/// Largest p95 of the time to the first token of workspaces within their share, in milliseconds.
const MAX_FIRST_TOKEN_MS: f64 = 730.0;

/// The result of a measurement.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Report {
    /// The seed of the load.
    pub(super) seed: u64,
    /// The duration of the load, in seconds.
    pub(super) seconds: u64,
    /// The interval in which the zone was out of service.
    #[serde(rename = "orders")]
    pub(super) out_of_service: OutOfService,
    /// The bound on the gap that the dispatcher reports, in tokens per weight.
    pub(super) bound_tokens: f64,
    /// The largest gap between the two backlogged workspaces as measured by callers, in tokens per weight.
    pub(super) gap_tokens: f64,
    /// The p95 of the time to the first token of workspaces within their share after the warm-up, in milliseconds.
    pub(super) first_token_ms: f64,
    /// The numbers of calls by how they ended.
    pub(super) endings: Endings,
    /// Number of requests started in the zone while the order to take it out had to be in force everywhere.
    pub(super) late_starts: usize,
    /// Number of crashes of engines.
    #[serde(rename = "falls")]
    pub(super) crashes: u64,
    /// The figures of each second.
    pub(super) steps: Vec<Step>,
}

impl Report {
    /// Prints the report and returns whether all targets were met.
    pub(super) fn print(&self, json: bool) -> bool {
        target::print(self, &self.targets(), json, Self::print_steps)
    }

    fn print_steps(&self) {
        println!(
            "seed {}, {} s of load, out at {:.1} s, back at {:.1} s",
            self.seed,
            self.seconds,
            self.out_of_service.start.as_secs_f64(),
            self.out_of_service.end.as_secs_f64()
        );
        println!(
            "{:>6} {:>9} {:>8} {:>6} {:>6} {:>12} {:>8} {:>8} {:>10} {:>12}",
            "second",
            "answered",
            "not-run",
            "other",
            "failed",
            "first token",
            "gap",
            "used",
            "zone used",
            "zone starts"
        );
        for step in &self.steps {
            let Endings { answered, not_run, other_verdict, failed } = step.endings;
            println!(
                "{:>6} {answered:>9} {not_run:>8} {other_verdict:>6} {failed:>6} {:>12.0} {:>8.1} {:>8.3} {:>10.3} {:>12}",
                step.second,
                step.first_token_ms,
                step.gap_tokens,
                step.utilisation,
                step.zone_utilisation,
                step.zone_starts
            );
        }
        println!("endings: {:?}", self.endings);
        println!(
            "largest gap of the pair: {:.1} tokens per weight (the dispatcher states at most {:.1})",
            self.gap_tokens, self.bound_tokens
        );
    }

    fn targets(&self) -> Vec<Target> {
        let lost = self.endings.failed + self.endings.other_verdict;
        vec![
            Target::at_most("calls lost or cut", cost::usize_as_f64(lost), 0.0),
            Target::at_most(
                "first token ms p95 within share",
                self.first_token_ms,
                MAX_FIRST_TOKEN_MS,
            ),
            Target::at_most(
                "new work at the zone behind 3 s",
                cost::usize_as_f64(self.late_starts),
                0.0,
            ),
            Target::at_most("engines that fell over", cost::u64_as_f64(self.crashes), 0.0),
        ]
    }
}
