//! Adaptive limits on the load of one engine.

mod common;

use std::time::Duration;

use balance::AdaptiveLimit;

use crate::common::TARGET;
use crate::common::ms;

#[test]
fn limits_of_routers_with_different_measurements_converge() {
    let mut idle = AdaptiveLimit::default();
    let mut busy = AdaptiveLimit::default();
    busy.record_request(ms(0), Duration::from_secs(12), 1_000);
    for step in 0..400 {
        let now = ms(10 * step);
        busy.record_first_token(now, ms(50), TARGET, true);
        busy.record_token_time(now, ms(40), true);
        if step % 10 == 0 {
            let (idle_before, busy_before) = (idle.limits(), busy.limits());
            idle.move_towards(busy_before, 1.0);
            busy.move_towards(idle_before, 1.0);
        }
    }
    let (idle, busy) = (idle.limits(), busy.limits());
    assert!(idle.running.abs_diff(busy.running) <= 6, "{idle:?} {busy:?}");
    assert!(idle.backlog.abs_diff(busy.backlog) * 4 <= idle.backlog, "{idle:?} {busy:?}");
}

#[test]
fn late_first_tokens_lower_the_backlog_limit_and_early_ones_raise_it_while_requests_wait() {
    let mut adaptive_limit = AdaptiveLimit::default();
    let initial = adaptive_limit.limits().backlog;
    adaptive_limit.record_first_token(ms(1_000), ms(450), TARGET, true);
    let lowered = adaptive_limit.limits().backlog;
    assert!(lowered < initial);
    adaptive_limit.record_first_token(ms(1_010), ms(100), TARGET, false);
    assert_eq!(adaptive_limit.limits().backlog, lowered);
    adaptive_limit.record_first_token(ms(1_020), ms(100), TARGET, true);
    assert!(adaptive_limit.limits().backlog > lowered);
}
