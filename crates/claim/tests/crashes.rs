//! Tests that requests which crash runners are refused after two crashes, and that no other request is.

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
const CRASHING: u64 = 0;
const ROUTERS: usize = 3;

fn crash(digest: u64, request: u128, alone: bool) -> Crash {
    let attempt = Attempt { request: RequestId(request), number: 1 };
    Crash { digest, runner: "e1".into(), attempt, alone }
}

#[test]
fn two_attempts_alone_on_the_same_runner_count_as_two_crashes() {
    let first = crash(CRASHING, 1, true);
    let mut second = first.clone();
    second.attempt.number = 2;
    assert_eq!(admission_after(&[first, second]), Admission::Refused);
}

fn admission_after(reports: &[Crash]) -> Admission {
    let mut crashes = Crashes::new();
    for crash in reports {
        crashes.record_crash(crash, NOW);
    }
    crashes.admission(CRASHING, NOW)
}

/// A fleet in which each router receives all reports before the next step, some of them twice and in its own order.
struct Fleet {
    routers: Vec<Crashes>,
    attempts: u128,
    crash_count: u32,
}

impl Fleet {
    fn new() -> Self {
        let routers = (0..ROUTERS).map(|_| Crashes::new()).collect();
        Self { routers, attempts: 0, crash_count: 0 }
    }

    /// Sends the requests to one runner concurrently, and each suspect among them alone.
    fn send(&mut self, router: usize, digests: &[u64]) {
        let admission = |digest: &u64| self.routers[router].admission(*digest, NOW);
        let admissions: Vec<_> =
            digests.iter().map(|digest| (*digest, admission(digest))).collect();
        let with = |wanted| {
            let fits = move |pair: &&(u64, Admission)| pair.1 == wanted;
            admissions.iter().filter(fits).map(|pair| pair.0).collect::<Vec<_>>()
        };
        self.run(router, &with(Admission::Clear));
        for digest in with(Admission::Suspect) {
            self.run(router, &[digest]);
        }
    }

    fn run(&mut self, router: usize, digests: &[u64]) {
        let alone = digests.len() == 1;
        if digests.contains(&CRASHING) {
            self.crash_count += 1;
            self.report_crash(digests, alone);
        } else if alone {
            self.routers[router].record_completion(digests[0]);
        }
    }

    fn report_crash(&mut self, digests: &[u64], alone: bool) {
        let first = self.attempts;
        self.attempts += u128::try_from(digests.len()).expect("few requests");
        let reports: Vec<_> = (first..)
            .zip(digests)
            .map(|(request, digest)| crash(*digest, request, alone))
            .collect();
        for (index, router) in self.routers.iter_mut().enumerate() {
            let twice = reports.iter().cycle().skip(index).take(2 * reports.len());
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
    fn a_crashing_request_crashes_at_most_two_runners_and_no_other_request_is_refused(
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
        prop_assert!(fleet.crash_count <= 2);
    }

    #[test]
    fn the_order_and_number_of_reports_do_not_matter(
        reports in vec((0_u128..4, any::<bool>()), 1..8), repeats in 1_usize..3
    ) {
        let mut in_order: Vec<_> =
            reports.iter().map(|(request, alone)| crash(CRASHING, *request, *alone)).collect();
        let expected = admission_after(&in_order);
        in_order.reverse();
        let repeated: Vec<_> = (0..repeats).flat_map(|_| in_order.clone()).collect();
        prop_assert_eq!(admission_after(&repeated), expected);
    }
}

#[test]
fn crashes_with_other_requests_in_flight_only_make_a_suspect() {
    let with_others =
        [crash(CRASHING, 1, false), crash(CRASHING, 2, false), crash(CRASHING, 3, false)];
    let alone = [crash(CRASHING, 1, true)];
    let both = [crash(CRASHING, 1, false), crash(CRASHING, 2, true)];
    let twice = [crash(CRASHING, 1, true), crash(CRASHING, 1, true)];
    let admissions = [
        admission_after(&with_others),
        admission_after(&alone),
        admission_after(&both),
        admission_after(&twice),
    ];
    let suspect = Admission::Suspect;
    assert_eq!(admissions, [suspect, suspect, Admission::Refused, suspect]);
}

#[test]
fn a_suspect_that_finishes_alone_stays_clear_when_an_old_report_is_repeated() {
    let mut crashes = Crashes::new();
    crashes.record_crash(&crash(7, 1, false), NOW);
    assert_eq!(crashes.admission(7, NOW), Admission::Suspect);
    crashes.record_completion(7);
    crashes.record_crash(&crash(7, 1, false), NOW);
    assert_eq!(crashes.admission(7, NOW), Admission::Clear);
}

#[test]
fn a_refused_request_stays_refused_until_its_crashes_expire() {
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
fn the_number_of_remembered_requests_is_bounded() {
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
