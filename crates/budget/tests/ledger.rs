//! Properties of the ledger under any order of calls.

use std::time::Duration;

use budget::Class;
use budget::Key;
use budget::Ledger;
use budget::Limits;
use proptest::prelude::*;

const LIMITS: Limits = Limits { total: 1_000, reserved: 250, answers: 100, small: 40 };

/// One call to the ledger; holdings are picked by number.
#[derive(Debug, Clone, Copy)]
enum Step {
    Open(u64, Class),
    Grow(usize, usize),
    Shrink(usize, usize),
    Close(usize),
    Progress(usize, usize),
    SetClass(usize, Class),
    Wait(usize),
    EvictFor(usize),
    EvictStalled,
}

fn class() -> impl Strategy<Value = Class> {
    prop_oneof![Just(Class::Incomplete), Just(Class::Unread), Just(Class::Needed)]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..4_u64, class()).prop_map(|(owner, class)| Step::Open(owner, class)),
        6 => (0..32_usize, 0..300_usize).prop_map(|(key, bytes)| Step::Grow(key, bytes)),
        3 => (0..32_usize, 0..400_usize).prop_map(|(key, bytes)| Step::Shrink(key, bytes)),
        2 => (0..32_usize).prop_map(Step::Close),
        2 => (0..32_usize, 0..80_000_usize).prop_map(|(key, bytes)| Step::Progress(key, bytes)),
        1 => (0..32_usize, class()).prop_map(|(key, class)| Step::SetClass(key, class)),
        2 => (0..32_usize).prop_map(Step::Wait),
        2 => (0..32_usize).prop_map(Step::EvictFor),
        1 => Just(Step::EvictStalled),
    ]
}

fn pick(keys: &[Key], number: usize) -> Option<Key> {
    keys.get(number % keys.len().max(1)).copied()
}

proptest! {
    /// Guards against memory that no holding has and no one gets, and against holdings beyond the total.
    #[test]
    fn no_order_of_calls_leaks_or_exceeds(steps in prop::collection::vec((step(), 0..400_u64), 0..200)) {
        let mut ledger = Ledger::new(LIMITS);
        let (mut now, mut keys) = (Duration::ZERO, Vec::new());
        for (step, pause) in steps {
            now += Duration::from_millis(pause);
            match step {
                Step::Open(owner, class) => keys.push(ledger.open(now, owner, class)),
                Step::Grow(number, bytes) => {
                    if let Some(key) = pick(&keys, number) {
                        let (held, own) = (ledger.held(), ledger.bytes(key));
                        let is_taken = ledger.grow(key, bytes);
                        let taken = if is_taken { bytes } else { 0 };
                        prop_assert_eq!(ledger.held(), held + taken);
                        prop_assert_eq!(ledger.bytes(key), own + taken);
                        let is_large = own + bytes > LIMITS.small && bytes > 0;
                        prop_assert!(!is_taken || !is_large || ledger.held() <= LIMITS.total - LIMITS.reserved);
                    }
                }
                Step::Shrink(number, bytes) => {
                    pick(&keys, number).inspect(|key| ledger.shrink(*key, bytes));
                }
                Step::Close(number) => {
                    if let Some(key) = pick(&keys, number) {
                        ledger.close(key);
                        keys.retain(|other| *other != key);
                    }
                }
                Step::Progress(number, bytes) => {
                    pick(&keys, number).inspect(|key| ledger.record_progress(now, *key, bytes));
                }
                Step::SetClass(number, class) => {
                    pick(&keys, number).inspect(|key| ledger.set_class(now, *key, class));
                }
                Step::Wait(number) => {
                    pick(&keys, number).inspect(|key| ledger.begin_wait(now, *key));
                }
                Step::EvictFor(number) => {
                    if let Some(key) = pick(&keys, number) {
                        let victim = ledger.evict_for(now, key);
                        prop_assert!(victim != Some(key));
                        prop_assert!(victim.is_none_or(|victim| keys.contains(&victim)));
                    }
                }
                Step::EvictStalled => {
                    let victim = ledger.evict_stalled(now);
                    prop_assert!(victim.is_none_or(|victim| keys.contains(&victim)));
                }
            }
            let sum: usize = keys.iter().map(|key| ledger.bytes(*key)).sum();
            prop_assert_eq!(ledger.held(), sum);
            prop_assert_eq!((0..4).map(|owner| ledger.held_by(owner)).sum::<usize>(), sum);
            prop_assert!(sum <= LIMITS.total);
        }
        for key in keys {
            ledger.close(key);
        }
        prop_assert_eq!(ledger.held(), 0);
    }
}

/// Guards against large holdings that leave no room for a small one.
#[test]
fn a_small_holding_finds_room_beside_large_ones() {
    let mut ledger = Ledger::new(LIMITS);
    let large = ledger.open(Duration::ZERO, 1, Class::Incomplete);
    assert!(ledger.grow(large, 650));
    assert!(!ledger.grow(large, 1), "the rest is for answers and small holdings");
    let answer = ledger.open(Duration::ZERO, 1, Class::Needed);
    assert!(ledger.grow(answer, 100));
    assert!(!ledger.grow(answer, 1), "the rest is for small holdings");
    for _ in 0..6 {
        let small = ledger.open(Duration::ZERO, 2, Class::Incomplete);
        assert!(ledger.grow(small, LIMITS.small));
    }
}

/// Returns a ledger that is full, and the keys of a body that waits and of those that hold memory.
fn full(holdings: &[(u64, Class, usize)]) -> (Ledger, Key, Vec<Key>) {
    let mut ledger = Ledger::new(Limits { total: 1_000, reserved: 0, answers: 0, small: 0 });
    let mut open = |(owner, class, bytes): (u64, Class, usize)| {
        let key = ledger.open(Duration::ZERO, owner, class);
        assert!(ledger.grow(key, bytes));
        key
    };
    let keys = holdings.iter().copied().map(&mut open).collect();
    let needer = ledger.open(Duration::ZERO, 99, Class::Incomplete);
    ledger.begin_wait(Duration::ZERO, needer);
    (ledger, needer, keys)
}

const STALLED: Duration = Duration::from_secs(1);

#[test]
fn an_incomplete_body_gives_way_before_an_unread_answer_and_what_runs_never_does() {
    let holdings = [(1, Class::Needed, 500), (1, Class::Unread, 400), (1, Class::Incomplete, 100)];
    let (mut ledger, needer, keys) = full(&holdings);
    assert_eq!(ledger.evict_for(STALLED, needer), Some(keys[2]));
    assert!(ledger.is_evicted(keys[2]));
    assert_eq!(ledger.evict_for(STALLED, needer), None, "the first still has its memory");
    ledger.close(keys[2]);
    assert_eq!(ledger.evict_for(STALLED, needer), Some(keys[1]));
    ledger.close(keys[1]);
    assert_eq!(ledger.evict_for(STALLED, needer), None);
}

#[test]
fn the_holding_of_an_owner_with_much_gives_way_first() {
    let holdings =
        [(1, Class::Incomplete, 100), (2, Class::Incomplete, 300), (2, Class::Incomplete, 300)];
    let (mut ledger, needer, keys) = full(&holdings);
    assert_ne!(ledger.evict_for(STALLED, needer), Some(keys[0]));
}

#[test]
fn the_holding_that_progresses_gives_way_to_none() {
    let holdings = [(1, Class::Incomplete, 300), (1, Class::Incomplete, 300)];
    let (mut ledger, needer, keys) = full(&holdings);
    ledger.record_progress(STALLED, keys[0], 100 << 10);
    assert_eq!(ledger.evict_for(STALLED, needer), Some(keys[1]));
    ledger.close(keys[1]);
    assert_eq!(ledger.evict_for(STALLED, needer), None);
}

/// Guards against bodies that all wait for memory which none of them gives back.
#[test]
fn of_bodies_that_wait_for_each_other_the_younger_gives_way() {
    let mut ledger = Ledger::new(Limits { total: 1_000, reserved: 0, answers: 0, small: 0 });
    let [older, younger] = [1, 2].map(|owner| {
        let key = ledger.open(Duration::ZERO, owner, Class::Incomplete);
        assert!(ledger.grow(key, 500));
        ledger.begin_wait(Duration::ZERO, key);
        key
    });
    assert_eq!(ledger.evict_for(Duration::ZERO, older), None, "both have just begun to wait");
    assert_eq!(ledger.evict_for(STALLED, younger), None);
    assert_eq!(ledger.evict_for(STALLED, older), Some(younger));
}
