//! The list of known failures, one entry a line: `test | command and seed | seen | issue`.

use rig::matrix::Report;

use crate::known_failures;

/// The known failures.
#[derive(Debug, Default)]
pub(super) struct KnownFailures {
    entries: Vec<String>,
}

impl KnownFailures {
    /// Reads the list; a missing file is an empty list.
    pub(super) fn read() -> Self {
        Self { entries: known_failures::entries() }
    }

    /// Prints the known failures that happened, and returns whether there are no others.
    pub(super) fn check(&self, reports: &[Report]) -> bool {
        let mut all_known = true;
        for report in reports.iter().filter(|report| !report.is_passed()) {
            match self.find(report) {
                Some(entry) => println!("KNOWN RED: {entry}"),
                None => all_known = false,
            }
        }
        all_known
    }

    /// Finds the entry whose test is `matrix: CELL`.
    fn find(&self, report: &Report) -> Option<&String> {
        let name = format!("matrix: {}", report.cell);
        self.entries.iter().find(|entry| known_failures::test_name(entry) == name)
    }
}
