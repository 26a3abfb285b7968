//! Views of topics, for any order of pages and records.

use balance::Change;
use balance::Record;
use balance::TopicView;
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
