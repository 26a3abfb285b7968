//! Counts how the calls of a measurement ended.

use base::Verdict;
use rig::Record;
use serde::Serialize;

/// The numbers of calls by how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Endings {
    /// Complete answers.
    pub(crate) answered: usize,
    /// Refusals with the verdict not-run.
    pub(crate) not_run: usize,
    /// Refusals with another verdict.
    pub(crate) other_verdict: usize,
    /// Calls that were neither answered completely nor refused.
    pub(crate) failed: usize,
}

impl Endings {
    /// Counts how calls ended.
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
