//! Tests of shares, rendezvous hashing, retry budgets, the baseline and the entry.

mod common;

use base::Class;
use base::Cost;
use base::Name;
use base::RequestId;
use common::answered;
use common::ms;
use common::name;
use common::plan;
use common::request;
use common::runner;
use common::shard;
use common::term;
use common::workspace;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use sched::Budget;
use sched::Entry;
use sched::EntryAction;
use sched::Kind;
use wire::Done;
use wire::Frame;
use wire::Grant;
use wire::NotOwner;
use wire::Outcome;
use wire::Shard;
use wire::TakeOver;
use wire::Usage;

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_203);
    ProptestConfig { cases: 256, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn shares_of_both_sides_of_a_partition_never_exceed_the_limit(
        limit in 0_u32..64, listed in 1_usize..40, first in 0_usize..40, second in 0_usize..40,
    ) {
        let first = first.min(listed);
        let second = second.min(listed - first);
        let sum = sched::share(limit, first, listed) + sched::share(limit, second, listed);
        prop_assert!(sum <= limit);
    }

    #[test]
    fn retries_are_limited_to_a_tenth_of_attempts_and_a_constant(attempts in 0_u32..2_000) {
        let mut budget = Budget::new();
        let mut retries = 0;
        for _ in 0..attempts {
            budget.record_attempt();
            retries += u32::from(budget.try_retry());
        }
        prop_assert!(retries <= attempts / 10 + 10);
    }
}

#[test]
fn a_lost_member_moves_only_its_own_shards() {
    let members: Vec<Name> = (1..=9).map(|number| name(&format!("r{number}"))).collect();
    let rest = &members[..8];
    for index in 0..200 {
        let shard = Shard::new("chat", "north", index);
        let before = sched::owner(&shard, &members).expect("there are members");
        let next = sched::successors(&shard, &members, 2);
        assert_eq!(&next[0], before);
        let expected = if *before == members[8] { &next[1] } else { before };
        assert_eq!(sched::owner(&shard, rest), Some(expected));
    }
}

#[test]
fn baseline_grants_the_runner_with_the_least_outstanding_requests() {
    let runners = vec![runner("e1", 1, 2), runner("e2", 1, 2)];
    let plan = plan(Kind::Engine, runners, vec![workspace("x", 1, 9)]);
    let mut scheduler = sched::baseline::Scheduler::new(plan);
    for id in 1..=3 {
        scheduler.submit(request(id, "x", Class::Interactive), ms(0));
    }
    let runner = |action: EntryAction| match action {
        EntryAction::Granted(grant) => grant.runner,
        other => panic!("{other:?}"),
    };
    let placed: Vec<Name> = scheduler.poll(ms(0)).into_iter().map(runner).collect();
    assert_eq!(placed, ["e1", "e2", "e1"].map(name));
}

fn grant(id: u128, at: u64) -> Frame {
    let runner = name("e1");
    Frame::Grant(Grant {
        shard: shard(),
        term: term(at),
        request: RequestId(id),
        attempt: 1,
        runner,
    })
}

fn unused(id: u128) -> Frame {
    let used = Cost::ZERO;
    let (outcome, first_token_ms) = (Outcome::Unused, None);
    Frame::Done(Done { outcome, first_token_ms, ..answered(id, used) })
}

fn entry_of(owner: &str) -> Entry {
    let mut entry = Entry::new(name("r1"));
    entry.set_owner(&shard(), Some(name(owner)), ms(0));
    let take_over = Frame::TakeOver(TakeOver { shard: shard(), term: term(5) });
    entry.handle_frame(&name(owner), &take_over, ms(0));
    entry.submit(request(1, "x", Class::Interactive), ms(0));
    entry.poll(ms(0));
    entry
}

fn sent(to: &str, frame: Frame) -> EntryAction {
    EntryAction::Send { to: name(to), frame }
}

#[test]
fn grants_of_non_owners_and_of_older_terms_are_declined() {
    for (from, at) in [("r3", 9), ("r2", 4)] {
        let mut entry = entry_of("r2");
        entry.handle_frame(&name(from), &grant(1, at), ms(1));
        let not_owner = Frame::NotOwner(NotOwner { shard: shard() });
        assert_eq!(entry.poll(ms(1)), [sent(from, unused(1)), sent(from, not_owner)]);
    }
}

#[test]
fn a_repeated_grant_is_executed_once() {
    let mut entry = entry_of("r2");
    entry.handle_frame(&name("r2"), &grant(1, 5), ms(1));
    entry.handle_frame(&name("r2"), &grant(1, 5), ms(1));
    let granted = |action: &EntryAction| matches!(action, EntryAction::Granted(_));
    assert_eq!(entry.poll(ms(1)).iter().filter(|action| granted(action)).count(), 1);
    let done = answered(1, Cost::tokens(9));
    entry.record_end(done.clone(), ms(2));
    entry.poll(ms(2));
    entry.handle_frame(&name("r2"), &grant(1, 5), ms(3));
    assert_eq!(entry.poll(ms(3)), [sent("r2", Frame::Done(done))]);
}

#[test]
fn a_grant_of_a_cancelled_request_is_declined() {
    let mut entry = entry_of("r2");
    entry.cancel(RequestId(1), ms(1));
    entry.poll(ms(1));
    entry.handle_frame(&name("r2"), &grant(1, 5), ms(2));
    assert_eq!(entry.poll(ms(2)), [sent("r2", unused(1))]);
}

#[test]
fn usage_is_reported_after_half_a_second_and_then_at_doubling_intervals() {
    let mut entry = entry_of("r2");
    entry.handle_frame(&name("r2"), &grant(1, 5), ms(1));
    entry.poll(ms(1));
    let usage = |tokens| {
        let used = Cost::tokens(tokens);
        [sent("r2", Frame::Usage(vec![Usage { shard: shard(), request: RequestId(1), used }]))]
    };
    entry.record_usage(&shard(), RequestId(1), Cost::tokens(1), ms(10));
    entry.record_usage(&shard(), RequestId(1), Cost::tokens(2), ms(20));
    assert_eq!(entry.poll(ms(20)), []);
    assert_eq!(entry.poll(ms(501)), usage(2));
    entry.record_usage(&shard(), RequestId(1), Cost::tokens(3), ms(600));
    assert_eq!(entry.poll(ms(1_250)), []);
    assert_eq!(entry.poll(ms(1_501)), usage(3));
}
