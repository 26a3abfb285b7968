//! Views of topics, for any order of pages and records.

use balance::Change;
use balance::Record;
use balance::RemovedKeys;
use balance::TopicView;
use balance::era;
use indexmap::IndexMap;
use proptest::prelude::*;

fn record(offset: u64, key: &str, value: Option<&str>) -> Record {
    let value = value.map(|value| value.as_bytes().to_vec());
    Record { offset, key: key.to_owned(), value }
}

#[test]
fn a_page_that_is_older_than_what_was_read_changes_nothing() {
    let mut view = TopicView::default();
    view.apply(record(7, "config", Some("new")));
    assert!(view.replace(vec![record(3, "config", Some("old"))], 5).is_empty());
    assert!(view.replace(Vec::new(), 7).is_empty(), "the page ends before the record");
}

#[test]
fn a_key_that_a_newer_page_lacks_is_removed_once() {
    let mut view = TopicView::default();
    view.apply(record(7, "out/north", Some("{}")));
    let removed = vec![(8, Change::Removed("out/north".to_owned()))];
    assert_eq!(view.replace(Vec::new(), 9), removed);
    assert!(view.replace(Vec::new(), 9).is_empty());
}

#[test]
fn the_removal_of_an_unknown_key_is_not_a_change() {
    let mut view = TopicView::default();
    assert_eq!(view.apply(record(1, "router-1", None)), None);
}

#[test]
fn the_newest_record_of_each_changed_key_brings_another_view_up_to_date() {
    let mut view = TopicView::default();
    for (offset, key, value) in
        [(1, "a", Some("1")), (2, "b", Some("1")), (3, "a", Some("2")), (4, "b", None)]
    {
        view.apply(record(offset, key, value));
    }
    let mut behind = TopicView::default();
    behind.apply(record(1, "a", Some("1")));
    behind.apply(record(2, "b", Some("1")));
    let fetched: Vec<Record> = view.records_from(3).collect();
    assert_eq!(fetched, [record(3, "a", Some("2")), record(4, "b", None)]);
    let changes: Vec<_> = fetched.into_iter().filter_map(|record| behind.apply(record)).collect();
    let removed = Change::Removed("b".to_owned());
    assert_eq!(changes, [(3, Change::Put("a".to_owned(), b"2".to_vec())), (4, removed)]);
}

proptest! {
    #[test]
    fn every_order_of_reads_ends_with_the_newest_values_of_the_topic(
        log in prop::collection::vec((0..4u8, prop::option::of(0..9u8)), 1..60),
        reads in prop::collection::vec((any::<bool>(), 0..60usize), 1..30),
    ) {
        let records: Vec<Record> = log
            .iter()
            .enumerate()
            .map(|(offset, (key, value))| {
                let value = value.map(|value| value.to_string());
                record(offset as u64, &key.to_string(), value.as_deref())
            })
            .collect();
        let mut view = TopicView::default();
        let mut state: IndexMap<String, Vec<u8>> = IndexMap::new();
        let mut apply = |changes: Vec<(u64, Change)>| {
            for (_, change) in changes {
                match change {
                    Change::Put(key, value) => drop(state.insert(key, value)),
                    Change::Removed(key) => drop(state.shift_remove(&key)),
                }
            }
        };
        let reads = reads.into_iter().chain([(true, records.len())]);
        for (is_page, index) in reads {
            let index = index.min(records.len());
            if is_page {
                let mut newest: IndexMap<&str, &Record> = IndexMap::new();
                for record in &records[..index] {
                    newest.insert(&record.key, record);
                }
                let page = newest.into_values().filter(|record| record.value.is_some());
                apply(view.replace(page.cloned().collect(), index as u64));
            } else {
                apply(records[index..].iter().cloned().filter_map(|r| view.apply(r)).collect());
            }
        }
        let mut expected: IndexMap<String, Vec<u8>> = IndexMap::new();
        for record in &records {
            match &record.value {
                Some(value) => drop(expected.insert(record.key.clone(), value.clone())),
                None => drop(expected.shift_remove(&record.key)),
            }
        }
        state.sort_unstable_keys();
        expected.sort_unstable_keys();
        prop_assert_eq!(state, expected);
    }
}

#[test]
fn what_a_restored_store_has_lost_is_kept_until_it_is_given_up() {
    let mut view = TopicView::default();
    view.apply(record(era::position(1, 7), "runner-1", Some("ready")));
    view.apply(record(era::position(1, 8), "runner-2", Some("ready")));
    let restored = vec![record(era::position(2, 3), "runner-2", Some("older"))];
    let changes = view.restore(restored, RemovedKeys::StayRemoved);
    let older = Change::Put("runner-2".to_owned(), b"older".to_vec());
    assert_eq!(changes, [(era::position(2, 3), older)]);
    assert!(view.replace(vec![], era::position(2, 3)).is_empty(), "a page of the new era");
    let end = era::position(2, 4);
    let removed = Change::Removed("runner-1".to_owned());
    assert_eq!(view.remove_lost(end), [(era::position(2, 3), removed)]);
    assert!(view.remove_lost(end).is_empty());
}

#[test]
fn an_offset_that_is_given_again_is_read_as_its_new_record() {
    let mut view = TopicView::default();
    view.apply(record(era::position(1, 7), "config", Some("lost")));
    view.restore(vec![record(era::position(2, 6), "config", Some("old"))], RemovedKeys::Return);
    let change = Change::Put("config".to_owned(), b"new".to_vec());
    let position = era::position(2, 7);
    assert_eq!(view.apply(record(position, "config", Some("new"))), Some((position, change)));
}

#[test]
fn a_removed_key_that_a_restored_store_has_again_returns_only_where_that_is_safe() {
    for (removed, returns) in [(RemovedKeys::Return, true), (RemovedKeys::StayRemoved, false)] {
        let mut view = TopicView::default();
        view.apply(record(era::position(1, 1), "key", Some("1")));
        view.apply(record(era::position(1, 2), "key", None));
        let restored = vec![record(era::position(2, 1), "key", Some("1"))];
        assert_eq!(!view.restore(restored, removed).is_empty(), returns);
        let again = view.apply(record(era::position(2, 2), "key", Some("2")));
        assert!(again.is_some(), "written again in the new era");
    }
}

proptest! {
    #[test]
    fn after_any_restores_a_view_ends_with_what_was_written_last(
        eras in prop::collection::vec(
            (prop::collection::vec((0..4u8, prop::option::of(0..9u8)), 1..12), 0..12usize),
            1..6,
        ),
        reads in prop::collection::vec(any::<bool>(), 60),
    ) {
        let mut log: Vec<(u8, Option<u8>)> = Vec::new();
        let mut view = TopicView::default();
        let mut reads = reads.into_iter().cycle();
        for (number, (writes, kept)) in (1..).zip(&eras) {
            log.truncate(*kept);
            view.restore(newest(&log, number), RemovedKeys::Return);
            for (key, value) in writes {
                log.push((*key, *value));
                let offset = era::position(number, log.len() as u64 - 1);
                if reads.next().unwrap_or(true) {
                    view.apply(record(offset, &key.to_string(), value.map(|value| value.to_string()).as_deref()));
                }
            }
            view.replace(newest(&log, number), era::position(number, log.len() as u64));
            view.remove_lost(era::position(number, log.len() as u64));
            let held: IndexMap<String, Vec<u8>> = view
                .records_from(0)
                .filter_map(|record| Some((record.key, record.value?)))
                .collect();
            let wanted: IndexMap<String, Vec<u8>> = newest(&log, number)
                .into_iter()
                .filter_map(|record| Some((record.key, record.value?)))
                .collect();
            prop_assert_eq!(sorted(held), sorted(wanted));
        }
    }
}

/// Returns the newest record of each key of a log that has a value.
fn newest(log: &[(u8, Option<u8>)], number: u32) -> Vec<Record> {
    let mut newest = IndexMap::new();
    for (offset, (key, value)) in log.iter().enumerate() {
        let value = value.map(|value| value.to_string());
        newest.insert(
            *key,
            record(era::position(number, offset as u64), &key.to_string(), value.as_deref()),
        );
    }
    newest.into_values().filter(|record| record.value.is_some()).collect()
}

fn sorted(map: IndexMap<String, Vec<u8>>) -> Vec<(String, Vec<u8>)> {
    let mut sorted: Vec<_> = map.into_iter().collect();
    sorted.sort_unstable();
    sorted
}
