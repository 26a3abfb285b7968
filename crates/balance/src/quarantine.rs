//! Which of several possible causes are quarantined, and when a quarantined one is probed.
//!
//! Load pattern: a request that crashes its runner takes along dozens of sound requests and shares parts with others, so
//! that each crash has several possible causes. Those that have been answered since are ruled out. Of the rest, a crash
//! is attributed to the causes with the most crashes, first to those that have not been answered for long.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::Cause;
use crate::Crash;

/// The number of crashes from which on a cause is quarantined.
pub(crate) const MIN_CRASHES: usize = 3;
/// The number of crashes from which on a cause is quarantined that was answered before them.
const MIN_CRASHES_IF_ANSWERED: usize = 5;
/// The number of crashes of other causes, between its first and its last, for which a cause needs one more.
const OTHER_CRASHES_PER_CRASH: usize = 5;
/// The shortest time between two crashes that count as two, since one failure may end several runners at once.
const CRASH_SPACING: Duration = Duration::from_millis(50);
/// The shortest time from a crash to a probe of a cause that may be sound.
const MIN_PROBE_DELAY: Duration = Duration::from_secs(5);
/// The shortest time from a crash to a probe of the only likely cause, which may have been mended since.
const MIN_PROBE_DELAY_IF_SOLE: Duration = Duration::from_secs(60);
/// The time from a crash to a probe, in times from the first crash to the last.
const PROBE_DELAY_FACTOR: u32 = 4;

/// A possible cause of crashes since its last answer.
#[derive(Debug, Clone)]
pub(crate) struct Suspect {
    pub(crate) cause: Cause,
    /// Whether it was answered before these crashes.
    pub(crate) was_answered: bool,
    /// The crashes, oldest first.
    pub(crate) crashes: Vec<Crash>,
}

impl Suspect {
    /// Returns whether the crashes that are not attributed to another cause are too many for a coincidence.
    ///
    /// The more runners crash without it meanwhile, the likelier it was on some of them by chance.
    fn is_likely(&self, attributed: &IndexSet<u32>, all: &[Crash]) -> bool {
        let is_open = |crash: &&Crash| !attributed.contains(&crash.incarnation);
        let open: Vec<&Crash> = self.crashes.iter().filter(is_open).collect();
        let (Some(first), Some(last)) = (open.first(), open.last()) else { return false };
        let own: IndexSet<u32> = open.iter().map(|crash| crash.incarnation).collect();
        let others = all.iter().filter(is_open).filter(|crash| {
            (first.at..=last.at).contains(&crash.at) && !own.contains(&crash.incarnation)
        });
        let least = if self.was_answered { MIN_CRASHES_IF_ANSWERED } else { MIN_CRASHES };
        self.count(open.iter().copied()) >= least + others.count() / OTHER_CRASHES_PER_CRASH
    }

    fn shares_crashes(&self, other: &Self) -> bool {
        let others: IndexSet<u32> = other.crashes.iter().map(|crash| crash.incarnation).collect();
        self.crashes.iter().any(|crash| others.contains(&crash.incarnation))
    }

    /// Returns the number of crashes, those at about the same time counted once, since one failure may end several runners.
    ///
    /// Runners that end at one time under the very same request count each: it is sent to several at once when it comes at
    /// several routers, but sound ones seldom are on all that one failure ends.
    fn count<'a>(&self, crashes: impl Iterator<Item = &'a Crash>) -> usize {
        match self.cause {
            Cause::Content(_) => crashes.count(),
            Cause::Part(_) => count_spaced(crashes),
        }
    }

    /// Returns the order of attribution; the lowest is the most likely cause.
    fn rank(&self) -> (bool, Reverse<usize>) {
        (self.was_answered, Reverse(self.count(self.crashes.iter())))
    }
}

/// How sure it is that a quarantined cause crashes runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Certainty {
    /// Another cause is as likely, or it was answered not long before.
    Doubtful,
    /// It is the only likely cause.
    Sole,
}

/// Returns the causes that are to be quarantined; `all` are the recent crashes of runners, oldest first.
pub(crate) fn quarantined(mut suspects: Vec<Suspect>, all: &[Crash]) -> IndexMap<Cause, Certainty> {
    suspects.sort_by_key(Suspect::rank);
    let mut quarantined = IndexMap::new();
    let mut attributed: IndexSet<u32> = IndexSet::new();
    for equal in suspects.chunk_by(|left, right| left.rank() == right.rank()) {
        let likely: Vec<&Suspect> =
            equal.iter().filter(|suspect| suspect.is_likely(&attributed, all)).collect();
        for suspect in &likely {
            let shares_crashes = |other: &&&Suspect| other.shares_crashes(suspect);
            let is_sole = likely.iter().filter(shares_crashes).count() == 1;
            let is_sure = is_sole && !suspect.was_answered;
            let certainty = if is_sure { Certainty::Sole } else { Certainty::Doubtful };
            quarantined.insert(suspect.cause, certainty);
        }
        let crashes = likely.iter().flat_map(|suspect| &suspect.crashes);
        attributed.extend(crashes.map(|crash| crash.incarnation));
    }
    quarantined
}

/// Returns the number of crashes, those at about the same time counted once.
fn count_spaced<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let mut last: Option<Duration> = None;
    let mut count = 0;
    for crash in crashes {
        if last.is_none_or(|last| crash.at >= last + CRASH_SPACING) {
            last = Some(crash.at);
            count += 1;
        }
    }
    count
}

/// Returns the time from which on a quarantined cause may be probed.
pub(crate) fn probe_time(crashes: &[Crash], certainty: Certainty) -> Option<Duration> {
    let (first, last) = (crashes.first()?.at, crashes.last()?.at);
    let min_delay = match certainty {
        Certainty::Doubtful => MIN_PROBE_DELAY,
        Certainty::Sole => MIN_PROBE_DELAY_IF_SOLE,
    };
    Some(last + (PROBE_DELAY_FACTOR * (last - first)).max(min_delay))
}
