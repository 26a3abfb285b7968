//! Targets of measurements, and how reports are printed with them.

use serde::Serialize;

/// A target, the measured value and whether the target was met.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Target {
    name: &'static str,
    wanted: String,
    #[serde(rename = "seen")]
    measured: String,
    met: bool,
}

/// The JSON document of a report and its targets.
#[derive(Debug, Serialize)]
struct Document<'a, T> {
    report: &'a T,
    targets: &'a [Target],
}

impl Target {
    /// Creates a target for a value that must be at most `limit`.
    pub(crate) fn at_most(name: &'static str, measured: f64, limit: f64) -> Self {
        Self {
            name,
            wanted: format!("<= {limit:.2}"),
            measured: format!("{measured:.3}"),
            met: measured <= limit,
        }
    }

    /// Creates a target for a value that must be at least `limit`.
    pub(crate) fn at_least(name: &'static str, measured: f64, limit: f64) -> Self {
        Self {
            name,
            wanted: format!(">= {limit:.2}"),
            measured: format!("{measured:.3}"),
            met: measured >= limit,
        }
    }
}

/// Prints a report as JSON or by `print_figures`, then the targets, and returns whether all were met.
pub(crate) fn print<T: Serialize>(
    report: &T,
    targets: &[Target],
    json: bool,
    print_figures: impl FnOnce(&T),
) -> bool {
    if json {
        let document = Document { report, targets };
        println!("{}", serde_json::to_string_pretty(&document).unwrap_or_default());
    } else {
        print_figures(report);
        println!();
        for Target { name, wanted, measured, met } in targets {
            let verdict = if *met { "met" } else { "MISSED" };
            println!("{verdict:<7} {name:<46} {measured} (wanted {wanted})");
        }
    }
    targets.iter().all(|target| target.met)
}
