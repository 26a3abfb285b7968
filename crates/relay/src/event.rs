//! Structured log lines, limited in number per second.

use std::cell::RefCell;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;

use crate::Clock;

/// Maximum number of lines of one event per second, except for events of failed requests.
const MAX_LINES_PER_SECOND: u32 = 150;
/// Events that say how a request failed; their number is not limited.
const UNLIMITED_EVENTS: [&str; 4] = ["refused", "failed", "stream_broken", "rejected_request"];
/// The target of structured lines.
const TARGET: &str = "event";

/// One line of the log.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Line {
    /// The name of the event.
    pub event: &'static str,
    /// Milliseconds since the start of the process.
    pub at_ms: u64,
    /// The id of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// The route of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
    /// The workspace of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub workspace: Option<String>,
    /// The runner, router or dependency that the line is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub subject: Option<String>,
    /// The version of the configuration that the decision is based on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// The age of the state that the decision is based on, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
    /// The age of what is known about runners that leave, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub departures_age_ms: Option<u64>,
    /// The duration, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub took_ms: Option<u64>,
    /// The number of attempts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sends: Option<u32>,
    /// The outcome.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<String>,
    /// What kept a refused request from the engines.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<String>,
    /// Number of lines of this event that were dropped during the previous second in which it occurred.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub left_out: Option<u32>,
}

impl Line {
    /// Creates a line for an event.
    #[must_use]
    pub fn new(event: &'static str) -> Self {
        Self { event, ..Self::default() }
    }

    /// Sets the runner, router or dependency that the line is about.
    #[must_use]
    pub fn subject(mut self, subject: &str) -> Self {
        self.subject = Some(subject.to_owned());
        self
    }

    /// Sets the workspace.
    #[must_use]
    pub fn workspace(mut self, workspace: &str) -> Self {
        self.workspace = Some(workspace.to_owned());
        self
    }

    /// Sets the outcome.
    #[must_use]
    pub fn outcome(mut self, outcome: impl Into<String>) -> Self {
        self.outcome = Some(outcome.into());
        self
    }

    /// Sets the version of the configuration.
    #[must_use]
    pub const fn version(mut self, version: u64) -> Self {
        self.version = Some(version);
        self
    }

    /// Sets the age of the state that the decision is based on.
    #[must_use]
    pub fn age(mut self, age: Duration) -> Self {
        self.age_ms = Some(millis(age));
        self
    }
}

/// The number of lines of one event in the current second.
#[derive(Debug, Clone, Copy, Default)]
struct LineCount {
    second: u64,
    written: u32,
    left_out: u32,
}

/// Writes lines, up to a limit per event and second.
#[derive(Debug)]
pub struct Journal {
    clock: Clock,
    counts: RefCell<IndexMap<&'static str, LineCount>>,
}

impl Journal {
    /// Creates a journal.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self { clock, counts: RefCell::new(IndexMap::new()) }
    }

    /// Writes a line, unless the limit of its event is reached in this second.
    pub fn write(&self, mut line: Line) {
        let now = self.clock.now();
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(line.event).or_default();
        if now.as_secs() != count.second {
            line.left_out = Some(count.left_out).filter(|left_out| *left_out > 0);
            *count = LineCount { second: now.as_secs(), ..LineCount::default() };
        }
        if count.written >= MAX_LINES_PER_SECOND && !UNLIMITED_EVENTS.contains(&line.event) {
            count.left_out += 1;
            return;
        }
        count.written += 1;
        drop(counts);
        line.at_ms = millis(now);
        match serde_json::to_string(&line) {
            Ok(text) => log::info!(target: TARGET, "{text}"),
            Err(error) => log::error!("failed to write a line of event {}: {error}", line.event),
        }
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
