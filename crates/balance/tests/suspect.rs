//! Requests that crash runners, seen from several routers.

use std::time::Duration;

use balance::Suspects;
use base::Name;

const NOW: Duration = Duration::from_secs(50);

#[test]
fn a_request_is_refused_after_three_crashes_at_different_routers() {
    let mut suspects = Suspects::default();
    suspects.crashed(NOW, 7);
    suspects.put(&Name::new("router-2"), NOW, 7, 1);
    assert!(!suspects.is_refused(NOW, 7));
    suspects.put(&Name::new("router-3"), NOW, 7, 1);
    assert!(suspects.is_refused(NOW, 7));
    assert!(!suspects.is_refused(NOW, 8));
}

#[test]
fn the_same_news_told_twice_counts_once() {
    let mut suspects = Suspects::default();
    for _ in 0..5 {
        suspects.put(&Name::new("router-2"), NOW, 7, 2);
    }
    assert!(!suspects.is_refused(NOW, 7));
}

#[test]
fn a_request_that_was_answered_is_not_refused() {
    let mut suspects = Suspects::default();
    for _ in 0..3 {
        suspects.crashed(NOW, 7);
    }
    suspects.answered(NOW, 7);
    assert!(!suspects.is_refused(NOW, 7));
}

#[test]
fn crashes_are_forgotten_after_a_while() {
    let mut suspects = Suspects::default();
    for _ in 0..3 {
        suspects.crashed(NOW, 7);
    }
    assert!(!suspects.is_refused(NOW + Duration::from_secs(300), 7));
}

#[test]
fn memory_stays_bounded() {
    let mut suspects = Suspects::default();
    for digest in 0..20_000 {
        suspects.crashed(NOW, digest);
    }
    assert!(suspects.own(NOW).len() <= 32);
    suspects.crashed(NOW, 19_999);
    suspects.crashed(NOW, 19_999);
    assert!(suspects.is_refused(NOW, 19_999));
}
