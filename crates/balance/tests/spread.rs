//! Moving callers away from an instance that receives more than its share.

use balance::accept_backlog;
use balance::close_fraction;
use balance::is_overloaded;

#[test]
fn an_instance_near_the_mean_keeps_its_callers() {
    assert!(close_fraction(50.0, 0.25, 200.0) <= 0.0);
    assert!(close_fraction(75.0, 0.25, 200.0) <= 0.0);
}

#[test]
fn an_overloaded_instance_closes_some_connections_but_never_all_at_once() {
    let fraction = close_fraction(500.0, 0.25, 200.0);
    assert!(fraction > 0.3);
    assert!(close_fraction(1e9, 0.1, 1.0) < 1.0);
}

#[test]
fn a_large_instance_may_receive_more_requests_than_a_small_one() {
    assert!(close_fraction(100.0, 0.5, 200.0) <= 0.0);
    assert!(close_fraction(100.0, 0.12, 200.0) > 0.0);
}

#[test]
fn an_instance_with_few_requests_keeps_them() {
    assert!(close_fraction(8.0, 0.1, 1.0) <= 0.0);
}

#[test]
fn only_an_instance_far_above_the_mean_is_overloaded() {
    assert!(is_overloaded(900.0, 0.12, 300.0));
    assert!(!is_overloaded(60.0, 0.12, 300.0));
    assert!(!is_overloaded(8.0, 0.12, 1.0));
}

#[test]
fn the_accept_backlog_holds_no_more_connections_than_are_accepted_in_time() {
    // A processor accepts and serves about 2,500 connections per second; a caller waits for a fifth of a second.
    assert_eq!(accept_backlog(0.12), 60);
    assert_eq!(accept_backlog(0.5), 250);
    // The smallest instance has room for callers that reconnect together, and the backlog of a large one is bounded.
    assert_eq!(accept_backlog(0.01), 48);
    assert_eq!(accept_backlog(64.0), 1_024);
}
