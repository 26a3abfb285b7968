//! Runners that fail although their own health checks succeed.

use std::time::Duration;

use balance::Health;

const NOW: Duration = Duration::from_secs(50);

#[test]
fn a_runner_that_fails_nearly_half_of_its_requests_is_blocked() {
    let mut health = Health::default();
    for number in 0..40 {
        if number % 2 == 0 { health.record_failure(NOW) } else { health.record_success() }
    }
    assert!(!health.is_usable(NOW));
}

#[test]
fn a_runner_that_fails_occasionally_stays_usable() {
    let mut health = Health::default();
    for number in 0..100 {
        if number % 7 == 0 { health.record_failure(NOW) } else { health.record_success() }
    }
    assert!(health.is_usable(NOW));
}

#[test]
fn an_unreachable_runner_is_probed_with_single_requests_at_growing_intervals() {
    let mut health = Health::default();
    let mut now = NOW;
    let mut intervals = Vec::new();
    for _ in 0..5 {
        health.record_unreachable(now);
        let start = now;
        while !health.is_usable(now) {
            now += Duration::from_millis(10);
        }
        assert!(health.is_half_open());
        intervals.push(now - start);
    }
    assert!(intervals.is_sorted());
    assert!(intervals[4] > intervals[0]);
    assert!(intervals[4] <= Duration::from_secs(4));
    health.record_success();
    assert!(!health.is_half_open());
}
