//! The checks of answers against the call and the runners' journals.

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

/// Checks that an answer is whole and right, or a final refusal, or a connection that broke where one may.
///
/// # Errors
/// Returns what is wrong.
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
        Err(format!("not whole: status {status:?}, {count} tokens, {:?}", answer.text()))
    }
}

fn check_tokens(call: &Call, answer: &Answer) -> Result<(), String> {
    let Some(prompt) = &call.prompt else { return Ok(()) };
    for (index, token) in (0..).zip(&answer.tokens) {
        if token.index != index || token.text != fake::engine::token(&prompt.text, index) {
            return Err(format!("another answer's token at {index}"));
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

/// Checks that a refused call which is said not to have run is in no journal.
///
/// A refusal that names no request is taken for one of the whole call, so it is only of use for its first try.
///
/// # Errors
/// Returns what is wrong.
pub fn check_verdict(
    call: &Call,
    answer: &Answer,
    journals: &IndexMap<String, journal::Report>,
) -> Result<(), String> {
    let Some(problem) = &answer.problem else { return Ok(()) };
    if problem.verdict != Verdict::NotRun {
        return Ok(());
    }
    let attempts = match &problem.request {
        Some(request) => find(journals, |entry| entry.request.as_ref() == Some(request)),
        None => find(journals, |entry| entry.digest == digest(call)),
    };
    match attempts.as_slice() {
        [] => Ok(()),
        [first, ..] => Err(format!("called not-run, but a runner received it: {first:?}")),
    }
}

/// Returns how often a call was executed on all runners.
#[must_use]
pub fn execution_count(call: &Call, journals: &IndexMap<String, journal::Report>) -> usize {
    let wanted = digest(call);
    find(journals, |entry| entry.digest == wanted && entry.execution.is_some()).len()
}

/// Returns the digest by which journals know the body of a call.
pub(super) fn digest(call: &Call) -> String {
    format!("{:016x}", journal::digest(&call.body))
}

fn find(
    journals: &IndexMap<String, journal::Report>,
    is_wanted: impl Fn(&journal::Entry) -> bool,
) -> Vec<&journal::Entry> {
    let entries = journals.values().flat_map(|journal| &journal.requests);
    entries.filter(|entry| is_wanted(entry)).collect()
}
