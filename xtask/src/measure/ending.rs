//! How the calls of a measurement ended.

use base::Verdict;
use rig::Record;
use serde::Serialize;

/// Numbers of calls by their ending.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Endings {
    /// Whole answers.
    pub(crate) answered: usize,
    /// Refusals with the verdict not-run.
    pub(crate) not_run: usize,
    /// Refusals with another verdict.
    pub(crate) other_verdict: usize,
    /// Neither whole nor refused.
    pub(crate) failed: usize,
}

impl Endings {
    /// Counts the endings of calls.
    pub(crate) fn of<'a>(records: impl IntoIterator<Item = &'a Record>) -> Self {
        let mut endings = Self::default();
        for record in records {
            let counter = match record.verdict {
                _ if record.is_success => &mut endings.answered,
                Some(Verdict::NotRun) => &mut endings.not_run,
                Some(_) => &mut endings.other_verdict,
                None => &mut endings.failed,
            };
            *counter += 1;
        }
        endings
    }
}
