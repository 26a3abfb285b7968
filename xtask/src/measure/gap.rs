//! The fairness gap between workspaces that always have waiting work, as measured by their callers.

use std::time::Duration;

use rig::Record;

use super::profile::BACKLOGGED;
use super::profile::workspace_name;

/// Duration of the steps in which tokens are counted.
const STEP: Duration = Duration::from_millis(100);

/// Returns the largest difference of tokens per weight over all intervals of the window and all pairs of workspaces.
pub(crate) fn largest_gap(records: &[Record], from: Duration, to: Duration) -> f64 {
    let served: Vec<Vec<f64>> = BACKLOGGED
        .iter()
        .map(|backlogged| {
            cumulative(
                records,
                &workspace_name(backlogged.number),
                from,
                to,
                f64::from(backlogged.weight),
            )
        })
        .collect();
    let mut largest: f64 = 0.0;
    for (index, left) in served.iter().enumerate() {
        for right in &served[index + 1..] {
            largest = largest.max(largest_change(left, right));
        }
    }
    largest
}

/// Returns the tokens per weight that a workspace had received by the end of each step.
fn cumulative(
    records: &[Record],
    name: &str,
    from: Duration,
    to: Duration,
    weight: f64,
) -> Vec<f64> {
    let steps = usize::try_from((to - from).as_millis() / STEP.as_millis()).unwrap_or(0) + 1;
    let mut counts = vec![0.0; steps];
    for record in records.iter().filter(|record| record.workspace == name) {
        for token in &record.tokens {
            let at = record.started + *token;
            if at >= from && at < to {
                let step = usize::try_from((at - from).as_millis() / STEP.as_millis()).unwrap_or(0);
                counts[step] += 1.0 / weight;
            }
        }
    }
    let mut sum = 0.0;
    for count in &mut counts {
        sum += *count;
        *count = sum;
    }
    counts
}

/// Returns the largest change of the difference between two series over any interval.
fn largest_change(left: &[f64], right: &[f64]) -> f64 {
    let differences = left.iter().zip(right).map(|(a, b)| a - b).chain([0.0]);
    let (low, high) =
        differences.fold((0.0_f64, 0.0_f64), |(low, high), next| (low.min(next), high.max(next)));
    high - low
}
