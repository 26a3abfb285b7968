//! Requests that crash runners are refused after two crashes, and no other request is.

use std::time::Duration;

use base::Attempt;
use base::RequestId;
use claim::Admission;
use claim::Crashes;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use wire::Crash;

const NOW: Duration = Duration::from_secs(100);
const CULPRIT: u64 = 0;
const ROUTERS: usize = 3;

fn crash(digest: u64, request: u128, alone: bool) -> Crash {
    let attempt = Attempt { request: RequestId(request), number: 1 };
    Crash { digest, runner: "e1".into(), attempt, alone }
}

#[test]
fn two_attempts_alone_on_the_same_runner_count_as_two_crashes() {
    let first = crash(CULPRIT, 1, true);
    let mut second = first.clone();
    second.attempt.number = 2;
    assert_eq!(admission_after(&[first, second]), Admission::Refused);
}

fn admission_after(news: &[Crash]) -> Admission {
    let mut crashes = Crashes::new();
    for crash in news {
        crashes.record_crash(crash, NOW);
    }
    crashes.admission(CULPRIT, NOW)
}

/// A fleet in which each router hears all news, some twice and in its own order, before the next step.
struct Fleet {
    routers: Vec<Crashes>,
    attempts: u128,
    culprit_crashes: u32,
}

impl Fleet {
    fn new() -> Self {
        let routers = (0..ROUTERS).map(|_| Crashes::new()).collect();
        Self { routers, attempts: 0, culprit_crashes: 0 }
    }

    /// Sends the requests to one runner at once, and each suspect among them alone.
    fn send(&mut self, router: usize, digests: &[u64]) {
        let judge = |digest: &u64| self.routers[router].admission(*digest, NOW);
        let judged: Vec<_> = digests.iter().map(|digest| (*digest, judge(digest))).collect();
        let with = |wanted| {
            let fits = move |pair: &&(u64, Admission)| pair.1 == wanted;
            judged.iter().filter(fits).map(|pair| pair.0).collect::<Vec<_>>()
        };
        self.run(router, &with(Admission::Clear));
        for digest in with(Admission::Suspect) {
            self.run(router, &[digest]);
        }
    }

    fn run(&mut self, router: usize, digests: &[u64]) {
        let alone = digests.len() == 1;
        if digests.contains(&CULPRIT) {
            self.culprit_crashes += 1;
            self.tell(digests, alone);
        } else if alone {
            self.routers[router].record_completion(digests[0]);
        }
    }

    fn tell(&mut self, digests: &[u64], alone: bool) {
        let first = self.attempts;
        self.attempts += u128::try_from(digests.len()).expect("few requests");
        let news: Vec<_> = (first..)
            .zip(digests)
            .map(|(request, digest)| crash(*digest, request, alone))
            .collect();
        for (index, router) in self.routers.iter_mut().enumerate() {
            let twice = news.iter().cycle().skip(index).take(2 * news.len());
            twice.for_each(|crash| router.record_crash(crash, NOW));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x0a59_e412),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_culprit_crashes_at_most_two_runners_and_no_other_request_is_refused(
        steps in vec((0..ROUTERS, vec(0_u64..6, 1..5)), 1..30)
    ) {
        let mut fleet = Fleet::new();
        for (router, mut digests) in steps {
            digests.sort_unstable();
            digests.dedup();
            fleet.send(router, &digests);
            for router in &fleet.routers {
                for digest in 1..6 {
                    prop_assert!(router.admission(digest, NOW) != Admission::Refused);
                }
            }
        }
        prop_assert!(fleet.culprit_crashes <= 2);
    }

    #[test]
    fn the_order_and_number_of_news_does_not_matter(
        news in vec((0_u128..4, any::<bool>()), 1..8), repeats in 1_usize..3
    ) {
        let mut in_order: Vec<_> =
            news.iter().map(|(request, alone)| crash(CULPRIT, *request, *alone)).collect();
        let expected = admission_after(&in_order);
        in_order.reverse();
        let repeated: Vec<_> = (0..repeats).flat_map(|_| in_order.clone()).collect();
        prop_assert_eq!(admission_after(&repeated), expected);
    }
}

#[test]
fn crashes_together_only_make_a_suspect() {
    let together = [crash(CULPRIT, 1, false), crash(CULPRIT, 2, false), crash(CULPRIT, 3, false)];
    let alone = [crash(CULPRIT, 1, true)];
    let both = [crash(CULPRIT, 1, false), crash(CULPRIT, 2, true)];
    let twice = [crash(CULPRIT, 1, true), crash(CULPRIT, 1, true)];
    let judged = [
        admission_after(&together),
        admission_after(&alone),
        admission_after(&both),
        admission_after(&twice),
    ];
    let suspect = Admission::Suspect;
    assert_eq!(judged, [suspect, suspect, Admission::Refused, suspect]);
}

#[test]
fn a_suspect_that_finishes_alone_is_clear_even_when_old_news_comes_again() {
    let mut crashes = Crashes::new();
    crashes.record_crash(&crash(7, 1, false), NOW);
    assert_eq!(crashes.admission(7, NOW), Admission::Suspect);
    crashes.record_completion(7);
    crashes.record_crash(&crash(7, 1, false), NOW);
    assert_eq!(crashes.admission(7, NOW), Admission::Clear);
}

#[test]
fn a_refused_request_stays_refused_until_its_crashes_are_old() {
    let mut crashes = Crashes::new();
    crashes.record_crash(&crash(7, 1, true), NOW);
    crashes.record_crash(&crash(7, 2, true), NOW);
    crashes.record_completion(7);
    assert_eq!(crashes.admission(7, NOW), Admission::Refused);
    let later = NOW + Duration::from_secs(3600);
    assert_eq!(crashes.admission(7, later), Admission::Clear);
    crashes.record_crash(&crash(8, 3, false), later);
    assert_eq!(crashes.len(), 1);
}

#[test]
fn the_memory_is_bounded() {
    let mut crashes = Crashes::new();
    for digest in 0..10_010 {
        crashes.record_crash(
            &crash(digest, u128::from(digest), true),
            NOW + Duration::from_millis(digest),
        );
    }
    let now = NOW + Duration::from_secs(11);
    assert_eq!(crashes.len(), 10_000);
    assert_eq!(crashes.admission(9, now), Admission::Clear);
    assert_eq!(crashes.admission(10, now), Admission::Suspect);
}
