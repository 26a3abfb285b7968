//! Runners that fail while their own health answers are good.

use std::time::Duration;

use balance::Health;

const NOW: Duration = Duration::from_secs(50);

#[test]
fn a_runner_that_fails_nearly_half_of_its_requests_is_left_alone() {
    let mut health = Health::default();
    for number in 0..40 {
        if number % 2 == 0 { health.record_failure(NOW) } else { health.record_success() }
    }
    assert!(!health.is_usable(NOW));
}

#[test]
fn a_runner_that_fails_now_and_then_is_used() {
    let mut health = Health::default();
    for number in 0..100 {
        if number % 7 == 0 { health.record_failure(NOW) } else { health.record_success() }
    }
    assert!(health.is_usable(NOW));
}

#[test]
fn an_unreachable_runner_is_tried_with_single_requests_at_growing_pauses() {
    let mut health = Health::default();
    let mut now = NOW;
    let mut pauses = Vec::new();
    for _ in 0..5 {
        health.record_unreachable(now);
        let begun = now;
        while !health.is_usable(now) {
            now += Duration::from_millis(10);
        }
        assert!(health.is_half_open());
        pauses.push(now - begun);
    }
    assert!(pauses.is_sorted());
    assert!(pauses[4] > pauses[0]);
    assert!(pauses[4] <= Duration::from_secs(4));
    health.record_success();
    assert!(!health.is_half_open());
}
