//! Schedules by which only a few routers poll a topic.

use std::time::Duration;

use balance::Candidate;
use balance::Changes;
use balance::Extent;
use balance::ReadSchedule;
use balance::Report;
use balance::StoreContact;
use balance::is_reader;
use balance::unshared_retry_delay;

const NOW: Duration = Duration::from_secs(50);
const READ_INTERVAL: Duration = Duration::from_millis(600);
const PERIOD: Duration = Duration::from_millis(100);

/// Returns the report of a router whose heartbeats tell no changes.
const fn report(changed: u64, as_of: Option<Duration>) -> Report {
    Report { changes: Changes::untold(changed), as_of, tells: false }
}

fn read_at(now: Duration, position: u64) -> ReadSchedule {
    let mut schedule = ReadSchedule::default();
    schedule.begin_read(now);
    schedule.record_read(now, position, Changes::default(), Extent::All);
    schedule
}

/// Returns the routers of a zone that are readers, if `served` tells which of them the store serves.
fn readers(names: &[String], zones: usize, served: impl Fn(&str) -> bool) -> Vec<&str> {
    let candidate = |name| Candidate { name, reaches_store: served(name) };
    let names = names.iter().map(String::as_str);
    let readers = names.clone().filter(|name| {
        let others = names.clone().filter(|other| other != name).map(candidate);
        is_reader(7, candidate(name), others, zones)
    });
    readers.collect()
}

#[test]
fn at_least_three_routers_of_a_fleet_are_readers_and_one_of_each_zone() {
    let names: Vec<String> = (0..90).map(|n| format!("router-{n}")).collect();
    for (zones, expected) in [(1, 3), (2, 2), (3, 1), (5, 1)] {
        assert_eq!(readers(&names, zones, |_| true).len(), expected, "{zones} zones");
    }
    assert_eq!(readers(&names[..1], 4, |_| true).len(), 1);
}

#[test]
fn a_router_that_the_store_rejects_is_a_reader_only_if_it_rejects_the_whole_zone() {
    let names: Vec<String> = (0..60).map(|n| format!("router-{n}")).collect();
    let first = readers(&names, 5, |_| true)[0].to_owned();
    let without = readers(&names, 5, |name| name != first);
    assert_eq!(without.len(), 1);
    assert_ne!(without[0], first);
    assert_eq!(readers(&names, 5, |_| false), [first]);
}

#[test]
fn a_router_reads_at_once_when_a_change_is_reported() {
    let mut schedule = read_at(NOW, 10);
    schedule.record_report(&report(10, None));
    assert!(!schedule.is_behind());
    schedule.record_report(&report(11, Some(NOW)));
    assert!(schedule.is_behind());
    assert_eq!(schedule.next_read(false, READ_INTERVAL, PERIOD), NOW + READ_INTERVAL);
    schedule.record_read(NOW, 12, Changes::untold(11), Extent::All);
    assert!(!schedule.is_behind());
    assert_eq!(schedule.changes().last, 11);
}

/// Guards against a page that ends before the end of its topic being taken for all of it.
#[test]
fn a_page_that_ends_early_confirms_nothing_until_the_rest_is_read() {
    let second = NOW + Duration::from_secs(1);
    let mut schedule = read_at(NOW, 10);
    schedule.record_read(second, 12, Changes::untold(12), Extent::Page { end: 14 });
    assert!(schedule.is_behind());
    assert_eq!(schedule.age(second), Some(Duration::from_secs(1)));
    assert_eq!(schedule.told_age(second), Some(Duration::from_secs(1)));
    schedule.record_report(&report(14, Some(second)));
    assert_eq!(schedule.age(second), Some(Duration::from_secs(1)));
    schedule.record_read(second, 14, Changes::untold(14), Extent::All);
    assert!(!schedule.is_behind());
    assert_eq!(schedule.age(second), Some(Duration::ZERO));
}

#[test]
fn a_router_does_not_read_while_peers_confirm_that_there_is_no_change() {
    let mut schedule = read_at(NOW, 10);
    // This covers 45 seconds: reads that each router makes by itself add up over the fleet, so they must be rare.
    for step in 1..150 {
        let now = NOW + Duration::from_millis(300 * step);
        schedule.record_report(&report(9, Some(now)));
        assert!(schedule.next_read(false, READ_INTERVAL, PERIOD) > now);
    }
}

#[test]
fn a_router_eventually_reads_by_itself_whatever_is_reported() {
    let mut schedule = read_at(NOW, 10);
    let later = NOW + Duration::from_secs(61);
    schedule.record_report(&report(9, Some(later)));
    assert!(schedule.next_read(false, READ_INTERVAL, PERIOD) <= later);
}

#[test]
fn a_router_without_reports_reads_by_itself() {
    let schedule = read_at(NOW, 10);
    assert!(schedule.next_read(false, READ_INTERVAL, PERIOD) <= NOW + Duration::from_millis(1_200));
}

#[test]
fn a_report_of_an_unread_change_confirms_nothing() {
    let mut schedule = read_at(NOW, 10);
    let later = NOW + Duration::from_secs(9);
    schedule.record_report(&report(11, Some(later)));
    assert_eq!(schedule.age(later), Some(Duration::from_secs(9)));
}

#[test]
fn slow_heartbeats_of_a_large_fleet_alone_cause_no_reads() {
    let period = Duration::from_millis(450);
    let reader_age = READ_INTERVAL + Duration::from_millis(300);
    let mut schedule = read_at(NOW, 10);
    for step in 1..17 {
        let reported_at = NOW + step * period;
        let as_of = reported_at.saturating_sub(reader_age + period);
        assert!(schedule.next_read(false, READ_INTERVAL, period) > reported_at);
        schedule.record_report(&report(9, Some(as_of)));
    }
}

#[test]
fn while_the_store_is_unreachable_most_routers_try_rarely_and_the_readers_often() {
    // 89 routers follow a topic for the eight seconds of an outage.
    let tries = |schedule: &ReadSchedule, is_reader: bool| {
        let mut passed = Duration::ZERO;
        let mut tries = 0;
        while passed < Duration::from_secs(8) {
            tries += 1;
            passed += schedule.retry_delay(tries, is_reader);
        }
        tries
    };
    let schedule = read_at(NOW, 10);
    let all = 86 * tries(&schedule, false) + 3 * tries(&schedule, true);
    let if_alike = 89 * tries(&schedule, true);
    assert!(3 * all <= 2 * if_alike, "{all} tries, {if_alike} if all tried like the readers");
    assert!(
        tries(&schedule, true) >= 10,
        "the readers detect soon that the store is reachable again"
    );
    let mut behind = read_at(NOW, 10);
    behind.record_report(&report(11, None));
    assert_eq!(tries(&behind, false), tries(&schedule, true), "a reported change is read soon");
}

#[test]
fn a_router_that_has_read_nothing_yet_tries_often() {
    assert!(unshared_retry_delay(9, false) <= Duration::from_millis(800));
    assert!(unshared_retry_delay(9, true) > unshared_retry_delay(9, false));
    assert_eq!(unshared_retry_delay(1, true), unshared_retry_delay(1, false));
}

#[test]
fn a_store_that_was_lost_is_due_after_its_delay_or_once_it_has_answered_another_call() {
    let mut contact = StoreContact::default();
    assert!(contact.is_due(NOW, false));
    contact.record_failure(NOW, READ_INTERVAL);
    assert!(!contact.is_due(NOW, false));
    assert!(contact.is_due(NOW, true));
    assert!(contact.is_due(NOW + READ_INTERVAL, false));
    assert!(contact.record_success());
    assert!(contact.is_due(NOW, false));
}

#[test]
fn a_change_that_heartbeats_tell_is_not_read_unless_they_were_not_heard_for_long() {
    let mut schedule = read_at(NOW, 10);
    let told = |as_of| Report { changes: Changes::told(11), as_of: Some(as_of), tells: true };
    schedule.record_report(&told(NOW + READ_INTERVAL));
    assert!(!schedule.is_behind());
    assert_eq!(schedule.age(NOW + READ_INTERVAL), Some(Duration::ZERO));
    schedule.record_report(&told(NOW + Duration::from_secs(20)));
    assert!(schedule.is_behind(), "what was told meanwhile is not repeated any more");
}

#[test]
fn what_heartbeats_tell_is_confirmed_while_another_change_waits_to_be_read() {
    let mut schedule = read_at(NOW, 10);
    let later = NOW + READ_INTERVAL;
    let report = Report { changes: Changes::untold(11), as_of: Some(later), tells: true };
    schedule.record_report(&report);
    assert!(schedule.is_behind());
    assert_eq!(schedule.told_age(later), Some(Duration::ZERO));
    assert_eq!(schedule.age(later), Some(READ_INTERVAL));
}
