//! The chain of configuration versions: all readers agree on the version in force.

use conf::Chain;
use conf::Record;
use conf::Version;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns a small valid configuration with this weight of its workspace.
fn text(weight: u64) -> String {
    let digest = conf::digest("secret");
    let runner = r#"{ "name": "a", "address": "127.0.0.1:1", "zone": "z", "warm_limit": 1, "cold_limit": 1 }"#;
    format!(
        r#"{{ "workspaces": [{{ "name": "w", "weight": {weight}, "tokens_sha256": ["{digest}"] }}],
        "services": [{{ "name": "s", "kind": "engine", "region": "r", "classes": ["long"], "runners": [{runner}] }}],
        "zones": [{{ "name": "z", "region": "r" }}] }}"#
    )
}

fn feed_all(mut chain: Chain, log: &[String], start: usize) -> Chain {
    for (offset, body) in log.iter().enumerate().skip(start) {
        chain.feed(offset as u64 + 1, body);
    }
    chain
}

fn change(base: u64, weight: u64) -> String {
    Record::change(base, &text(weight)).encode()
}

#[test]
fn records_have_the_published_shape() {
    assert_eq!(Record::change(3, "{}").encode(), r#"{"base":3,"text":"{}"}"#);
    let checkpoint = Record::decode(r#"{"checkpoint":3,"text":"{}"}"#).expect("a record");
    assert_eq!(checkpoint.encode(), r#"{"checkpoint":3,"text":"{}"}"#);
    assert_eq!(Record::decode(r#"{"base":3,"text":"{}","more":1}"#), None);
}

#[test]
fn a_change_comes_into_force_only_if_based_on_the_version_in_force() {
    let log = [change(0, 1), change(0, 2), change(1, 3), change(1, 4)];
    let chain = feed_all(Chain::new(), &log, 0);
    assert_eq!(chain.number(), 3);
    assert_eq!(chain.version().map(|version| version.text.clone()), Some(text(3)));
}

#[test]
fn an_invalid_text_or_record_has_no_effect() {
    let log = [change(0, 1), change(1, 0), "not a record".to_owned(), change(1, 2)];
    assert_eq!(feed_all(Chain::new(), &log[..3], 0).number(), 1);
    assert_eq!(feed_all(Chain::new(), &log, 0).number(), 4);
}

#[test]
fn a_record_that_is_read_again_has_no_effect() {
    let mut chain = feed_all(Chain::new(), &[change(0, 1), change(1, 2)], 0);
    assert_eq!(chain.feed(1, &change(0, 1)).map(|version| version.number), Some(2));
}

#[test]
fn a_checkpoint_keeps_its_number_and_never_reverts_to_an_older_version() {
    let mut chain = feed_all(Chain::new(), &[change(0, 1)], 0);
    let checkpoint = Record::checkpoint(chain.version().expect("a version")).encode();
    assert_eq!(chain.feed(2, &checkpoint).map(|version| version.number), Some(1));
    assert_eq!(chain.feed(3, &change(1, 2)).map(|version| version.number), Some(3));
    assert_eq!(chain.feed(4, &checkpoint).map(|version| version.number), Some(3));
    let mut trimmed = Chain::trimmed();
    assert_eq!(trimmed.feed(2, &checkpoint).map(|version| version.number), Some(1));
}

#[test]
fn a_reader_of_a_trimmed_log_waits_for_a_checkpoint() {
    let mut chain = Chain::trimmed();
    assert_eq!(chain.feed(7, &change(0, 1)), None);
}

#[test]
fn a_reader_of_a_trimmed_log_applies_changes_read_before_the_checkpoint() {
    let mut log = vec![change(0, 1), change(1, 2)];
    let first = feed_all(Chain::new(), &log[..1], 0);
    log.push(Record::checkpoint(first.version().expect("a version")).encode());
    let trimmed = feed_all(Chain::trimmed(), &log, 1);
    assert_eq!(trimmed.version(), feed_all(Chain::new(), &log, 0).version());
}

#[test]
fn a_version_adopted_from_a_peer_is_in_force_until_the_log_has_a_newer_one() {
    let log = [change(0, 1), change(1, 2), change(2, 3)];
    let mut chain = feed_all(Chain::new(), &log[..1], 0);
    assert_eq!(chain.adopt(2, &text(2)).map(|version| version.number), Some(2));
    assert_eq!(chain.adopt(1, &text(1)).map(|version| version.number), Some(2));
    assert_eq!(chain.adopt(3, "{}").map(|version| version.number), Some(2));
    assert_eq!(chain.read_to(), 1);
    let chain = feed_all(chain, &log, 1);
    assert_eq!((chain.number(), chain.read_to()), (3, 3));
}

/// One record of an author; a change is based on the version that was in force `behind` records ago.
#[derive(Debug, Clone)]
enum Step {
    Change { behind: usize, weight: u64 },
    Checkpoint,
    Garbage(String),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let change =
        (0_usize..4, 0_u64..1000).prop_map(|(behind, weight)| Step::Change { behind, weight });
    let garbage = "[ -~]{0,20}".prop_map(Step::Garbage);
    let step = prop_oneof![4 => change, 2 => Just(Step::Checkpoint), 1 => garbage];
    proptest::collection::vec(step, 1..24)
}

/// Writes the log and returns it with the indices of its checkpoints.
fn write(steps: &[Step]) -> (Vec<String>, Vec<usize>) {
    let mut log = Vec::new();
    let mut checkpoints = Vec::new();
    let mut chain = Chain::new();
    let mut seen = vec![0];
    for step in steps {
        let body = match (step, chain.version()) {
            (Step::Change { behind, weight }, _) => {
                change(seen[seen.len().saturating_sub(behind + 1)], *weight)
            }
            (Step::Checkpoint, Some(version)) => {
                checkpoints.push(log.len());
                Record::checkpoint(version).encode()
            }
            (Step::Checkpoint, None) => continue,
            (Step::Garbage(text), _) => text.clone(),
        };
        let number = chain.feed(log.len() as u64 + 1, &body).map_or(0, |version| version.number);
        seen.push(number);
        log.push(body);
    }
    (log, checkpoints)
}

/// Returns a configuration of property tests with a fixed seed.
fn fixed(cases: u32) -> ProptestConfig {
    let seed = RngSeed::Fixed(20_261_203);
    ProptestConfig { cases, rng_seed: seed, failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(fixed(256))]

    #[test]
    fn readers_agree_from_the_first_checkpoint_that_they_read(
        steps in steps(),
        start in 0_usize..24,
    ) {
        let (log, checkpoints) = write(&steps);
        let Some(checkpoint) = checkpoints.into_iter().find(|offset| *offset >= start) else {
            return Ok(());
        };
        for end in checkpoint + 1..=log.len() {
            let complete = feed_all(Chain::new(), &log[..end], 0);
            let trimmed = feed_all(Chain::trimmed(), &log[..end], start);
            prop_assert_eq!(trimmed.version(), complete.version());
        }
    }

    #[test]
    fn the_number_in_force_never_decreases(steps in steps()) {
        let (log, _) = write(&steps);
        let mut chain = Chain::new();
        let mut last = 0;
        for (offset, body) in log.iter().enumerate() {
            let number = chain.feed(offset as u64 + 1, body).map_or(0, |version| version.number);
            prop_assert!(number >= last && number <= Version::number_at(offset as u64 + 1));
            last = number;
        }
    }

    #[test]
    fn any_body_is_read_without_a_panic(body in "\\PC{0,100}", offset in any::<u64>()) {
        Chain::new().feed(offset, &body);
        Chain::trimmed().feed(offset, &body);
    }
}
