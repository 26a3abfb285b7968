//! Prints the results of the cells.

use rig::matrix::Cell;
use rig::matrix::Outcome;
use rig::matrix::Report;

/// Returns the line of a cell that has been run.
pub(super) fn line(report: &Report) -> String {
    let seconds = report.took.as_secs_f64();
    let cell = report.cell;
    if !report.is_passed() {
        let seed = cell.seed;
        return format!(
            "FAILED {cell}, seed {seed} ({seconds:.1} s): {}",
            report.failures.join("; ")
        );
    }
    let outcome = report.outcome.map_or_else(String::new, |outcome| outcome.to_string());
    format!("passed {cell}: {outcome} ({seconds:.1} s)")
}

/// Prints one line for each cell, then the totals.
pub(super) fn print(cells: &[Cell], reports: &[Report]) {
    println!("\nfault                step        call   result");
    for cell in cells {
        let report = reports.iter().find(|report| report.cell == *cell);
        let result = result(cell, report);
        let (fault, step, kind) =
            (cell.fault.to_string(), cell.step.to_string(), cell.kind.to_string());
        println!("{fault:<20} {step:<11} {kind:<6} {result}");
    }
    let passed = reports.iter().filter(|report| report.is_passed()).count();
    let not_applicable = cells.iter().filter(|cell| cell.inapplicable_reason().is_some()).count();
    println!("\npassed {passed}, failed {}, n.a. {not_applicable}", reports.len() - passed);
    for outcome in [Outcome::Complete, Outcome::Refused, Outcome::Broken] {
        let is_counted = |report: &&Report| report.is_passed() && report.outcome == Some(outcome);
        println!("of the passed, {outcome}: {}", reports.iter().filter(is_counted).count());
    }
}

fn result(cell: &Cell, report: Option<&Report>) -> String {
    match (cell.inapplicable_reason(), report) {
        (Some(reason), _) => format!("n.a.: {reason}"),
        (None, None) => "not run".to_owned(),
        (None, Some(report)) if report.is_passed() => {
            let outcome = report.outcome.map_or_else(String::new, |outcome| outcome.to_string());
            format!("passed ({outcome})")
        }
        (None, Some(report)) => format!("FAILED: {}", report.failures.join("; ")),
    }
}
