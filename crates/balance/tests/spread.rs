//! Moving callers away from an instance that gets more than its part.

use balance::accept_backlog;
use balance::close_fraction;
use balance::is_overloaded;

#[test]
fn an_instance_near_the_mean_keeps_its_callers() {
    assert!(close_fraction(50.0, 0.25, 200.0) <= 0.0);
    assert!(close_fraction(75.0, 0.25, 200.0) <= 0.0);
}

#[test]
fn a_flooded_instance_sends_callers_away_and_never_all_at_once() {
    let part = close_fraction(500.0, 0.25, 200.0);
    assert!(part > 0.3);
    assert!(close_fraction(1e9, 0.1, 1.0) < 1.0);
}

#[test]
fn a_large_instance_may_have_more_callers_than_a_small_one() {
    assert!(close_fraction(100.0, 0.5, 200.0) <= 0.0);
    assert!(close_fraction(100.0, 0.12, 200.0) > 0.0);
}

#[test]
fn an_instance_with_few_requests_keeps_them() {
    assert!(close_fraction(8.0, 0.1, 1.0) <= 0.0);
}

#[test]
fn only_an_instance_far_above_the_mean_is_not_named() {
    assert!(is_overloaded(900.0, 0.12, 300.0));
    assert!(!is_overloaded(60.0, 0.12, 300.0));
    assert!(!is_overloaded(8.0, 0.12, 1.0));
}

#[test]
fn no_more_connections_wait_than_are_accepted_in_time() {
    // A processor accepts and serves some 2,500 connections a second; a caller waits for a fifth of a second.
    assert_eq!(accept_backlog(0.12), 60);
    assert_eq!(accept_backlog(0.5), 250);
    // Callers who come back together find a place at the smallest instance, and a large one keeps a bound.
    assert_eq!(accept_backlog(0.01), 48);
    assert_eq!(accept_backlog(64.0), 1_024);
}
