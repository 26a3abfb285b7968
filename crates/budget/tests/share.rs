//! Waiting for memory, and giving way.

use std::time::Duration;

use budget::Budget;
use budget::Class;
use budget::Limits;
use budget::Refused;
use tokio::join;

const LIMITS: Limits = Limits { total: 1_000, reserved: 0, answers: 0, small: 0 };

/// Guards against a stalled holding that is not told to give way, and against a waiter that misses the release.
#[tokio::test]
async fn a_stalled_holding_gives_way_to_one_that_waits() {
    let budget = Budget::new(LIMITS);
    let stalled = budget.reservation(1, Class::Incomplete);
    assert!(stalled.try_grow(1_000));
    let waiting = budget.reservation(2, Class::Incomplete);
    let give_way = async {
        stalled.evicted().await;
        drop(stalled);
    };
    let (grown, ()) = join!(waiting.grow(900, Duration::from_secs(10)), give_way);
    assert_eq!(grown, Ok(()));
    let figures = budget.figures();
    assert_eq!((figures.held, figures.evicted, figures.refused), (900, 1, 0));
}

/// Guards against a wait without an end where nothing gives way.
#[tokio::test]
async fn a_wait_beside_what_is_needed_ends_in_a_refusal() {
    let budget = Budget::new(LIMITS);
    let needed = budget.reservation(1, Class::Needed);
    assert!(needed.try_grow(1_000));
    let waiting = budget.reservation(2, Class::Incomplete);
    assert_eq!(waiting.grow(1, Duration::from_millis(50)).await, Err(Refused::NoMemory));
    assert_eq!(waiting.grow(1_001, Duration::from_secs(10)).await, Err(Refused::TooLarge));
    assert_eq!((budget.figures().held, budget.figures().refused), (1_000, 2));
}
