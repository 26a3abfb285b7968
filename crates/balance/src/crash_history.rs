//! The history of runner crashes, by which requests that crash every runner they reach are recognised.
//!
//! Load pattern: requests with a common part crash each runner that begins to answer them. No two are alike, and they
//! come at any router. Routers exchange which crashes they have seen under which possible causes, and which of these
//! causes have been answered since. Requests with a quarantined cause are refused, except for single probes.

mod history;

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rustc_hash::FxBuildHasher;

use crate::Cause;
use crate::Crash;
use crate::Evidence;
use crate::crash_history::history::History;
use crate::quarantine;
use crate::quarantine::Certainty;
use crate::quarantine::Suspect;
use crate::rendezvous;

pub use crate::crash_history::history::Distance;

/// The time after which crashes under a cause that is not quarantined no longer count.
const CRASH_RETENTION: Duration = Duration::from_secs(120);
/// The time after which a quarantined cause without crashes is forgotten.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// The time after which an answer no longer counts; the crashes before it don't count any more either.
const ANSWER_RETENTION: Duration = CRASH_RETENTION;
/// The maximum number of possible causes with crashes.
const MAX_CAUSES: usize = 2_048;
/// The maximum number of causes whose last answer is kept.
const MAX_ANSWERS: usize = 8_192;
/// The maximum number of causes in one report to other routers.
const MAX_REPORTED: usize = 32;
/// The interval at which what has expired is removed.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// The time for which each router in turn may probe a cause.
const PROBE_TURN: Duration = Duration::from_secs(3);

/// The crashes of runners and the answers, by possible cause.
#[derive(Debug, Clone, Default)]
pub struct CrashHistory {
    histories: IndexMap<Cause, History, FxBuildHasher>,
    /// The last answers of this router.
    answers: IndexMap<Cause, Duration, FxBuildHasher>,
    /// The recent crashes of runners under any cause, by incarnation.
    recent: IndexMap<u32, Duration, FxBuildHasher>,
    quarantined: IndexMap<Cause, Certainty>,
    /// Whether anything has changed since it was last decided which causes are quarantined.
    is_outdated: bool,
    updated_at: Duration,
}

/// Whether a request may be sent to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It holds no quarantined cause.
    Admitted,
    /// It is the only request for now that may show whether this cause still crashes runners.
    Probe(Cause),
    /// It holds a quarantined cause.
    Refused {
        /// The cause.
        cause: Cause,
        /// The time until the cause may be probed.
        retry_after: Duration,
    },
}

impl CrashHistory {
    /// Records that a runner has crashed under a request with these causes, which may be the one that crashed it.
    pub fn record_crash(&mut self, now: Duration, incarnation: u32, causes: &[Cause]) {
        let crash = Crash { incarnation, at: now };
        self.record_recent(crash);
        for cause in causes {
            self.history(now, *cause).add(crash, Distance::Own);
        }
        self.is_outdated = true;
    }

    /// Records that a runner has answered a request with these causes.
    pub fn record_answer(&mut self, now: Duration, causes: &[Cause]) {
        for cause in causes {
            self.record_answer_of(now, *cause);
        }
    }

    fn record_answer_of(&mut self, now: Duration, cause: Cause) {
        let is_suspect = self.histories.contains_key(&cause);
        self.is_outdated |= is_suspect;
        if matches!(cause, Cause::Content(_)) && !is_suspect {
            return;
        }
        if self.answers.len() >= MAX_ANSWERS && !self.answers.contains_key(&cause) {
            self.answers.retain(|_, at| now < *at + ANSWER_RETENTION / 2);
        }
        if self.answers.len() < MAX_ANSWERS || is_suspect {
            self.answers.insert(cause, now);
        }
    }

    /// Records what another router, or the routers of another zone, know about a cause.
    pub fn record_evidence(&mut self, now: Duration, distance: Distance, evidence: &Evidence) {
        let last = evidence.crashes.last().map(|crash| crash.at).max(evidence.answered);
        let is_expired = last.is_none_or(|last| now >= last + QUARANTINE_RETENTION);
        let is_unknown = !self.histories.contains_key(&evidence.cause);
        if is_expired || (is_unknown && evidence.crashes.is_empty()) {
            return;
        }
        for crash in &evidence.crashes {
            self.record_recent(*crash);
        }
        let history = self.history(now, evidence.cause);
        let mut is_new = false;
        for crash in &evidence.crashes {
            is_new |= history.add(*crash, distance);
        }
        let answered = match distance {
            Distance::Fleet => &mut history.answered_elsewhere,
            Distance::Own | Distance::Zone => &mut history.answered_in_zone,
        };
        is_new |= evidence.answered > *answered;
        *answered = evidence.answered.max(*answered);
        history.is_quarantined_elsewhere |= evidence.is_quarantined;
        self.is_outdated |= is_new;
    }

    /// Decides whether a request with these causes may be sent.
    ///
    /// The routers probe a quarantined cause in turns; none does while the other routers are not known.
    pub fn admit(
        &mut self,
        now: Duration,
        causes: &[Cause],
        router: &Name,
        peers: Option<&[Name]>,
    ) -> Admission {
        self.update(now);
        let mut held = causes.iter().filter(|cause| self.quarantined.contains_key(*cause));
        let Some(cause) = held.next().copied() else { return Admission::Admitted };
        let is_only_one = held.next().is_none();
        let due = self.probe_time(now, cause);
        let is_probe = is_only_one
            && due <= now
            && peers.is_some_and(|peers| self.take_probe(now, due, cause, router, peers));
        if is_probe {
            return Admission::Probe(cause);
        }
        Admission::Refused { cause, retry_after: due.saturating_sub(now).max(PROBE_TURN) }
    }

    /// Returns the quarantined causes.
    #[must_use]
    pub fn quarantined(&mut self, now: Duration) -> IndexSet<Cause> {
        self.update(now);
        self.quarantined.keys().copied().collect()
    }

    /// Returns what is known about a cause.
    #[must_use]
    pub fn evidence(&self, now: Duration, cause: Cause) -> Evidence {
        let answered = self.answered(now, cause);
        let crashes = self.histories.get(&cause).map(|history| history.crashes_after(answered));
        let is_quarantined = self.quarantined.contains_key(&cause);
        Evidence { cause, crashes: crashes.unwrap_or_default(), answered, is_quarantined }
    }

    /// Returns what this router has seen itself, for a report to the routers of its zone.
    #[must_use]
    pub fn own_evidence(&mut self, now: Duration) -> Vec<Evidence> {
        self.report(now, Distance::Own)
    }

    /// Returns what the routers of this zone have seen, for a report to other zones.
    #[must_use]
    pub fn zone_evidence(&mut self, now: Duration) -> Vec<Evidence> {
        self.report(now, Distance::Zone)
    }

    /// Returns the evidence of routers within a distance, and all crashes under quarantined causes.
    ///
    /// Causes with the most crashes, and then those with the newest ones, come first.
    fn report(&mut self, now: Duration, distance: Distance) -> Vec<Evidence> {
        self.update(now);
        let reports = self.histories.iter().filter_map(|(cause, history)| {
            let open = history.crashes_after(self.answered(now, *cause));
            let is_quarantined = self.quarantined.contains_key(cause);
            let seen = history.crashes.iter().filter(|seen| {
                (is_quarantined || seen.distance <= distance) && open.contains(&seen.crash)
            });
            let crashes: Vec<Crash> = seen.map(|seen| seen.crash).collect();
            // One crash quarantines nothing, so answers matter to nobody yet.
            let matters = history.crashes.len() > 1;
            let answered = self.answered_within(now, *cause, distance).filter(|_| matters);
            let evidence = Evidence { cause: *cause, crashes, answered, is_quarantined };
            let is_empty = evidence.crashes.is_empty() && evidence.answered.is_none();
            (!is_empty).then(|| ((open.len(), history.last_crash()), evidence))
        });
        let mut reports: Vec<((usize, Duration), Evidence)> = reports.collect();
        reports.sort_by(|(left, _), (right, _)| right.cmp(left));
        reports.into_iter().take(MAX_REPORTED).map(|(_, evidence)| evidence).collect()
    }

    /// Returns the last answer to a request with a cause at any router.
    fn answered(&self, now: Duration, cause: Cause) -> Option<Duration> {
        self.answered_within(now, cause, Distance::Fleet)
    }

    fn answered_within(&self, now: Duration, cause: Cause, distance: Distance) -> Option<Duration> {
        let mut answered = self.answers.get(&cause).copied();
        if let Some(history) = self.histories.get(&cause) {
            if distance >= Distance::Zone {
                answered = answered.max(history.answered_in_zone);
            }
            if distance >= Distance::Fleet {
                answered = answered.max(history.answered_elsewhere);
            }
        }
        answered.filter(|at| now < *at + ANSWER_RETENTION)
    }

    /// Decides anew which causes are quarantined, if anything has changed or some time has passed.
    fn update(&mut self, now: Duration) {
        if !self.is_outdated && now < self.updated_at + UPDATE_INTERVAL {
            return;
        }
        self.is_outdated = false;
        self.updated_at = now;
        self.remove_expired(now);
        let suspects = self.histories.iter().filter_map(|(cause, history)| {
            let answered = self.answered(now, *cause);
            let crashes = history.crashes_after(answered);
            let is_suspect = crashes.len() >= quarantine::MIN_CRASHES;
            is_suspect.then(|| Suspect { cause: *cause, was_answered: answered.is_some(), crashes })
        });
        let recent = self.recent.iter();
        let mut recent: Vec<Crash> =
            recent.map(|(incarnation, at)| Crash { incarnation: *incarnation, at: *at }).collect();
        recent.sort_by_key(|crash| crash.at);
        self.quarantined = quarantine::quarantined(suspects.collect(), &recent);
        for history in self.histories.values_mut() {
            history.is_quarantined_elsewhere = false;
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        self.recent.retain(|_, at| now < *at + CRASH_RETENTION);
        let quarantined = &self.quarantined;
        self.histories.retain(|cause, history| {
            let is_quarantined =
                quarantined.contains_key(cause) || history.is_quarantined_elsewhere;
            let retention = if is_quarantined { QUARANTINE_RETENTION } else { CRASH_RETENTION };
            history.crashes.retain(|seen| now < seen.crash.at + retention);
            !history.crashes.is_empty()
        });
    }

    /// Returns the time from which on a quarantined cause may be probed.
    fn probe_time(&self, now: Duration, cause: Cause) -> Duration {
        let crashes = self.evidence(now, cause).crashes;
        let certainty = self.quarantined.get(&cause).copied();
        certainty.and_then(|certainty| quarantine::probe_time(&crashes, certainty)).unwrap_or(now)
    }

    /// Returns whether it is this router's turn to probe a cause, and records the probe.
    fn take_probe(
        &mut self,
        now: Duration,
        due: Duration,
        cause: Cause,
        router: &Name,
        peers: &[Name],
    ) -> bool {
        let Some(history) = self.histories.get_mut(&cause) else { return false };
        let turn = (now - due).as_millis() / PROBE_TURN.as_millis();
        let key = cause.key() ^ u64::try_from(turn).unwrap_or(u64::MAX);
        let is_own_turn =
            rendezvous::rank(key, router.as_str(), peers.iter().map(Name::as_str)) == 0;
        let has_probed = history.probed_at.is_some_and(|probed_at| now < probed_at + PROBE_TURN);
        if !is_own_turn || has_probed {
            return false;
        }
        history.probed_at = Some(now);
        true
    }

    fn record_recent(&mut self, crash: Crash) {
        if self.recent.len() < MAX_CAUSES {
            self.recent.entry(crash.incarnation).or_insert(crash.at);
        }
    }

    fn history(&mut self, now: Duration, cause: Cause) -> &mut History {
        if self.histories.len() >= MAX_CAUSES && !self.histories.contains_key(&cause) {
            self.remove_expired(now);
            self.remove_least();
        }
        self.histories.entry(cause).or_default()
    }

    /// Removes the cause with the fewest and oldest crashes if there are too many.
    fn remove_least(&mut self) {
        if self.histories.len() < MAX_CAUSES {
            return;
        }
        let ranked =
            self.histories.iter().filter(|(cause, _)| !self.quarantined.contains_key(*cause));
        let least = ranked.min_by_key(|(_, history)| (history.crashes.len(), history.last_crash()));
        if let Some(least) = least.map(|(cause, _)| *cause) {
            self.histories.swap_remove(&least);
        }
    }
}
