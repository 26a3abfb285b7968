//! The list of known failures, one entry a line: `test | command and seed | seen | issue`.

use std::fs;

use rig::matrix::Report;

/// The file, from the root of the project.
const FILE: &str = "KNOWN-RED.txt";

/// The known failures.
#[derive(Debug, Default)]
pub(super) struct Known {
    entries: Vec<String>,
}

impl Known {
    /// Reads the list; a missing file is an empty list.
    pub(super) fn read() -> Self {
        let text = fs::read_to_string(FILE).unwrap_or_default();
        let lines = text.lines().map(str::trim);
        let entries = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
        Self { entries: entries.map(str::to_owned).collect() }
    }

    /// Prints the known failures that happened, and returns whether there are no others.
    pub(super) fn judge(&self, reports: &[Report]) -> bool {
        let mut is_green = true;
        for report in reports.iter().filter(|report| !report.is_passed()) {
            match self.find(report) {
                Some(entry) => println!("KNOWN RED: {entry}"),
                None => is_green = false,
            }
        }
        is_green
    }

    /// Finds the entry whose test is `matrix: CELL`.
    fn find(&self, report: &Report) -> Option<&String> {
        let test = format!("matrix: {}", report.cell);
        self.entries.iter().find(|entry| entry.split('|').next().map(str::trim) == Some(&test))
    }
}
