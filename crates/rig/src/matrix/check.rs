//! Checks of answers against the call and the runners' journals.

use base::Verdict;
use fake::journal;
use indexmap::IndexMap;
use serde::Deserialize;

use crate::Answer;
use crate::Call;
use crate::Failure;
use crate::matrix::Outcome;

/// The answer of a plain service to a non-idempotent call.
#[derive(Debug, Deserialize)]
struct Echo {
    echo: String,
}

/// Checks that an answer is complete and correct, a refusal, or, if `may_break`, a broken connection.
///
/// # Errors
/// Returns a description of the failed check.
pub fn check_answer(call: &Call, answer: &Answer, may_break: bool) -> Result<Outcome, String> {
    check_tokens(call, answer)?;
    if let Some(failure) = answer.failure {
        let is_disconnect = matches!(failure, Failure::Connect | Failure::NoHead | Failure::Broken);
        let is_expected = is_disconnect && may_break;
        return if is_expected {
            Ok(Outcome::Broken)
        } else {
            Err(format!("no answer: {failure}"))
        };
    }
    if answer.problem.is_some() {
        return Ok(Outcome::Refused);
    }
    let is_complete = match &call.prompt {
        Some(prompt) => answer.check_complete(&prompt.text, prompt.max_tokens).is_ok(),
        None => echo(answer).is_some_and(|echo| echo.as_bytes() == call.body),
    };
    let status = answer.status.map(|status| status.as_u16());
    let count = answer.tokens.len();
    if is_complete {
        Ok(Outcome::Complete)
    } else {
        Err(format!("incomplete: status {status:?}, {count} tokens, {:?}", answer.text()))
    }
}

fn check_tokens(call: &Call, answer: &Answer) -> Result<(), String> {
    let Some(prompt) = &call.prompt else { return Ok(()) };
    for (index, token) in (0..).zip(&answer.tokens) {
        if token.index != index || token.text != fake::engine::token(&prompt.text, index) {
            return Err(format!("token of another answer at index {index}"));
        }
    }
    Ok(())
}

fn echo(answer: &Answer) -> Option<String> {
    if !answer.is_success() {
        return None;
    }
    serde_json::from_slice::<Echo>(&answer.body).ok().map(|found| found.echo)
}

/// Checks that no runner received a call that was refused as not run.
///
/// A refusal without a request ID is compared with all requests of the same body. This is valid only for the first
/// answer to a call: afterwards, the journals may also contain repeats of the call with the same body.
///
/// # Errors
/// Returns a description of the failed check.
pub fn check_verdict(
    call: &Call,
    answer: &Answer,
    journals: &IndexMap<String, journal::Report>,
) -> Result<(), String> {
    let Some(problem) = &answer.problem else { return Ok(()) };
    if problem.verdict != Verdict::NotRun {
        return Ok(());
    }
    let received = match &problem.request {
        Some(request) => find(journals, |entry| entry.request.as_ref() == Some(request)),
        None => find(journals, |entry| entry.digest == digest(call)),
    };
    match received.as_slice() {
        [] => Ok(()),
        [first, ..] => {
            Err(format!("verdict not-run, but a runner received the request: {first:?}"))
        }
    }
}

/// Returns the number of executions of a call on all runners.
#[must_use]
pub fn execution_count(call: &Call, journals: &IndexMap<String, journal::Report>) -> usize {
    let wanted = digest(call);
    find(journals, |entry| entry.digest == wanted && entry.execution.is_some()).len()
}

/// Returns the digest that identifies the body of a call in journals.
pub(super) fn digest(call: &Call) -> String {
    format!("{:016x}", journal::digest(&call.body))
}

fn find(
    journals: &IndexMap<String, journal::Report>,
    is_match: impl Fn(&journal::Entry) -> bool,
) -> Vec<&journal::Entry> {
    let entries = journals.values().flat_map(|journal| &journal.requests);
    entries.filter(|entry| is_match(entry)).collect()
}
