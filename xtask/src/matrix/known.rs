//! The list of known failures, one entry a line: `test | command and seed | seen | issue`.

use rig::matrix::Report;

use crate::known;

/// The known failures.
#[derive(Debug, Default)]
pub(super) struct Known {
    entries: Vec<String>,
}

impl Known {
    /// Reads the list; a missing file is an empty list.
    pub(super) fn read() -> Self {
        Self { entries: known::entries() }
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
        self.entries.iter().find(|entry| known::test(entry) == test)
    }
}
