//! The streams of the log, with a retention time and a limit on the rate of appends.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use tokio::time::Instant;

use crate::reply;

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Record {
    /// The offset in the stream, which starts at 1.
    pub offset: u64,
    /// When it was appended, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The text.
    pub body: Arc<str>,
}

#[derive(Debug)]
struct StoredRecord {
    at: Instant,
    record: Record,
}

#[derive(Debug)]
struct Stream {
    next: u64,
    records: VecDeque<StoredRecord>,
}

impl Default for Stream {
    fn default() -> Self {
        Self { next: 1, records: VecDeque::new() }
    }
}

impl Stream {
    fn first(&self) -> u64 {
        self.next - self.records.len() as u64
    }

    fn expire(&mut self, retention: Duration, now: Instant) {
        while self
            .records
            .pop_front_if(|stored| now.duration_since(stored.at) > retention)
            .is_some()
        {}
    }
}

/// The answer to a read.
#[derive(Debug, Serialize)]
pub(super) struct Page {
    records: Vec<Record>,
    /// The offset at which the next read starts.
    next: u64,
    first: u64,
    #[serde(skip)]
    is_gone: bool,
}

/// The first offset still stored in a stream and the offset of the next append.
#[derive(Debug, Serialize)]
pub(super) struct Bounds {
    first: u64,
    next: u64,
}

impl Page {
    pub(super) const fn is_gone(&self) -> bool {
        self.is_gone
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(super) const fn bounds(&self) -> Bounds {
        Bounds { first: self.first, next: self.next }
    }
}

/// All streams, and a token bucket that limits appends.
#[derive(Debug)]
pub(super) struct Log {
    retention: Duration,
    rate: f64,
    available: f64,
    refilled_at: Instant,
    streams: IndexMap<String, Stream>,
}

impl Log {
    pub(super) fn new(retention: Duration, appends_per_second: u32) -> Self {
        let rate = f64::from(appends_per_second);
        let streams = IndexMap::new();
        Self { retention, rate, available: rate, refilled_at: Instant::now(), streams }
    }

    /// Appends a record and returns its offset, or `None` if the rate limit is exceeded.
    pub(super) fn append(&mut self, stream: &str, text: &str, now: Instant) -> Option<u64> {
        if !self.take_append(now) {
            return None;
        }
        let stream = self.streams.entry(stream.to_owned()).or_default();
        stream.expire(self.retention, now);
        let offset = stream.next;
        stream.next += 1;
        let record = Record { offset, time_ms: reply::unix_millis(), body: Arc::from(text) };
        stream.records.push_back(StoredRecord { at: now, record });
        Some(offset)
    }

    /// Returns at most `limit` records, starting at an offset.
    pub(super) fn read(&mut self, stream: &str, from: u64, limit: usize, now: Instant) -> Page {
        let Some(stream) = self.streams.get_mut(stream) else {
            return Page { records: Vec::new(), next: 1, first: 1, is_gone: false };
        };
        stream.expire(self.retention, now);
        let first = stream.first();
        if from < first {
            return Page { records: Vec::new(), next: stream.next, first, is_gone: true };
        }
        let skipped = usize::try_from(from - first).unwrap_or(usize::MAX);
        let wanted = stream.records.iter().skip(skipped).take(limit);
        let records: Vec<Record> = wanted.map(|stored| stored.record.clone()).collect();
        let next = records.last().map_or(stream.next, |record| record.offset + 1);
        Page { records, next, first, is_gone: false }
    }

    /// Takes one append from the token bucket and returns whether one was available.
    fn take_append(&mut self, now: Instant) -> bool {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.available = (self.available + elapsed * self.rate).min(self.rate);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
