//! A copy of a topic that keeps the newest record of each key.
//!
//! Pages of the newest records are not a snapshot and may be older than what was read before, so each key only moves to
//! higher offsets, and a key that a page lacks is gone only if the page is newer than its record.

use indexmap::IndexMap;

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key has this value.
    Put(String, Vec<u8>),
    /// The key is gone.
    Removed(String),
}

/// A record of the topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Its place in the topic.
    pub offset: u64,
    /// The key.
    pub key: String,
    /// The value, none where the record removes the key.
    pub value: Option<Vec<u8>>,
}

/// The keys of a topic with the offsets of their newest records.
#[derive(Debug, Clone, Default)]
pub struct TopicView {
    offsets: IndexMap<String, (u64, bool)>,
}

impl TopicView {
    /// Takes in a record; returns its place and the change it makes, if it is newer than what is known.
    pub fn apply(&mut self, record: Record) -> Option<(u64, Change)> {
        let known = self.offsets.get(&record.key).copied();
        if known.is_some_and(|(offset, _)| offset >= record.offset) {
            return None;
        }
        self.offsets.insert(record.key.clone(), (record.offset, record.value.is_some()));
        let change = match record.value {
            Some(value) => Change::Put(record.key, value),
            None if known.is_some_and(|(_, present)| present) => Change::Removed(record.key),
            None => return None,
        };
        Some((record.offset, change))
    }

    /// Takes in all newest records as of `end`, the offset behind the newest record of the topic.
    pub fn replace(&mut self, records: Vec<Record>, end: u64) -> Vec<(u64, Change)> {
        let is_missing = |key: &str| !records.iter().any(|record| record.key == key);
        let gone: Vec<String> = self
            .offsets
            .iter()
            .filter(|(key, (offset, present))| *present && *offset < end && is_missing(key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &gone {
            self.offsets.insert(key.clone(), (end.saturating_sub(1), false));
        }
        let removed = gone.into_iter().map(|key| (end.saturating_sub(1), Change::Removed(key)));
        let put: Vec<(u64, Change)> =
            records.into_iter().filter_map(|record| self.apply(record)).collect();
        removed.chain(put).collect()
    }
}
