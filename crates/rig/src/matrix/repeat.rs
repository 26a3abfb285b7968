//! The calls that follow a struck call: the same key again, or a model call anew.

use std::time::Duration;

use base::Verdict;
use tokio::time::Instant;

use crate::Answer;
use crate::matrix::Fault;
use crate::matrix::Outcome;
use crate::matrix::cell_run::CellRun;
use crate::matrix::check;
use crate::matrix::testbed::PROBE_WORKSPACE;

/// How long a caller repeats a call before it must have a final outcome.
const REPEAT_TIMEOUT: Duration = Duration::from_secs(15);
/// How often the same call is said to have been sent before the caller takes that as final.
const MAX_CONFLICTS: u32 = 3;
/// Time between two repeats.
const REPEAT_DELAY: Duration = Duration::from_millis(400);
/// Status of a call whose key was sent before.
const CONFLICT_STATUS: u16 = 409;

impl CellRun<'_> {
    /// Calls a model once more elsewhere if the connection to the entry broke.
    pub(super) async fn call_elsewhere(&mut self, first: &Answer) -> Vec<Answer> {
        if first.failure.is_none() {
            return Vec::new();
        }
        let caller = self.testbed.fleet.caller_of(PROBE_WORKSPACE, self.roles.other);
        let answer = caller.call(&self.call).await;
        if let Err(fault) = check::check_answer(&self.call, &answer, false) {
            self.record_failure(format!("the call at another router: {fault}"));
        }
        vec![answer]
    }

    /// Sends the same key at another router until there is a final outcome.
    pub(super) async fn repeat(&mut self) -> Vec<Answer> {
        let target = match self.cell.fault {
            Fault::EmptyRestart => self.roles.entry,
            _ => self.roles.other,
        };
        let caller = self.testbed.fleet.caller_of(PROBE_WORKSPACE, target);
        let deadline = Instant::now() + REPEAT_TIMEOUT;
        let (mut answers, mut unknown) = (Vec::new(), 0);
        loop {
            let answer = caller.call(&self.call).await;
            let judged = check::check_answer(&self.call, &answer, false);
            let is_unknown = is_conflict(&answer);
            answers.push(answer);
            unknown += u32::from(is_unknown);
            match judged {
                Err(fault) => {
                    self.record_failure(format!("the repeat: {fault}"));
                    return answers;
                }
                Ok(Outcome::Complete) => return answers,
                Ok(_) if unknown >= MAX_CONFLICTS => return answers,
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
