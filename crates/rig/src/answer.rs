//! What a caller got.

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

/// Why there is no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Failure {
    /// No router could be connected to.
    Connect,
    /// The connection broke before the head of an answer.
    NoHead,
    /// The connection broke within an answer.
    Broken,
    /// The caller's time was over.
    Timeout,
    /// The caller hung up on purpose.
    HungUp,
}

/// How an answer differs from the right one.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Fault {
    /// It is no success.
    #[strum(to_string = "no success")]
    NoSuccess,
    /// It ended early or without its end mark.
    #[strum(to_string = "not whole: {tokens} tokens")]
    Incomplete {
        /// Tokens that arrived.
        tokens: u32,
    },
    /// A token is missing, doubled, out of order or wrong.
    #[strum(to_string = "wrong at token {index}")]
    Wrong {
        /// The first position that differs.
        index: u32,
    },
}

/// One token of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Its position.
    pub index: u32,
    /// Its text.
    pub text: String,
    /// When it arrived, since the call began.
    pub at: Duration,
}

/// A problem document.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Problem {
    /// The status.
    pub status: u16,
    /// What is wrong.
    #[serde(default)]
    pub detail: String,
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// When to come back.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// The request.
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

/// Everything that a caller got for one call.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The router that was called.
    pub router: Option<SocketAddr>,
    /// The status, if a head arrived.
    pub status: Option<StatusCode>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body as far as it arrived.
    pub body: Bytes,
    /// The tokens of a streamed answer.
    pub tokens: Vec<Token>,
    /// Whether a streamed answer ended by its end mark.
    pub is_done: bool,
    /// Why there is no whole answer.
    pub failure: Option<Failure>,
    /// The problem, as the body or as the last event of a stream.
    pub problem: Option<Problem>,
    /// When the head arrived, since the call began.
    pub head_at: Option<Duration>,
    /// How long the call took.
    pub total: Duration,
}

impl Answer {
    /// Returns whether the call succeeded and its answer ended properly.
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

    /// Returns when to come back after a refusal.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.problem.as_ref()?.retry_after_ms.map(Duration::from_millis)
    }

    /// Returns when the first token arrived, since the call began.
    #[must_use]
    pub fn first_token(&self) -> Option<Duration> {
        self.tokens.first().map(|token| token.at)
    }

    /// Returns the times between each token and the next.
    #[must_use]
    pub fn gaps(&self) -> Vec<Duration> {
        self.tokens.windows(2).map(|pair| pair[1].at.saturating_sub(pair[0].at)).collect()
    }

    /// Returns the body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Checks that this is the whole and only answer of an engine to a prompt.
    ///
    /// # Errors
    /// Returns the first fault.
    pub fn check_complete(&self, prompt: &str, max_tokens: u32) -> Result<(), Fault> {
        if !self.status.is_some_and(|status| status.is_success()) {
            return Err(Fault::NoSuccess);
        }
        if !self.is_stream() {
            return self.check_text(prompt, max_tokens);
        }
        for (index, token) in (0..).zip(&self.tokens) {
            let is_correct = token.index == index
                && index < max_tokens
                && token.text == fake::engine::token(prompt, index);
            if !is_correct {
                return Err(Fault::Wrong { index });
            }
        }
        let tokens = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
        let is_complete = tokens == max_tokens && self.is_success();
        if is_complete { Ok(()) } else { Err(Fault::Incomplete { tokens }) }
    }

    fn check_text(&self, prompt: &str, max_tokens: u32) -> Result<(), Fault> {
        if self.failure.is_some() {
            return Err(Fault::Incomplete { tokens: 0 });
        }
        let expected = fake::engine::answer(prompt, max_tokens);
        let found: Option<TextData> = serde_json::from_slice(&self.body).ok();
        let is_correct = found.is_some_and(|found| found.text == expected);
        if is_correct { Ok(()) } else { Err(Fault::Wrong { index: 0 }) }
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

/// A reader of an answer.
#[derive(Debug, Default)]
pub(crate) struct AnswerReader {
    pub(crate) answer: Answer,
    body: Vec<u8>,
    parser: Parser,
}

impl AnswerReader {
    /// Takes in a piece of the body.
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
            // A token behind the end mark would make the answer wrong.
            self.answer.is_done = false;
            self.answer.tokens.push(Token { index, text, at });
        }
    }

    /// Returns the answer once nothing more arrives.
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
