//! What a runner states of the rate of requests that it takes, and what holds of it.

mod common;

use std::time::Duration;

use balance::RateLimit;
use balance::Statement;

use crate::common::ms;

const NOW: Duration = Duration::from_secs(100);

fn statement(at: Duration, per_second: impl Into<Option<f64>>) -> Statement {
    Statement { per_second: per_second.into(), at }
}

fn limit(stated: &[(u64, Option<f64>)]) -> RateLimit {
    let mut limit = RateLimit::default();
    for (at, per_second) in stated {
        limit.record(statement(NOW + ms(*at), *per_second));
    }
    limit
}

#[test]
fn a_runner_that_states_nothing_has_no_limit() {
    assert_eq!(limit(&[(0, None), (10, None)]).per_second(NOW + ms(20)), None);
}

#[test]
fn a_stated_limit_holds_until_another_word_comes() {
    let limit = limit(&[(0, Some(8.0))]);
    assert_eq!(limit.per_second(NOW), Some(8.0));
    assert_eq!(limit.per_second(NOW + Duration::from_secs(3_600)), Some(8.0));
}

#[test]
fn a_lower_limit_holds_at_once_and_a_higher_one_is_reached_by_doubling() {
    let limit = limit(&[(0, Some(8.0)), (100, Some(2.0)), (200, Some(100.0))]);
    assert_eq!(limit.per_second(NOW + ms(100)), Some(2.0));
    assert_eq!(limit.per_second(NOW + ms(1_100)), Some(2.0));
    assert_eq!(limit.per_second(NOW + ms(1_350)), Some(4.0));
    assert_eq!(limit.per_second(NOW + ms(1_100 + 7 * 250)), Some(100.0));
}

/// Guards against a single late answer without a limit, on which all routers would send what waits.
#[test]
fn an_answer_without_a_limit_beside_answers_with_one_frees_nothing() {
    let mut stated = Vec::new();
    for step in 0..40 {
        stated.push((step * 100, if step % 2 == 0 { Some(8.0) } else { None }));
    }
    let limit = limit(&stated);
    assert_eq!(limit.per_second(NOW + ms(4_000)), Some(8.0));
}

#[test]
fn a_limit_ends_some_time_after_answers_state_none() {
    let limit = limit(&[(0, Some(8.0)), (100, None), (600, None), (1_100, None)]);
    assert_eq!(limit.per_second(NOW + ms(1_000)), Some(8.0));
    assert_eq!(limit.per_second(NOW + ms(1_500)), Some(32.0));
    assert_eq!(limit.per_second(NOW + ms(2_750)), None);
}

#[test]
fn a_limit_of_zero_ends_as_well() {
    let limit = limit(&[(0, Some(0.0)), (100, None)]);
    assert_eq!(limit.per_second(NOW + ms(100)), Some(0.0));
    assert_eq!(limit.per_second(NOW + ms(1_250)), Some(2.0));
    assert_eq!(limit.per_second(NOW + ms(3_500)), None);
}

/// Guards against a limit that rises with each answer and is never reached.
#[test]
fn a_limit_that_rises_all_the_time_is_followed() {
    let stated: Vec<_> = (0..60).map(|step| (step * 100, Some(8.0 + step as f64))).collect();
    let limit = limit(&stated);
    assert!(limit.per_second(NOW + ms(5_900)).is_some_and(|limit| limit > 55.0));
}

#[test]
fn a_limit_that_no_runner_can_exceed_is_none() {
    assert_eq!(limit(&[(0, Some(1e12))]).per_second(NOW), None);
}

#[test]
fn an_older_word_of_another_router_changes_nothing() {
    let mut limit = limit(&[(100, None)]);
    assert!(!limit.record_told(statement(NOW + ms(50), 8.0)));
    assert_eq!(limit.per_second(NOW + ms(100)), None);
    assert!(limit.record_told(statement(NOW + ms(150), 8.0)));
    assert_eq!(limit.per_second(NOW + ms(150)), Some(8.0));
}

#[test]
fn only_own_words_are_told_and_only_once() {
    let mut limit = limit(&[(0, None)]);
    assert_eq!(limit.take_untold(), None);
    limit.record(statement(NOW + ms(100), 8.0));
    assert_eq!(limit.take_untold(), Some(statement(NOW + ms(100), 8.0)));
    assert_eq!(limit.take_untold(), None);
    limit.record_told(statement(NOW + ms(200), 7.0));
    assert_eq!(limit.take_untold(), None);
    limit.record(statement(NOW + ms(300), None));
    assert_eq!(limit.take_untold(), Some(statement(NOW + ms(300), None)));
}
