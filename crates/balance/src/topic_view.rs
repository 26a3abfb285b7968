//! A local view of a topic that holds the newest record of each key.
//!
//! A page of the newest records is not a snapshot and may be older than what was read before. Each key therefore only
//! moves to higher offsets, and a key that is missing from a page is removed only if the page is newer than its record.
//!
//! Offsets are positions with an [era](crate::era). What the view holds and a restored store has lost is kept for a
//! while, since its owner writes it again.

use indexmap::IndexMap;

use crate::era;

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

/// The newest record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Newest {
    offset: u64,
    value: Option<Vec<u8>>,
}

/// What becomes of a key that is known to be removed if a restored store has it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovedKeys {
    /// It has its value again, until it is removed in the new era.
    Return,
    /// It stays removed, until it is written in the new era.
    StayRemoved,
}

/// The keys of a topic with their newest records.
#[derive(Debug, Clone, Default)]
pub struct TopicView {
    records: IndexMap<String, Newest>,
}

impl TopicView {
    /// Applies a record; returns its offset and the change that it makes, if it is newer than the known one.
    pub fn apply(&mut self, record: Record) -> Option<(u64, Change)> {
        let known = self.records.get(&record.key);
        if known.is_some_and(|known| known.offset >= record.offset) {
            return None;
        }
        let was_present = known.is_some_and(|known| known.value.is_some());
        let newest = Newest { offset: record.offset, value: record.value.clone() };
        self.records.insert(record.key.clone(), newest);
        let change = match record.value {
            Some(value) => Change::Put(record.key, value),
            None if was_present => Change::Removed(record.key),
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
            .records
            .iter()
            .filter(|(_, known)| era::of(known.offset) == era::of(end))
            .filter(|(key, known)| known.value.is_some() && known.offset < end && is_missing(key))
            .map(|(key, _)| key.clone())
            .collect();
        let offset = end.saturating_sub(1);
        for key in &missing {
            self.records.insert(key.clone(), Newest { offset, value: None });
        }
        let removed = missing.into_iter().map(|key| (offset, Change::Removed(key)));
        let put: Vec<(u64, Change)> =
            records.into_iter().filter_map(|record| self.apply(record)).collect();
        removed.chain(put).collect()
    }

    /// Applies all newest records of a store that was restored, at the beginning of its new era.
    ///
    /// Keys that it lacks are kept until [`TopicView::remove_lost`]. Returns the changes with their offsets.
    pub fn restore(&mut self, records: Vec<Record>, removed: RemovedKeys) -> Vec<(u64, Change)> {
        let applied = records.into_iter().filter_map(|record| {
            let known = self.records.get_mut(&record.key);
            let is_removed = known.as_ref().is_some_and(|known| known.value.is_none());
            match known {
                Some(known) if is_removed && removed == RemovedKeys::StayRemoved => {
                    known.offset = known.offset.max(record.offset);
                    None
                }
                _ => self.apply(record),
            }
        });
        applied.collect()
    }

    /// Removes the keys whose values nobody has written again in the era of a position, and returns the changes.
    pub fn remove_lost(&mut self, position: u64) -> Vec<(u64, Change)> {
        let era = era::of(position);
        let offset = position.saturating_sub(1).max(era::position(era, 0));
        let lost = self.records.iter_mut().filter(|(_, known)| is_lost(known, era));
        lost.map(|(key, known)| {
            *known = Newest { offset, value: None };
            (offset, Change::Removed(key.clone()))
        })
        .collect()
    }

    /// Returns the newest records of all keys that have changed since an offset, in the order of their offsets.
    pub fn records_from(&self, offset: u64) -> impl Iterator<Item = Record> {
        let mut changed: Vec<(&String, &Newest)> =
            self.records.iter().filter(|(_, newest)| newest.offset >= offset).collect();
        changed.sort_unstable_by_key(|(_, newest)| newest.offset);
        changed.into_iter().map(|(key, newest)| Record {
            offset: newest.offset,
            key: key.clone(),
            value: newest.value.clone(),
        })
    }
}

fn is_lost(known: &Newest, era: u32) -> bool {
    known.value.is_some() && era::of(known.offset) < era
}
