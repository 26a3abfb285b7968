//! A local view of a topic that holds the newest record of each key.
//!
//! A page of the newest records is not a snapshot and may be older than what was read before. Each key therefore only
//! moves to higher offsets, and a key that is missing from a page is removed only if the page is newer than its record.

use indexmap::IndexMap;

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key has this value.
    Put(String, Vec<u8>),
    /// The key was removed.
    Removed(String),
}

/// A record of the topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The offset in the topic.
    pub offset: u64,
    /// The key.
    pub key: String,
    /// The value, or `None` if the record removes the key.
    pub value: Option<Vec<u8>>,
}

/// The keys of a topic with the offsets of their newest records.
#[derive(Debug, Clone, Default)]
pub struct TopicView {
    offsets: IndexMap<String, (u64, bool)>,
}

impl TopicView {
    /// Applies a record; returns its offset and the change that it makes, if it is newer than the known one.
    pub fn apply(&mut self, record: Record) -> Option<(u64, Change)> {
        let known = self.offsets.get(&record.key).copied();
        if known.is_some_and(|(offset, _)| offset >= record.offset) {
            return None;
        }
        self.offsets.insert(record.key.clone(), (record.offset, record.value.is_some()));
        let change = match record.value {
            Some(value) => Change::Put(record.key, value),
            None if known.is_some_and(|(_, is_present)| is_present) => Change::Removed(record.key),
            None => return None,
        };
        Some((record.offset, change))
    }

    /// Applies all newest records as of `end`, the offset after the newest record of the topic.
    ///
    /// Returns the changes with their offsets.
    pub fn replace(&mut self, records: Vec<Record>, end: u64) -> Vec<(u64, Change)> {
        let is_missing = |key: &str| !records.iter().any(|record| record.key == key);
        let missing: Vec<String> = self
            .offsets
            .iter()
            .filter(|(key, (offset, is_present))| *is_present && *offset < end && is_missing(key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &missing {
            self.offsets.insert(key.clone(), (end.saturating_sub(1), false));
        }
        let removed = missing.into_iter().map(|key| (end.saturating_sub(1), Change::Removed(key)));
        let put: Vec<(u64, Change)> =
            records.into_iter().filter_map(|record| self.apply(record)).collect();
        removed.chain(put).collect()
    }
}
