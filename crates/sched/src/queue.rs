//! The waiting requests of one workspace.

use std::collections::VecDeque;
use std::time::Duration;

use base::Class;
use base::Name;
use base::RequestId;

use crate::timing::AGING_THRESHOLD;

/// Grants to higher lanes after which an aged request of a lower lane is next.
const TURNS_BEFORE_AGED: u32 = 3;
/// Maximum of recent grants from which the drain rate is estimated.
const MAX_RATE_SAMPLES: usize = 32;
/// Recent grants needed before the drain rate counts as known.
const MIN_RATE_SAMPLES: usize = 8;
/// Age up to which grants count for the drain rate.
const RATE_WINDOW: Duration = Duration::from_secs(30);
/// Smallest advised retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Largest advised retry delay.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The priority of a class within its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lane {
    /// A person waits for the answer.
    Interactive,
    /// A lookup or a call that runs once.
    Plain,
    /// A long request, which may wait but must finish.
    Long,
}

/// The lanes by descending priority.
const LANES: [Lane; 3] = [Lane::Interactive, Lane::Plain, Lane::Long];

impl Lane {
    pub(crate) const fn of(class: Class) -> Self {
        match class {
            Class::Interactive => Self::Interactive,
            Class::Lookup | Class::Once => Self::Plain,
            Class::Long => Self::Long,
        }
    }
}

/// A waiting request.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) enqueue: wire::Enqueue,
    pub(crate) entry: Name,
    /// When it arrived at this dispatcher.
    pub(crate) arrived: Duration,
    /// The time that it had waited elsewhere before it arrived.
    pub(crate) waited_before: Duration,
    pub(crate) deadline: Duration,
}

impl Waiting {
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.arrived) + self.waited_before
    }
}

/// The queue of one workspace.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: [VecDeque<Waiting>; 3],
    /// The number of latest grants, in a row, for which a request of a lower lane had to wait.
    passed_over: u32,
    /// The times of the recent grants.
    grants: VecDeque<Duration>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.lanes.iter().map(VecDeque::len).sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }

    pub(crate) fn push(&mut self, waiting: Waiting, now: Duration) {
        let lane = &mut self.lanes[Lane::of(waiting.enqueue.class) as usize];
        let age = waiting.age(now);
        let place = lane.iter().rposition(|other| other.age(now) >= age).map_or(0, |at| at + 1);
        lane.insert(place, waiting);
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&Waiting> {
        self.iter().find(|waiting| waiting.enqueue.request == request)
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Waiting> {
        self.lanes.iter_mut().find_map(|lane| {
            let place = lane.iter().position(|waiting| waiting.enqueue.request == request)?;
            lane.remove(place)
        })
    }

    /// Removes and returns all requests that match.
    pub(crate) fn extract(&mut self, mut matches: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let mut extracted = Vec::new();
        for lane in &mut self.lanes {
            let (out, kept) = lane.drain(..).partition::<Vec<_>, _>(&mut matches);
            lane.extend(kept);
            extracted.extend(out);
        }
        extracted
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.lanes.iter().flatten()
    }

    /// Returns the waiting requests in the order in which they are considered for a grant.
    pub(crate) fn in_turn(&self, now: Duration) -> impl Iterator<Item = &Waiting> {
        let aged = self.aged_lane(now);
        let first = aged.into_iter();
        let rest = LANES.into_iter().filter(move |lane| Some(*lane) != aged);
        first.chain(rest).flat_map(|lane| self.lanes[lane as usize].iter())
    }

    /// Returns the lower lane whose first request has aged and is next, if any.
    fn aged_lane(&self, now: Duration) -> Option<Lane> {
        if self.passed_over < TURNS_BEFORE_AGED {
            return None;
        }
        let head = |lane: Lane| self.lanes[lane as usize].front().map(|head| (head.age(now), lane));
        let oldest = [Lane::Plain, Lane::Long].into_iter().filter_map(head).max()?;
        (oldest.0 >= AGING_THRESHOLD).then_some(oldest.1)
    }

    /// Removes a request that is granted and counts the grant.
    pub(crate) fn take(&mut self, request: RequestId, now: Duration) -> Option<Waiting> {
        let aged = self.aged_lane(now);
        let waiting = self.remove(request)?;
        let lane = Lane::of(waiting.enqueue.class);
        let lower_waits = self.iter().any(|other| Lane::of(other.enqueue.class) > lane);
        let counts = lower_waits && aged != Some(lane);
        self.passed_over = if counts { self.passed_over + 1 } else { 0 };
        self.count_grant(now);
        Some(waiting)
    }

    fn count_grant(&mut self, now: Duration) {
        self.grants.push_back(now);
        if self.grants.len() > MAX_RATE_SAMPLES {
            self.grants.pop_front();
        }
        if self.is_empty() {
            self.grants.clear();
        }
    }

    /// Returns the number of requests ahead of a new one of a class.
    pub(crate) fn ahead_of(&self, class: Class) -> usize {
        let lane = Lane::of(class);
        self.iter().filter(|waiting| Lane::of(waiting.enqueue.class) <= lane).count()
    }

    /// Returns the expected time until `places` requests have left the queue, if it is known.
    pub(crate) fn expected_wait(&self, places: usize, now: Duration) -> Option<Duration> {
        let recent = self.grants.iter().filter(|at| **at + RATE_WINDOW >= now);
        let count = recent.clone().count();
        let first = *recent.min()?;
        if count < MIN_RATE_SAMPLES {
            return None;
        }
        let span = now.saturating_sub(first);
        let places = u32::try_from(places).unwrap_or(u32::MAX);
        Some(span.saturating_mul(places) / u32::try_from(count).unwrap_or(u32::MAX))
    }

    /// Returns the delay after which a refused caller may retry.
    pub(crate) fn retry_after(&self, now: Duration) -> Duration {
        let wait = self.expected_wait(self.len().max(1), now).unwrap_or(MIN_RETRY_AFTER * 4);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
