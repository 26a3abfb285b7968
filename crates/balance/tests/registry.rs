//! Runners by their registrations in the store.

mod common;

use std::time::Duration;

use balance::Registry;
use balance::era;
use base::Name;
use indexmap::IndexSet;

use crate::common::SERVICE;
use crate::common::ms;
use crate::common::registration;

const NOW: Duration = Duration::from_secs(100);

fn registry(runners: usize) -> Registry {
    let mut registry = Registry::default();
    for number in 0..runners {
        registry.put(NOW, &registration(&format!("engine-{number}")));
    }
    registry
}

/// Returns a registry of runners while the store answers nobody.
fn registry_in_outage(runners: usize) -> Registry {
    let mut registry = registry(runners);
    registry.confirm(NOW - ms(2_000));
    registry.store_lost(NOW - ms(1_500));
    registry
}

fn serving(registry: &Registry) -> usize {
    registry.serving(SERVICE).count()
}

#[test]
fn a_runner_whose_registration_alone_is_missing_after_an_outage_is_no_longer_used() {
    let mut registry = registry_in_outage(6);
    registry.confirm(NOW);
    registry.expire(NOW + ms(100), &Name::new("engine-0"), 9);
    assert_eq!(serving(&registry), 5);
}

#[test]
fn runners_whose_registrations_expire_together_in_an_outage_are_used_until_renewal_is_overdue() {
    let mut registry = registry_in_outage(6);
    for number in 0..6 {
        registry.expire(NOW, &Name::new(&format!("engine-{number}")), number);
    }
    registry.confirm(NOW + ms(1_000));
    assert_eq!(serving(&registry), 6);
    registry.put(NOW + ms(2_000), &registration("engine-3"));
    registry.remove_expired(NOW + ms(4_000));
    assert_eq!(serving(&registry), 1);
}

#[test]
fn a_registration_that_is_removed_while_the_store_answers_removes_the_runner_at_once() {
    let mut registry = registry(2);
    registry.expire(NOW, &Name::new("engine-0"), 9);
    assert!(registry.find("engine-0").is_none());
}

#[test]
fn an_older_registration_does_not_return_a_draining_runner_to_service() {
    let mut registry = registry(1);
    let mut draining = registration("engine-0");
    draining.is_draining = true;
    draining.sequence = 5;
    registry.put(NOW, &draining);
    registry.put(NOW, &registration("engine-0"));
    assert_eq!(serving(&registry), 0);
}

#[test]
fn a_new_incarnation_of_a_known_runner_starts_without_state() {
    let mut registry = registry(1);
    let before = registry.find("engine-0").expect("known");
    let mut restarted = registration("engine-0");
    restarted.started_ms = 2;
    restarted.cold_left = Duration::from_secs(3);
    let after = registry.put(NOW, &restarted).expect("newer");
    assert_ne!(before, after);
    assert!(registry.get(after).expect("known").is_cold(NOW));
    assert_eq!(
        registry.put(NOW, &registration("engine-0")),
        Some(after),
        "the old incarnation has ended"
    );
}

#[test]
fn runners_of_a_zone_that_returns_to_service_are_cold() {
    let mut registry = registry(2);
    registry.set_zones_out(NOW, IndexSet::from([Name::new("north")]), Duration::from_secs(3));
    assert_eq!(serving(&registry), 0);
    registry.set_zones_out(NOW + ms(500), IndexSet::new(), Duration::from_secs(3));
    assert_eq!(serving(&registry), 2);
    assert!(registry.iter().all(|(_, runner)| runner.is_cold(NOW + ms(3_000))));
}

#[test]
fn others_are_told_of_a_removal_only_once_the_runner_is_given_up() {
    let mut registry = registry_in_outage(2);
    assert!(!registry.expire(NOW, &Name::new("engine-0"), 7));
    assert_eq!(registry.removals(NOW).count(), 0);
    registry.confirm(NOW + ms(100));
    registry.remove_expired(NOW + ms(3_000));
    assert_eq!(registry.removals(NOW + ms(3_000)).count(), 1);
    assert!(registry.expire(NOW + ms(9_000), &Name::new("engine-1"), 9));
    assert!(!registry.expire(NOW + ms(9_000), &Name::new("engine-2"), 9), "it is not known");
}

#[test]
fn runners_that_left_while_only_this_router_was_rejected_are_not_used_again() {
    let mut registry = registry(3);
    registry.confirm(NOW);
    registry.store_lost(NOW + ms(100));
    // Other routers confirm what they read of the store.
    registry.confirm(NOW + ms(600));
    registry.store_lost(NOW + ms(700));
    registry.confirm(NOW + ms(1_200));
    for number in 0..2 {
        registry.expire(NOW + ms(1_300), &Name::new(&format!("engine-{number}")), number);
    }
    assert_eq!(serving(&registry), 1);
}

#[test]
fn the_time_for_renewal_does_not_begin_anew_while_other_routers_go_on_to_read_the_store() {
    let mut registry = registry_in_outage(3);
    registry.confirm(NOW);
    for late in (200..2_400).step_by(200) {
        registry.store_lost(NOW + ms(late));
        registry.confirm(NOW + ms(late + 100));
    }
    for number in 0..2 {
        registry.expire(NOW + ms(2_600), &Name::new(&format!("engine-{number}")), number);
    }
    assert_eq!(serving(&registry), 1);
}

#[test]
fn a_runner_that_starts_again_on_a_clock_that_was_set_back_replaces_its_earlier_start() {
    let mut registry = registry(1);
    let mut later = registration("engine-0");
    (later.started_ms, later.position) = (9, 4);
    registry.put(NOW, &later);
    let mut restarted = registration("engine-0");
    (restarted.started_ms, restarted.position, restarted.is_draining) = (5, 6, true);
    registry.put(NOW, &restarted);
    assert_eq!(serving(&registry), 0, "it has started again and leaves");
    let mut restored = registration("engine-0");
    (restored.started_ms, restored.position) = (3, era::position(1, 0));
    registry.put(NOW, &restored);
    assert_eq!(serving(&registry), 0, "a restored store may have records of earlier starts");
}

#[test]
fn a_runner_whose_newest_record_can_not_be_read_is_not_used_until_a_later_one_can() {
    let mut registry = registry(2);
    let id = Name::new("engine-0");
    assert!(registry.record_unreadable(&id));
    assert!(!registry.record_unreadable(&id), "it is known");
    assert!(!registry.record_unreadable(&Name::new("engine-7")), "no such runner");
    assert_eq!(serving(&registry), 1);
    let readable = registration("engine-0");
    assert!(registry.is_change(NOW, &readable), "others have to read it");
    registry.put(NOW, &readable);
    assert_eq!(serving(&registry), 2);
}

/// Guards against a cold time of an odd record that is too long to be added to the time.
#[test]
fn a_registration_with_the_longest_cold_time_ends_no_router() {
    let now = Duration::from_secs(2 * 60 * 60);
    let mut registry = Registry::default();
    let mut cold = registration("engine-0");
    cold.cold_left = Duration::MAX;
    let key = registry.put(now, &cold).expect("a new runner");
    assert!(registry.get(key).expect("known").is_cold(now));
    (cold.sequence, cold.position) = (2, 1);
    assert!(!registry.is_change(now, &cold));
    registry.set_zones_out(now, IndexSet::from([cold.zone.clone()]), Duration::MAX);
    registry.set_zones_out(now, IndexSet::new(), Duration::MAX);
    registry.get_mut(key).expect("known").pause(Duration::MAX);
}

/// Guards against a sequence number of an odd record that no later record exceeds.
#[test]
fn a_later_record_of_the_store_counts_whatever_its_sequence_number() {
    let mut registry = Registry::default();
    let mut record = registration("engine-0");
    (record.sequence, record.position) = (u64::MAX, 5);
    let key = registry.put(NOW, &record).expect("a new runner");
    (record.sequence, record.position, record.is_draining) = (7, 6, true);
    registry.put(NOW, &record);
    assert!(registry.get(key).expect("known").registration.is_draining);
}
