//! Tests of the table of claims, with random interleavings of claims, lost answers, releases and duplicates.

mod simulation;

use std::time::Duration;

use claim::Answer;
use claim::Claim;
use claim::Digest;
use claim::Entry;
use claim::KeyState;
use claim::Limits;
use claim::Outcome;
use claim::Refusal;
use claim::Release;
use claim::Resolution;
use claim::Scope;
use claim::Table;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use simulation::Simulation;
use uuid::Uuid;

const HOUR_MS: u64 = 3_600_000;
const NOW_MS: u64 = 1_700_000_000_000;

fn limits() -> Limits {
    Limits::new(Duration::from_millis(HOUR_MS), Duration::from_secs(2))
}

fn key(created_ms: u64) -> Uuid {
    Uuid::from_u128(u128::from(created_ms) << 80 | 0x7000_8000_0000_0000_0000)
}

fn scope(created_ms: u64) -> Scope {
    Scope::new("acme", "orders", key(created_ms))
}

fn claim(scope: &Scope, id: u128) -> Claim {
    Claim {
        scope: scope.clone(),
        id: Uuid::from_u128(id),
        request: Uuid::from_u128(id + 100),
        router: "r1".into(),
        digest: Digest::of(b"content"),
    }
}

fn release(scope: &Scope, id: u128) -> Entry {
    Entry::Release(Release { scope: scope.clone(), id: Uuid::from_u128(id) })
}

fn answer(body: &[u8]) -> Answer {
    Answer { status: 201, content_type: Some("text/plain".to_owned()), body: body.to_vec() }
}

fn outcome(scope: &Scope, id: u128, body: &[u8], limit: usize) -> Entry {
    Entry::Outcome(Outcome::new(scope.clone(), Uuid::from_u128(id), answer(body), limit))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x0a59_e411),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn at_most_one_claim_of_a_key_may_run_and_all_readers_agree(steps in vec(any::<[u8; 4]>(), 1..120)) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step);
        }
        simulation.finish();
    }
}

#[test]
fn a_claim_of_a_held_key_stays_void_after_the_release() {
    let mut table = Table::new(limits());
    let scope = scope(NOW_MS);
    assert_eq!(table.apply(&Entry::Claim(claim(&scope, 1))), Some(Resolution::Acquired));
    assert_eq!(table.apply(&Entry::Claim(claim(&scope, 2))), Some(Resolution::Void));
    assert_eq!(table.apply(&release(&scope, 1)), None);
    assert_eq!(table.apply(&Entry::Claim(claim(&scope, 2))), Some(Resolution::Void));
    assert_eq!(table.key_state(&scope, &Digest::of(b"content")), KeyState::Free);
    assert_eq!(table.apply(&Entry::Claim(claim(&scope, 3))), Some(Resolution::Acquired));
}

#[test]
fn keys_outside_the_window_are_refused() {
    let table = Table::new(limits());
    let check_age = |created_ms| table.check_age(&scope(created_ms), NOW_MS);
    let oldest = NOW_MS - limits().window_ms;
    let newest = NOW_MS + limits().clock_error_ms;
    assert_eq!(check_age(oldest), Ok(()));
    assert_eq!(check_age(oldest - 1), Err(Refusal::KeyTooOld));
    assert_eq!(check_age(newest), Ok(()));
    assert_eq!(check_age(newest + 1), Err(Refusal::KeyFromFuture));
    let ageless = Scope::new("acme", "orders", Uuid::from_u128(4 << 76 | 8 << 60));
    assert_eq!(table.check_age(&ageless, NOW_MS), Err(Refusal::KeyTooOld));
}

#[test]
fn window_clock_errors_and_deadline_add_up_to_the_retention() {
    let sums = [1, 10, 600, 86_400].map(|seconds| {
        let limits = Limits::new(Duration::from_secs(seconds), Duration::from_millis(100));
        limits.window_ms + 3 * limits.clock_error_ms + 100
    });
    assert_eq!(sums, [1_000, 10_000, 600_000, 86_400_000]);
}

#[test]
fn keys_that_missed_records_may_concern_are_refused() {
    let mut table = Table::new(limits());
    let missed_ms = NOW_MS - HOUR_MS / 2;
    table.record_gap(missed_ms);
    let floor_ms = missed_ms + 2 * limits().clock_error_ms;
    assert_eq!(table.check_age(&scope(floor_ms), NOW_MS), Err(Refusal::KeyTooOld));
    assert_eq!(table.check_age(&scope(floor_ms + 1), NOW_MS), Ok(()));
}

#[test]
fn a_full_table_refuses_keys_as_old_as_the_evicted_ones() {
    let mut table = Table::new(Limits { max_keys: 2, ..limits() });
    for age in [3, 2, 1] {
        table.apply(&Entry::Claim(claim(&scope(NOW_MS - age), 1)));
    }
    assert_eq!(table.len(), 2);
    assert_eq!(table.check_age(&scope(NOW_MS - 3), NOW_MS), Err(Refusal::KeyTooOld));
    assert_eq!(table.check_age(&scope(NOW_MS - 2), NOW_MS), Ok(()));
}

#[test]
fn keys_are_kept_until_no_router_accepts_them() {
    let mut table = Table::new(limits());
    let scope = scope(NOW_MS);
    table.apply(&Entry::Claim(claim(&scope, 1)));
    table.apply(&outcome(&scope, 1, b"created", 10));
    table.expire(NOW_MS + HOUR_MS);
    assert_eq!((table.len(), table.bytes() > 0), (1, true));
    table.expire(NOW_MS + HOUR_MS + 1);
    assert_eq!((table.len(), table.bytes()), (0, 0));
}

#[test]
fn a_finished_key_keeps_its_first_outcome() {
    let mut table = Table::new(limits());
    let scope = scope(NOW_MS);
    table.apply(&Entry::Claim(claim(&scope, 1)));
    table.apply(&outcome(&scope, 2, b"of a void claim", 100));
    assert_eq!(
        table.key_state(&scope, &Digest::of(b"content")),
        KeyState::Held(Uuid::from_u128(1))
    );
    table.apply(&outcome(&scope, 1, b"\x00\xff", 100));
    table.apply(&release(&scope, 1));
    table.apply(&outcome(&scope, 1, b"again", 100));
    assert_eq!(
        table.key_state(&scope, &Digest::of(b"content")),
        KeyState::Finished(answer(b"\x00\xff"))
    );
    assert_eq!(table.key_state(&scope, &Digest::of(b"other")), KeyState::Reused);
}

#[test]
fn an_answer_beyond_the_limits_is_not_kept() {
    let mut table = Table::new(Limits { max_total_body_bytes: 10, ..limits() });
    let views = [(1, 7, 8), (2, 7, 8), (3, 9, 8)].map(|(id, size, limit)| {
        let scope = scope(NOW_MS + u64::try_from(id).expect("a small id"));
        table.apply(&Entry::Claim(claim(&scope, id)));
        table.apply(&outcome(&scope, id, &vec![b'a'; size], limit));
        table.key_state(&scope, &Digest::of(b"content"))
    });
    let not_kept = KeyState::Finished(Answer::not_kept(201));
    assert_eq!(views, [KeyState::Finished(answer(b"aaaaaaa")), not_kept.clone(), not_kept]);
}

#[test]
fn entries_have_their_documented_encoding() {
    let scope = scope(NOW_MS);
    let entries = vec![
        Entry::Claim(claim(&scope, 1)),
        release(&scope, 1),
        outcome(&scope, 1, b"text", 10),
        outcome(&scope, 1, b"\xff\x00", 10),
        outcome(&scope, 1, b"too large", 1),
    ];
    let text = claim::encode(&entries);
    let digest = "ed7002b439e9ac845f22357d822bac1444730fbdb6016d3ec9432297b9ec9f73";
    let at = r#""w":"acme","s":"orders","k":"018bcfe5-6800-7000-8000-000000000000","i":"00000000-0000-0000-0000-000000000001""#;
    let expected = [
        format!(
            r#"[{{"c":{{{at},"q":"00000000-0000-0000-0000-000000000065","r":"r1","d":"{digest}"}}}}"#
        ),
        format!(r#"{{"r":{{{at}}}}}"#),
        format!(r#"{{"o":{{{at},"a":201,"h":"text/plain","b":"text"}}}}"#),
        format!(r#"{{"o":{{{at},"a":201,"h":"text/plain","x":"ff00"}}}}"#),
        format!(r#"{{"o":{{{at},"a":201,"h":"text/plain","l":true}}}}]"#),
    ];
    assert_eq!(text, expected.join(","));
    assert_eq!(claim::decode(&text), Some(entries));
    assert_eq!(claim::decode("{}"), None);
}
