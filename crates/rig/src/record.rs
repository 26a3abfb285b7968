//! The record of one call of a load.

use std::net::SocketAddr;
use std::time::Duration;

use base::Class;
use base::Verdict;

use crate::Answer;
use crate::Call;
use crate::Failure;
use crate::Mismatch;

/// The result of one call, without its text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The workspace.
    pub workspace: String,
    /// The service.
    pub service: String,
    /// The class.
    pub class: Class,
    /// The idempotency key.
    pub key: Option<String>,
    /// The start time of the call since the start of the load.
    pub started: Duration,
    /// The router that was called.
    pub router: Option<SocketAddr>,
    /// The status, if a response head arrived.
    pub status: Option<u16>,
    /// The verdict of a refusal.
    pub verdict: Option<Verdict>,
    /// The delay before a retry after a refusal.
    pub retry_after: Option<Duration>,
    /// The reason why the answer is missing or incomplete.
    pub failure: Option<Failure>,
    /// The difference between a model's answer and the expected one.
    pub mismatch: Option<Mismatch>,
    /// The arrival times of the tokens since the start of the call.
    pub tokens: Vec<Duration>,
    /// The total duration of the call.
    pub total: Duration,
    /// Whether the call succeeded with the expected answer.
    pub is_success: bool,
}

impl Record {
    /// Creates the record of a call and its answer.
    #[must_use]
    pub fn new(workspace: &str, started: Duration, call: &Call, answer: &Answer) -> Self {
        let check = |prompt: &crate::Prompt| answer.check_complete(&prompt.text, prompt.max_tokens);
        let mismatch = call.prompt.as_ref().and_then(|prompt| check(prompt).err());
        Self {
            workspace: workspace.to_owned(),
            service: call.service.clone(),
            class: call.effective_class(),
            key: call.key.clone(),
            started,
            router: answer.router,
            status: answer.status.map(|status| status.as_u16()),
            verdict: answer.verdict(),
            retry_after: answer.retry_after(),
            failure: answer.failure,
            tokens: answer.tokens.iter().map(|token| token.at).collect(),
            total: answer.total,
            is_success: answer.is_success() && mismatch.is_none(),
            mismatch,
        }
    }

    /// Returns the arrival time of the first token since the start of the call.
    #[must_use]
    pub fn first_token(&self) -> Option<Duration> {
        self.tokens.first().copied()
    }

    /// Returns the times between consecutive tokens.
    #[must_use]
    pub fn token_intervals(&self) -> Vec<Duration> {
        self.tokens.windows(2).map(|pair| pair[1].saturating_sub(pair[0])).collect()
    }
}
