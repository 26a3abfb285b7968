//! The table of results.

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
    let ending = report.outcome.map_or_else(String::new, |ending| ending.to_string());
    format!("passed {cell}: {ending} ({seconds:.1} s)")
}

/// Prints one line for each cell and the totals.
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
    let missing = cells.iter().filter(|cell| cell.inapplicable_reason().is_some()).count();
    println!("\npassed {passed}, failed {}, n.a. {missing}", reports.len() - passed);
    for ending in [Outcome::Complete, Outcome::Refused, Outcome::Broken] {
        let is_counted = |report: &&Report| report.is_passed() && report.outcome == Some(ending);
        println!("of the passed, {ending}: {}", reports.iter().filter(is_counted).count());
    }
}

fn result(cell: &Cell, report: Option<&Report>) -> String {
    match (cell.inapplicable_reason(), report) {
        (Some(reason), _) => format!("n.a.: {reason}"),
        (None, None) => "not run".to_owned(),
        (None, Some(report)) if report.is_passed() => {
            let ending = report.outcome.map_or_else(String::new, |ending| ending.to_string());
            format!("passed ({ending})")
        }
        (None, Some(report)) => format!("FAILED: {}", report.failures.join("; ")),
    }
}
