//! Moving callers away from an instance that gets more than its part.

use balance::closed_part;
use balance::is_flooded;
use balance::waiting_connections;

#[test]
fn an_instance_near_the_mean_keeps_its_callers() {
    assert!(closed_part(50.0, 0.25, 200.0) <= 0.0);
    assert!(closed_part(75.0, 0.25, 200.0) <= 0.0);
}

#[test]
fn a_flooded_instance_sends_callers_away_and_never_all_at_once() {
    let part = closed_part(500.0, 0.25, 200.0);
    assert!(part > 0.3);
    assert!(closed_part(1e9, 0.1, 1.0) < 1.0);
}

#[test]
fn a_large_instance_may_have_more_callers_than_a_small_one() {
    assert!(closed_part(100.0, 0.5, 200.0) <= 0.0);
    assert!(closed_part(100.0, 0.12, 200.0) > 0.0);
}

#[test]
fn an_instance_with_few_requests_keeps_them() {
    assert!(closed_part(8.0, 0.1, 1.0) <= 0.0);
}

#[test]
fn only_an_instance_far_above_the_mean_is_not_named() {
    assert!(is_flooded(900.0, 0.12, 300.0));
    assert!(!is_flooded(60.0, 0.12, 300.0));
    assert!(!is_flooded(8.0, 0.12, 1.0));
}

#[test]
fn no_more_connections_wait_than_are_accepted_in_time() {
    // A processor accepts and serves some 2,500 connections a second; a caller waits for a fifth of a second.
    assert_eq!(waiting_connections(0.12), 60);
    assert_eq!(waiting_connections(0.5), 250);
    // Callers who come back together find a place at the smallest instance, and a large one keeps a bound.
    assert_eq!(waiting_connections(0.01), 48);
    assert_eq!(waiting_connections(64.0), 1_024);
}
