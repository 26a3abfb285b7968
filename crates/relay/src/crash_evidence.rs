//! What routers tell each other about crashes of runners and their possible causes.

use std::time::Duration;

use balance::Distance;
use balance::Evidence;

use crate::Router;
use crate::exchange::age_ms;
use crate::gossip::Crash;
use crate::gossip::CrashEvidence;

/// Returns what this router has seen itself.
pub(crate) fn of_router(router: &Router) -> Vec<CrashEvidence> {
    let now = router.now();
    let evidence = router.core.borrow_mut().crash_history.own_evidence(now);
    evidence.iter().map(|evidence| encode(now, evidence)).collect()
}

/// Returns what the routers of this zone have seen.
pub(crate) fn of_zone(router: &Router) -> Vec<CrashEvidence> {
    let now = router.now();
    let evidence = router.core.borrow_mut().crash_history.zone_evidence(now);
    evidence.iter().map(|evidence| encode(now, evidence)).collect()
}

/// Records evidence that was sent at `at` by a router at a distance.
pub(crate) fn apply(
    router: &Router,
    now: Duration,
    at: Duration,
    distance: Distance,
    evidence: &[CrashEvidence],
) {
    let mut core = router.core.borrow_mut();
    for evidence in evidence {
        core.crash_history.record_evidence(now, distance, &decode(at, evidence));
    }
}

fn encode(now: Duration, evidence: &Evidence) -> CrashEvidence {
    let crashes = evidence.crashes.iter();
    CrashEvidence {
        cause: evidence.cause,
        crashes: crashes
            .map(|crash| Crash { incarnation: crash.incarnation, age_ms: age_ms(now, crash.at) })
            .collect(),
        answered_ms: evidence.answered.map(|answered| age_ms(now, answered)),
        is_quarantined: evidence.is_quarantined,
    }
}

fn decode(at: Duration, evidence: &CrashEvidence) -> Evidence {
    let time = |age_ms: u32| at.saturating_sub(Duration::from_millis(u64::from(age_ms)));
    let crashes = evidence.crashes.iter();
    Evidence {
        cause: evidence.cause,
        crashes: crashes
            .map(|crash| balance::Crash { incarnation: crash.incarnation, at: time(crash.age_ms) })
            .collect(),
        answered: evidence.answered_ms.map(time),
        is_quarantined: evidence.is_quarantined,
    }
}
