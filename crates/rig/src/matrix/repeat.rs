//! Repeats of the call under test: the same idempotency key again, or a new model call.

use std::time::Duration;

use base::Verdict;
use tokio::time::Instant;

use crate::Answer;
use crate::matrix::Fault;
use crate::matrix::Outcome;
use crate::matrix::cell_run::CellRun;
use crate::matrix::check;
use crate::matrix::testbed::PROBE_WORKSPACE;

/// The time within which a repeated call must have a final outcome.
const REPEAT_TIMEOUT: Duration = Duration::from_secs(15);
/// The number of conflicts with an earlier call of the same key that the caller accepts as the final outcome.
const MAX_CONFLICTS: u32 = 3;
/// The delay between two repeats.
const REPEAT_DELAY: Duration = Duration::from_millis(400);
/// The status of a call whose key was sent before and has no known outcome.
const CONFLICT_STATUS: u16 = 409;

impl CellRun<'_> {
    /// Repeats a model call at another router if the connection to the entry broke.
    pub(super) async fn call_elsewhere(&mut self, first: &Answer) -> Vec<Answer> {
        if first.failure.is_none() {
            return Vec::new();
        }
        let caller = self.testbed.fleet.caller_of(PROBE_WORKSPACE, self.roles.other);
        let answer = caller.call(&self.call).await;
        if let Err(reason) = check::check_answer(&self.call, &answer, false) {
            self.record_failure(format!("the call at another router: {reason}"));
        }
        vec![answer]
    }

    /// Repeats a non-idempotent call with the same key, usually at another router, until it has a final outcome.
    pub(super) async fn repeat(&mut self) -> Vec<Answer> {
        let target = match self.cell.fault {
            Fault::EmptyRestart => self.roles.entry,
            _ => self.roles.other,
        };
        let caller = self.testbed.fleet.caller_of(PROBE_WORKSPACE, target);
        let deadline = Instant::now() + REPEAT_TIMEOUT;
        let (mut answers, mut conflicts) = (Vec::new(), 0);
        loop {
            let answer = caller.call(&self.call).await;
            let checked = check::check_answer(&self.call, &answer, false);
            let is_conflicting = is_conflict(&answer);
            answers.push(answer);
            conflicts += u32::from(is_conflicting);
            match checked {
                Err(reason) => {
                    self.record_failure(format!("the repeat: {reason}"));
                    return answers;
                }
                Ok(Outcome::Complete) => return answers,
                Ok(_) if conflicts >= MAX_CONFLICTS => return answers,
                Ok(_) if Instant::now() >= deadline => {
                    let last = answers.last().and_then(|answer| answer.problem.clone());
                    self.record_failure(format!("no final outcome of the key: {last:?}"));
                    return answers;
                }
                Ok(_) => tokio::time::sleep(REPEAT_DELAY).await,
            }
        }
    }
}

fn is_conflict(answer: &Answer) -> bool {
    let Some(problem) = &answer.problem else { return false };
    problem.status == CONFLICT_STATUS && problem.verdict == Verdict::MayHaveRun
}
