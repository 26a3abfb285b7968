//! Limits that hold over all routers although they have no common counter.

use std::time::Duration;

use balance::ColdLimit;
use balance::RetryBudget;
use balance::Window;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
/// The time for which the process of a router has run, longer than any window.
const RUNS_FOR: Duration = Duration::from_secs(60);

fn routers(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("router-{number}")).collect()
}

proptest! {
    #[test]
    fn the_shares_of_a_cold_runner_stay_within_its_limit(
        count in 1..500usize,
        runner: u64,
        rate in 0.0..100.0f64,
    ) {
        let routers = routers(count);
        let cold_limit = ColdLimit::new(rate, 1.5, 5.0);
        let sum: u64 = routers
            .iter()
            .map(|router| {
                let others = routers.iter().filter(|other| *other != router).map(String::as_str);
                cold_limit.share(runner, router, others)
            })
            .sum();
        prop_assert!(sum as f64 <= rate * 1.5 + 5.0, "{sum}");
        prop_assert!(sum >= 1 || rate * 1.5 + 5.0 < 2.0, "no router may use the runner");
    }

    #[test]
    fn retries_of_all_routers_stay_within_the_budget(
        count in 1..60usize,
        requests in 0..200u32,
        tries in 1..200u32,
    ) {
        let mut spent = 0u32;
        for _ in 0..count {
            let mut budget = RetryBudget::new(10 * SECOND, 0.2, 58.0);
            for _ in 0..requests {
                budget.record_request(SECOND);
            }
            for _ in 0..tries {
                spent += u32::from(budget.take_retry(SECOND, RUNS_FOR, count));
            }
        }
        let stated = 0.2 * f64::from(requests) * count as f64 + 58.0;
        prop_assert!(f64::from(spent) <= stated, "{spent} of {stated}");
    }

    #[test]
    fn a_window_never_counts_less_than_it_contains(
        steps in prop::collection::vec((0..300u64, 1..5u64), 1..200),
    ) {
        let mut window = Window::new(SECOND);
        let mut now = Duration::ZERO;
        let mut added: Vec<(Duration, u64)> = Vec::new();
        for (interval, amount) in steps {
            now += Duration::from_millis(interval);
            window.add(now, amount);
            added.push((now, amount));
            let inside = added.iter().filter(|(at, _)| now - *at < SECOND);
            let exact: u64 = inside.map(|(_, amount)| amount).sum();
            prop_assert!(window.sum(now) >= exact);
        }
        prop_assert_eq!(window.sum(now + 3 * SECOND), 0);
    }
}

#[test]
fn a_spent_budget_is_available_again_after_its_window() {
    let mut budget = RetryBudget::new(10 * SECOND, 0.0, 10.0);
    while budget.take_retry(SECOND, RUNS_FOR, 1) {}
    assert!(!budget.take_retry(5 * SECOND, RUNS_FOR, 1));
    assert!(budget.take_retry(12 * SECOND, RUNS_FOR, 1));
}
