//! Explains what happened to one request, based on the log lines of routers.

use std::fmt::Write as _;

use indexmap::IndexMap;
use serde::Deserialize;

/// Events that report the failure of a request or of one of its attempts.
const FAILURES: [&str; 9] = [
    "rejected_request",
    "connect_failed",
    "send_failed",
    "attempt_broken",
    "rejected",
    "invalid_answer",
    "stream_broken",
    "refused",
    "failed",
];
/// The event that a process logs when it starts.
const START_EVENT: &str = "started";
/// The interval, in milliseconds, within which failures of other requests count as related.
const RELATED_WINDOW_MS: u64 = 1_000;
/// Events that change the state on which a router bases its decisions about any request.
const STATE_EVENTS: [&str; 13] = [
    "configuration_adopted",
    "zones_out",
    "load",
    "contention",
    "runner_leaving",
    "read_failed",
    "runner_paused",
    "runner_resumed",
    "store_lost",
    "store_regained",
    "store_restored",
    "cause_quarantined",
    "cause_released",
];

/// A parsed log line.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct Entry {
    event: String,
    at_ms: u64,
    request: Option<String>,
    route: Option<String>,
    workspace: Option<String>,
    subject: Option<String>,
    version: Option<u64>,
    age_ms: Option<u64>,
    took_ms: Option<u64>,
    sends: Option<u32>,
    outcome: Option<String>,
}

impl Entry {
    fn is_failure(&self) -> bool {
        FAILURES.contains(&self.event.as_str())
    }

    /// Returns the inputs and the outcome, as far as the line contains them.
    fn details(&self) -> String {
        let texts = [&self.subject, &self.outcome].into_iter().flatten();
        let mut details: Vec<String> = texts.filter(|text| !text.is_empty()).cloned().collect();
        let numbers = [
            ("version", self.version),
            ("age in ms", self.age_ms),
            ("took ms", self.took_ms),
            ("sends", self.sends.map(u64::from)),
        ];
        let known = numbers.iter().filter_map(|(name, number)| Some((name, (*number)?)));
        details.extend(known.map(|(name, number)| format!("{name} {number}")));
        details.join(", ")
    }
}

/// The log lines of all processes, from which a request is explained.
#[derive(Debug, Default)]
pub(crate) struct Explanation {
    request: String,
    processes: IndexMap<String, Vec<Entry>>,
    unreadable: usize,
}

impl Explanation {
    /// Creates an explanation of a request without any lines.
    pub(crate) fn new(request: &str) -> Self {
        Self { request: request.to_owned(), ..Self::default() }
    }

    /// Adds log lines; the last word before a line's JSON object names its process, otherwise `source` does.
    pub(crate) fn read(&mut self, source: &str, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let begin = line.find('{').unwrap_or_default();
            let (before, object) = line.split_at(begin);
            match serde_json::from_str::<Entry>(object) {
                Ok(entry) => {
                    let process = before.split_whitespace().last().unwrap_or(source);
                    self.processes.entry(process.to_owned()).or_default().push(entry);
                }
                Err(_) => self.unreadable += 1,
            }
        }
    }

    /// Returns whether any line belongs to the request.
    pub(crate) fn is_found(&self) -> bool {
        self.processes.values().flatten().any(|entry| self.matches_request(entry))
    }

    /// Returns what happened, the first cause, and the state that the router had learnt before.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        for (process, entries) in &self.processes {
            let own: Vec<&Entry> =
                entries.iter().filter(|entry| self.matches_request(entry)).collect();
            if let Some(first) = own.first() {
                self.write_request(&mut text, process, &own);
                match own.iter().position(|entry| entry.is_failure()) {
                    Some(index) => write_cause(&mut text, process, entries, &own[..=index]),
                    None => append(&mut text, format_args!("no failure in the lines of {process}")),
                }
                write_prior_state(&mut text, process, entries, first, &own);
            }
        }
        if self.unreadable > 0 {
            append(&mut text, format_args!("{} lines could not be read", self.unreadable));
        }
        text
    }

    fn matches_request(&self, entry: &Entry) -> bool {
        entry.request.as_deref() == Some(self.request.as_str())
    }

    fn write_request(&self, text: &mut String, process: &str, own: &[&Entry]) {
        let first_known = |field: fn(&Entry) -> &Option<String>| {
            own.iter()
                .find_map(|entry| field(entry).clone())
                .unwrap_or_else(|| "unknown".to_owned())
        };
        let (route, workspace) =
            (first_known(|entry| &entry.route), first_known(|entry| &entry.workspace));
        let request = &self.request;
        append(text, format_args!("request {request}, route {route}, workspace {workspace}"));
        for entry in own {
            let (at, event) = (entry.at_ms, &entry.event);
            append(text, format_args!("{at:>10} ms  {process}  {event}: {}", entry.details()));
        }
    }
}

/// Writes the first failure, and how many other requests failed with the same subject at about the same time.
fn write_cause(text: &mut String, process: &str, entries: &[Entry], up_to_failure: &[&Entry]) {
    let Some(failure) = up_to_failure.last() else { return };
    let details = failure.details();
    append(text, format_args!("first cause: {} at {process}: {details}", failure.event));
    let Some(subject) = &failure.subject else { return };
    let others =
        entries.iter().filter(|entry| entry.is_failure() && entry.request != failure.request);
    let same = others.filter(|entry| {
        entry.subject.as_ref() == Some(subject)
            && entry.at_ms.abs_diff(failure.at_ms) <= RELATED_WINDOW_MS
    });
    let count = same.count();
    append(text, format_args!("within 1 s {count} other requests failed with {subject} there"));
}

/// Writes the newest lines about the router's state before the request's first line, with their age.
///
/// Lines from before the last start of the process are ignored, because its clock restarts with the process.
fn write_prior_state(
    text: &mut String,
    process: &str,
    entries: &[Entry],
    first: &Entry,
    own: &[&Entry],
) {
    let subjects: Vec<&String> = own.iter().filter_map(|entry| entry.subject.as_ref()).collect();
    let before = entries.iter().position(|entry| entry == first).unwrap_or_default();
    let entries = &entries[..before];
    let start = entries.iter().rposition(|entry| entry.event == START_EVENT).unwrap_or_default();
    let mut newest: IndexMap<(&str, &str), &Entry> = IndexMap::new();
    for entry in entries[start..].iter().filter(|entry| entry.request.is_none()) {
        let subject = entry.subject.as_deref().unwrap_or_default();
        let names_runner = subjects.iter().any(|named| named.as_str() == subject);
        if names_runner || STATE_EVENTS.contains(&entry.event.as_str()) {
            newest.insert((entry.event.as_str(), subject), entry);
        }
    }
    append(text, format_args!("what {process} had last learnt before:"));
    for entry in newest.values() {
        let age = first.at_ms.saturating_sub(entry.at_ms);
        append(text, format_args!("{age:>10} ms ago  {}: {}", entry.event, entry.details()));
    }
}

fn append(text: &mut String, content: std::fmt::Arguments<'_>) {
    writeln!(text, "{content}").expect("writing to a string does not fail");
}
