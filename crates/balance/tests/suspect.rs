//! Possible causes of runner crashes, recorded by several routers.

use std::time::Duration;

use balance::Admission;
use balance::Cause;
use balance::Crash;
use balance::CrashHistory;
use balance::Distance;
use balance::Evidence;
use balance::Part;
use balance::Prompt;
use base::Name;

const NOW: Duration = Duration::from_secs(500);
/// The time between two crashes.
const STEP: Duration = Duration::from_millis(400);
/// The content of a request.
const CONTENT: Cause = Cause::Content(7);
/// A part that crashes runners.
const CRASHING: Cause = Cause::Part(0xd);
/// A part that always comes with it.
const COMPANION: Cause = Cause::Part(0xc);

/// Returns the time of a crash.
fn at(number: u32) -> Duration {
    NOW + STEP * number
}

/// Returns evidence of another router of one crash.
fn reported(cause: Cause, incarnation: u32, at: Duration) -> Evidence {
    let crashes = vec![Crash { incarnation, at }];
    Evidence { cause, crashes, answered: None, is_quarantined: false }
}

fn answered(cause: Cause, at: Duration) -> Evidence {
    Evidence { cause, crashes: Vec::new(), answered: Some(at), is_quarantined: false }
}

/// Records crashes of different runners.
fn record_crashes(history: &mut CrashHistory, numbers: std::ops::Range<u32>, causes: &[Cause]) {
    for number in numbers {
        history.record_crash(at(number), number, causes);
    }
}

fn is_quarantined(history: &mut CrashHistory, now: Duration, cause: Cause) -> bool {
    history.quarantined(now).contains(&cause)
}

#[test]
fn the_last_part_of_a_prompt_is_no_possible_cause() {
    let part = |id| Part { id, tokens: 100 };
    let prompt = Prompt { parts: vec![part(1), part(2), part(3)], ..Prompt::default() };
    let causes = Cause::of(7, Some(&prompt));
    assert_eq!(causes, [Cause::Content(7), Cause::Part(1), Cause::Part(2)]);
    assert_eq!(Cause::of(7, None), [Cause::Content(7)]);
}

#[test]
fn a_request_is_refused_after_three_crashes_at_different_routers() {
    let mut history = CrashHistory::default();
    history.record_crash(at(0), 1, &[CONTENT]);
    history.record_evidence(at(1), Distance::Zone, &reported(CONTENT, 2, at(1)));
    assert!(!is_quarantined(&mut history, at(1), CONTENT));
    history.record_evidence(at(2), Distance::Fleet, &reported(CONTENT, 3, at(2)));
    assert!(is_quarantined(&mut history, at(2), CONTENT));
    assert!(!is_quarantined(&mut history, at(2), Cause::Content(8)));
    let admission = history.admit(at(2), &[CONTENT], &Name::new("router-1"), Some(&[]));
    assert!(matches!(admission, Admission::Refused { cause: CONTENT, .. }), "{admission:?}");
}

#[test]
fn the_same_crash_seen_by_several_routers_counts_once() {
    let mut history = CrashHistory::default();
    for number in 0..9 {
        history.record_evidence(at(number), Distance::Zone, &reported(CRASHING, 1, at(number)));
    }
    history.record_crash(at(9), 1, &[CRASHING]);
    assert!(!is_quarantined(&mut history, at(9), CRASHING));
}

#[test]
fn runners_that_end_at_the_same_moment_count_once() {
    let mut history = CrashHistory::default();
    for number in 0..9 {
        history.record_crash(NOW + Duration::from_millis(number.into()), number, &[CRASHING]);
    }
    assert!(!is_quarantined(&mut history, NOW, CRASHING));
}

/// Guards against a request that comes at several routers at one moment, again and again, and ends runners each time.
#[test]
fn runners_that_end_at_the_same_moment_under_the_very_same_request_count_each() {
    let mut history = CrashHistory::default();
    history.record_crash(NOW, 0, &[CONTENT]);
    history.record_evidence(NOW, Distance::Zone, &reported(CONTENT, 1, NOW));
    assert!(!is_quarantined(&mut history, at(1), CONTENT));
    history.record_evidence(at(1), Distance::Fleet, &reported(CONTENT, 2, NOW));
    assert!(is_quarantined(&mut history, at(1), CONTENT));
    history.record_answer(at(2), &[CONTENT]);
    assert!(!is_quarantined(&mut history, at(2), CONTENT));
}

/// Guards against a request that is held back since it was on several runners of a zone that failed as a whole.
#[test]
fn a_request_that_was_answered_before_runners_ended_at_one_moment_is_held_back_after_five() {
    let mut history = CrashHistory::default();
    history.record_crash(NOW, 9, &[CONTENT]);
    history.record_answer(at(1), &[CONTENT]);
    for number in 0..4 {
        history.record_crash(at(2), number, &[CONTENT]);
    }
    assert!(!is_quarantined(&mut history, at(2), CONTENT));
    history.record_crash(at(2), 4, &[CONTENT]);
    assert!(is_quarantined(&mut history, at(2), CONTENT));
}

#[test]
fn an_answer_at_any_router_clears_the_crashes_before_it() {
    for distance in [Distance::Zone, Distance::Fleet] {
        let mut history = CrashHistory::default();
        record_crashes(&mut history, 0..3, &[CRASHING]);
        assert!(is_quarantined(&mut history, at(3), CRASHING));
        history.record_evidence(at(3), distance, &answered(CRASHING, at(3)));
        assert!(!is_quarantined(&mut history, at(3), CRASHING));
    }
    let mut history = CrashHistory::default();
    record_crashes(&mut history, 0..2, &[CONTENT]);
    history.record_answer(at(2), &[CONTENT]);
    record_crashes(&mut history, 3..5, &[CONTENT]);
    assert!(!is_quarantined(&mut history, at(5), CONTENT));
}

#[test]
fn a_part_that_was_answered_before_is_quarantined_after_five_crashes() {
    let mut history = CrashHistory::default();
    history.record_answer(NOW, &[CRASHING]);
    record_crashes(&mut history, 1..5, &[CRASHING]);
    assert!(!is_quarantined(&mut history, at(5), CRASHING));
    record_crashes(&mut history, 5..6, &[CRASHING]);
    assert!(is_quarantined(&mut history, at(6), CRASHING));
}

#[test]
fn a_part_that_was_answered_is_not_blamed_for_crashes_with_one_that_never_was() {
    let mut history = CrashHistory::default();
    history.record_answer(NOW, &[COMPANION]);
    record_crashes(&mut history, 1..9, &[COMPANION, CRASHING]);
    assert!(is_quarantined(&mut history, at(9), CRASHING));
    assert!(!is_quarantined(&mut history, at(9), COMPANION));
}

#[test]
fn several_parts_that_crash_runners_are_quarantined_each() {
    let mut history = CrashHistory::default();
    for number in 0..4 {
        history.record_crash(at(2 * number), 2 * number, &[COMPANION, CRASHING]);
        history.record_crash(at(2 * number + 1), 2 * number + 1, &[COMPANION, Cause::Part(0xe)]);
        history.record_answer(at(2 * number + 1), &[COMPANION]);
    }
    assert!(is_quarantined(&mut history, at(9), CRASHING));
    assert!(is_quarantined(&mut history, at(9), Cause::Part(0xe)));
    assert!(!is_quarantined(&mut history, at(9), COMPANION));
}

#[test]
fn crashes_expire_after_a_while_unless_their_cause_is_quarantined() {
    let mut history = CrashHistory::default();
    let later = NOW + Duration::from_secs(300);
    record_crashes(&mut history, 0..2, &[CRASHING]);
    history.record_crash(later, 2, &[CRASHING]);
    assert!(!is_quarantined(&mut history, later, CRASHING));
    let mut history = CrashHistory::default();
    record_crashes(&mut history, 0..3, &[CRASHING]);
    assert!(is_quarantined(&mut history, at(3), CRASHING));
    assert!(is_quarantined(&mut history, later, CRASHING));
    assert!(!is_quarantined(&mut history, later + Duration::from_secs(100_000), CRASHING));
}

#[test]
fn the_only_likely_cause_is_not_probed_for_a_minute() {
    let (router, peers) = (Name::new("router-1"), Some(&[][..]));
    let mut history = CrashHistory::default();
    history.record_answer(NOW, &[COMPANION]);
    record_crashes(&mut history, 1..6, &[COMPANION, CRASHING]);
    let due = at(5) + Duration::from_secs(60);
    let before = history.admit(due - STEP, &[COMPANION, CRASHING], &router, peers);
    assert!(matches!(before, Admission::Refused { .. }), "{before:?}");
    let admission = history.admit(due, &[COMPANION, CRASHING], &router, peers);
    assert_eq!(admission, Admission::Probe(CRASHING));
}

#[test]
fn one_router_at_a_time_lets_one_request_through_to_probe_and_ever_later_after_crashes() {
    let routers: Vec<Name> = (0..9).map(|number| Name::new(&format!("router-{number}"))).collect();
    let mut histories = vec![CrashHistory::default(); routers.len()];
    for history in &mut histories {
        record_crashes(history, 0..6, &[CRASHING]);
    }
    let mut probes = Vec::new();
    let mut incarnation = 100;
    for step in 0..6_000 {
        let now = at(6) + Duration::from_millis(100) * step;
        let mut crashed = false;
        for (own, router) in routers.iter().enumerate() {
            let peers: Vec<Name> = routers.iter().filter(|peer| *peer != router).cloned().collect();
            let admission = histories[own].admit(now, &[CONTENT, CRASHING], router, Some(&peers));
            crashed |= admission == Admission::Probe(CRASHING);
        }
        if crashed {
            incarnation += 1;
            probes.push(now - at(5));
            for history in &mut histories {
                history.record_crash(now, incarnation, &[CRASHING]);
            }
        }
    }
    let seconds: Vec<u64> = probes.iter().map(Duration::as_secs).collect();
    assert_eq!(probes.len(), 2, "{seconds:?}");
    assert!(probes[0] >= Duration::from_secs(60));
    assert!(probes[1] >= 4 * probes[0], "{seconds:?}");
}

#[test]
fn a_quarantined_part_is_admitted_again_once_a_probe_is_answered() {
    let (router, peers) = (Name::new("router-1"), Some(&[][..]));
    let mut history = CrashHistory::default();
    record_crashes(&mut history, 0..3, &[CRASHING]);
    let now = at(2) + Duration::from_secs(60);
    assert!(matches!(
        history.admit(now - STEP, &[CRASHING], &router, peers),
        Admission::Refused { .. }
    ));
    assert!(matches!(history.admit(now, &[CRASHING], &router, None), Admission::Refused { .. }));
    assert_eq!(history.admit(now, &[CRASHING], &router, peers), Admission::Probe(CRASHING));
    assert!(matches!(history.admit(now, &[CRASHING], &router, peers), Admission::Refused { .. }));
    history.record_answer(now + STEP, &[CRASHING]);
    assert_eq!(history.admit(now + STEP, &[CRASHING], &router, peers), Admission::Admitted);
}

#[test]
fn a_request_with_two_quarantined_causes_is_no_probe() {
    let mut history = CrashHistory::default();
    record_crashes(&mut history, 0..3, &[COMPANION, CRASHING]);
    let now = NOW + Duration::from_secs(60);
    let (router, peers) = (Name::new("router-1"), Some(&[][..]));
    let both = history.admit(now, &[COMPANION, CRASHING], &router, peers);
    assert!(matches!(both, Admission::Refused { .. }), "{both:?}");
    let one = history.admit(now, &[COMPANION], &router, peers);
    assert_eq!(one, Admission::Probe(COMPANION));
}

#[test]
fn a_router_that_has_just_started_learns_of_quarantined_causes_from_any_other() {
    let mut known = CrashHistory::default();
    for number in 0..5 {
        let crash = reported(CRASHING, number, at(number));
        known.record_evidence(at(number), Distance::Fleet, &crash);
    }
    assert!(is_quarantined(&mut known, at(5), CRASHING));
    let now = at(5) + Duration::from_secs(600);
    let mut started = CrashHistory::default();
    for evidence in known.own_evidence(now) {
        started.record_evidence(now, Distance::Zone, &evidence);
    }
    assert!(is_quarantined(&mut started, now, CRASHING));
}

#[test]
fn the_number_of_recorded_causes_and_of_reported_ones_stays_bounded() {
    let mut history = CrashHistory::default();
    record_crashes(&mut history, 0..3, &[CRASHING]);
    for digest in 0..20_000 {
        history.record_crash(at(3), 3, &[Cause::Content(digest)]);
    }
    assert!(history.own_evidence(at(3)).len() <= 32);
    assert!(is_quarantined(&mut history, at(3), CRASHING));
    record_crashes(&mut history, 4..6, &[Cause::Content(19_999)]);
    assert!(is_quarantined(&mut history, at(6), Cause::Content(19_999)));
}
