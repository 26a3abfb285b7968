//! The stages of running a cell.

use std::time::Duration;

use base::RequestId;
use error_stack::Report;
use indexmap::IndexMap;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::Answer;
use crate::Call;
use crate::Error;
use crate::matrix;
use crate::matrix::Cell;
use crate::matrix::Kind;
use crate::matrix::Step;
use crate::matrix::Testbed;
use crate::matrix::check;
use crate::matrix::roles::POLL_INTERVAL;
use crate::matrix::roles::Roles;
use crate::matrix::testbed::PROBE_WORKSPACE;

/// The timeout for a complete answer to a call.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// The duration of a fault that lasts until it is cleared.
const FAULT_DURATION: Duration = Duration::from_millis(2_000);
/// The timeout for the journals of runners that have just crashed.
const JOURNAL_TIMEOUT: Duration = Duration::from_secs(5);
/// The upper bound of the delay between a step and the fault, in milliseconds.
const MAX_JITTER_MS: u64 = 20;

/// The journals of all runners by name.
pub(super) type Journals = IndexMap<String, fake::journal::Report>;

/// One run of a cell.
pub(super) struct CellRun<'a> {
    pub(super) testbed: &'a mut Testbed,
    pub(super) roles: Roles,
    pub(super) cell: Cell,
    pub(super) call: Call,
    pub(super) request: Option<RequestId>,
    pub(super) known_requests: Vec<RequestId>,
    pub(super) initial_appends: u64,
    pub(super) answer: Option<Answer>,
    pub(super) filler_calls: JoinSet<Answer>,
    calls: JoinSet<Answer>,
    early_repeats: JoinSet<Answer>,
    report: &'a mut matrix::Report,
}

impl<'a> CellRun<'a> {
    pub(super) fn new(
        testbed: &'a mut Testbed,
        roles: Roles,
        report: &'a mut matrix::Report,
    ) -> Self {
        let cell = report.cell;
        let text = testbed.unique_text(&cell.to_string());
        let call = cell.kind.call(&text).timeout(ANSWER_TIMEOUT);
        Self {
            testbed,
            roles,
            cell,
            call,
            request: None,
            known_requests: Vec::new(),
            initial_appends: 0,
            answer: None,
            filler_calls: JoinSet::new(),
            calls: JoinSet::new(),
            early_repeats: JoinSet::new(),
            report,
        }
    }

    /// Runs the cell and records all failures in the report.
    pub(super) async fn run(mut self) {
        if let Err(error) = self.run_stages().await {
            self.record_failure(format!("the cell was not completed: {error:#}"));
        }
    }

    /// Records a failed check in the report.
    pub(super) fn record_failure(&mut self, text: String) {
        self.report.failures.push(text);
    }

    async fn run_stages(&mut self) -> Result<(), Report<Error>> {
        self.prepare_step().await?;
        self.send_call();
        self.wait_for_step().await?;
        tokio::time::sleep(Duration::from_millis(self.cell.seed * 7 % MAX_JITTER_MS)).await;
        self.inject_fault().await?;
        self.repeat_during_fault();
        self.release_step().await?;
        if self.cell.fault.lasts_until_cleared() {
            tokio::time::sleep(FAULT_DURATION).await;
        }
        self.end_fault().await?;
        let answer = self.take_answer().await?;
        let may_break = self.cell.fault.breaks_caller_connection();
        match check::check_answer(&self.call, &answer, may_break) {
            Ok(outcome) => self.report.outcome = Some(outcome),
            Err(reason) => self.record_failure(format!("the call: {reason}")),
        }
        let repeats = match self.cell.kind {
            Kind::Model => self.call_elsewhere(&answer).await,
            Kind::Once => self.repeat().await,
        };
        let early = self.take_early_repeats().await;
        let answers: Vec<Answer> = [answer].into_iter().chain(repeats).chain(early).collect();
        let journals = self.journals().await?;
        self.check_journals(&answers, &journals);
        Ok(())
    }

    /// Sends the call under test to the entry.
    fn send_call(&mut self) {
        let caller = self.testbed.fleet.caller_of(PROBE_WORKSPACE, self.roles.entry);
        let call = self.call.clone();
        self.calls.spawn(async move { caller.call(&call).await });
    }

    /// Sends the same key to the third router during the fault; with even seeds also before the key is claimed.
    fn repeat_during_fault(&mut self) {
        let is_claimed = !matches!(self.cell.step, Step::Accepted | Step::Queued | Step::Granted);
        let is_early = is_claimed || self.cell.seed.is_multiple_of(2);
        if self.cell.kind == Kind::Once && is_early {
            let caller = self.testbed.fleet.caller_of(PROBE_WORKSPACE, self.roles.other);
            let call = self.call.clone();
            self.early_repeats.spawn(async move { caller.call(&call).await });
        }
    }

    /// Waits for the answers to the repeat during the fault and checks them.
    async fn take_early_repeats(&mut self) -> Vec<Answer> {
        let answers = std::mem::take(&mut self.early_repeats).join_all().await;
        for answer in &answers {
            if let Err(reason) = check::check_answer(&self.call, answer, false) {
                self.record_failure(format!("the repeat during the fault: {reason}"));
            }
        }
        answers
    }

    /// Waits for the answer to the call under test.
    pub(super) async fn take_answer(&mut self) -> Result<Answer, Report<Error>> {
        if let Some(answer) = self.answer.take() {
            return Ok(answer);
        }
        let lost = || Report::new(Error::Timeout("the answer to the call".to_owned()));
        let answer = self.calls.join_next().await.ok_or_else(lost)?;
        answer.map_err(|_| lost())
    }

    fn check_journals(&mut self, answers: &[Answer], journals: &Journals) {
        let names_request = |answer: &Answer| {
            answer.problem.as_ref().is_some_and(|problem| problem.request.is_some())
        };
        for (index, answer) in answers.iter().enumerate() {
            if index > 0 && !names_request(answer) {
                continue;
            }
            if let Err(reason) = check::check_verdict(&self.call, answer, journals) {
                self.record_failure(reason);
            }
        }
        if self.cell.kind == Kind::Model {
            return;
        }
        let executions = check::execution_count(&self.call, journals);
        let mut served = answers.iter().filter(|answer| answer.is_success());
        let first = served.next();
        if executions > 1 || (first.is_some() && executions == 0) {
            self.record_failure(format!(
                "executed {executions} times, answered: {}",
                first.is_some()
            ));
        }
        let Some(first) = first else { return };
        if let Some(other) = served.find(|answer| answer.body != first.body) {
            let texts = (first.text(), other.text());
            self.record_failure(format!("the key got two answers: {texts:?}"));
        }
    }

    /// Reads the journals of all runners, and retries while a runner doesn't answer.
    pub(super) async fn journals(&self) -> Result<Journals, Report<Error>> {
        let deadline = Instant::now() + JOURNAL_TIMEOUT;
        loop {
            match self.testbed.fleet.journals().await {
                Err(error) if Instant::now() >= deadline => return Err(error),
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
                Ok(journals) => return Ok(journals),
            }
        }
    }

    /// Returns a runner that has received the call, with the number of tokens that it has generated.
    pub(super) async fn runner_of_call(&self) -> Result<Option<ServingRunner>, Report<Error>> {
        let digest = check::digest(&self.call);
        let journals = self.journals().await?;
        let found = journals.into_iter().find_map(|(name, journal)| {
            let entry = journal.requests.into_iter().rfind(|entry| entry.digest == digest)?;
            Some(ServingRunner { name, tokens: entry.tokens })
        });
        Ok(found)
    }
}

/// A runner that has received the call.
pub(super) struct ServingRunner {
    pub(super) name: String,
    pub(super) tokens: u64,
}
