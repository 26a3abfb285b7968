//! The answer to a call, as a caller received it, and its checks.

use std::net::SocketAddr;
use std::time::Duration;

use base::Verdict;
use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use serde::Deserialize;
use strum::Display;

use crate::events::Event;
use crate::events::Parser;

/// The reason why an answer is missing or incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Failure {
    /// No router accepted a connection.
    Connect,
    /// The connection broke before the response head arrived.
    NoHead,
    /// The connection broke while the response body was being received.
    Broken,
    /// The caller's timeout expired.
    Timeout,
    /// The caller closed the connection on purpose.
    HungUp,
}

/// The difference between an answer and the expected one.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Mismatch {
    /// The status is not a success.
    #[strum(to_string = "no success")]
    NoSuccess,
    /// The answer ended early or without its end mark.
    #[strum(to_string = "not whole: {tokens} tokens")]
    Incomplete {
        /// The number of tokens that arrived.
        tokens: u32,
    },
    /// A token is missing, duplicated, out of order or has the wrong text.
    #[strum(to_string = "wrong at token {index}")]
    WrongToken {
        /// The index of the first token that differs.
        index: u32,
    },
}

/// One token of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// The index in the answer.
    pub index: u32,
    /// The text.
    pub text: String,
    /// The arrival time since the start of the call.
    pub at: Duration,
}

/// A problem document (RFC 9457) that refuses a call or reports its failure.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Problem {
    /// The status.
    pub status: u16,
    /// A description of the problem.
    #[serde(default)]
    pub detail: String,
    /// The verdict on whether the call may have run.
    pub verdict: Verdict,
    /// The delay before a retry, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// The ID of the request.
    #[serde(default)]
    pub request: Option<String>,
}

#[derive(Deserialize)]
struct TokenData {
    index: u32,
    text: String,
}

#[derive(Deserialize)]
struct TextData {
    text: String,
}

/// The answer to one call, as far as it arrived.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The router that was called.
    pub router: Option<SocketAddr>,
    /// The status, if a response head arrived.
    pub status: Option<StatusCode>,
    /// The response headers.
    pub headers: HeaderMap,
    /// The body as far as it arrived.
    pub body: Bytes,
    /// The tokens of a streamed answer.
    pub tokens: Vec<Token>,
    /// Whether a streamed answer ended with its end mark.
    pub is_done: bool,
    /// The reason why the answer is missing or incomplete.
    pub failure: Option<Failure>,
    /// The problem document, from the body or from the last event of a stream.
    pub problem: Option<Problem>,
    /// The arrival time of the response head since the start of the call.
    pub head_at: Option<Duration>,
    /// The total duration of the call.
    pub total: Duration,
}

impl Answer {
    /// Returns whether the call succeeded and its answer is complete.
    #[must_use]
    pub fn is_success(&self) -> bool {
        let is_success_status = self.status.is_some_and(|status| status.is_success());
        let ended = !self.is_stream() || self.is_done;
        is_success_status && ended && self.failure.is_none() && self.problem.is_none()
    }

    /// Returns the verdict of a refusal.
    #[must_use]
    pub fn verdict(&self) -> Option<Verdict> {
        self.problem.as_ref().map(|problem| problem.verdict)
    }

    /// Returns the delay before a retry after a refusal.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.problem.as_ref()?.retry_after_ms.map(Duration::from_millis)
    }

    /// Returns the arrival time of the first token since the start of the call.
    #[must_use]
    pub fn first_token(&self) -> Option<Duration> {
        self.tokens.first().map(|token| token.at)
    }

    /// Returns the times between consecutive tokens.
    #[must_use]
    pub fn token_intervals(&self) -> Vec<Duration> {
        self.tokens.windows(2).map(|pair| pair[1].at.saturating_sub(pair[0].at)).collect()
    }

    /// Returns the body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Checks that this is the complete answer of an engine to a prompt, without any other token.
    ///
    /// # Errors
    /// Returns the first difference from the expected answer.
    pub fn check_complete(&self, prompt: &str, max_tokens: u32) -> Result<(), Mismatch> {
        if !self.status.is_some_and(|status| status.is_success()) {
            return Err(Mismatch::NoSuccess);
        }
        if !self.is_stream() {
            return self.check_text(prompt, max_tokens);
        }
        for (index, token) in (0..).zip(&self.tokens) {
            let is_correct = token.index == index
                && index < max_tokens
                && token.text == fake::engine::token(prompt, index);
            if !is_correct {
                return Err(Mismatch::WrongToken { index });
            }
        }
        let tokens = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
        let is_complete = tokens == max_tokens && self.is_success();
        if is_complete { Ok(()) } else { Err(Mismatch::Incomplete { tokens }) }
    }

    fn check_text(&self, prompt: &str, max_tokens: u32) -> Result<(), Mismatch> {
        if self.failure.is_some() {
            return Err(Mismatch::Incomplete { tokens: 0 });
        }
        let expected = fake::engine::answer(prompt, max_tokens);
        let found: Option<TextData> = serde_json::from_slice(&self.body).ok();
        let is_correct = found.is_some_and(|found| found.text == expected);
        if is_correct { Ok(()) } else { Err(Mismatch::WrongToken { index: 0 }) }
    }

    fn is_stream(&self) -> bool {
        self.has_type("text/event-stream")
    }

    fn has_type(&self, expected: &str) -> bool {
        let content_type = self.headers.get(http::header::CONTENT_TYPE);
        let text = content_type.and_then(|value| value.to_str().ok());
        text.is_some_and(|text| text.starts_with(expected))
    }
}

/// Collects an answer from the parts of a response.
#[derive(Debug, Default)]
pub(crate) struct AnswerReader {
    pub(crate) answer: Answer,
    body: Vec<u8>,
    parser: Parser,
}

impl AnswerReader {
    /// Appends a part of the body and handles the events that it completes.
    pub(crate) fn receive_body(&mut self, bytes: &[u8], at: Duration) {
        self.body.extend_from_slice(bytes);
        if !self.answer.is_stream() {
            return;
        }
        for event in self.parser.feed(bytes) {
            self.handle_event(&event, at);
        }
    }

    fn handle_event(&mut self, event: &Event, at: Duration) {
        if event.kind == "error" {
            self.answer.problem = serde_json::from_str(&event.data).ok();
        } else if event.data == "[DONE]" {
            self.answer.is_done = true;
        } else if let Ok(TokenData { index, text }) = serde_json::from_str(&event.data) {
            // A token after the end mark makes the answer incomplete.
            self.answer.is_done = false;
            self.answer.tokens.push(Token { index, text, at });
        }
    }

    /// Returns the answer after the last part of the body.
    pub(crate) fn finish(mut self, failure: Option<Failure>, total: Duration) -> Answer {
        self.answer.failure = failure;
        self.answer.total = total;
        self.answer.body = Bytes::from(self.body);
        if self.answer.has_type("application/problem+json") {
            self.answer.problem = serde_json::from_slice(&self.answer.body).ok();
        }
        self.answer
    }
}
