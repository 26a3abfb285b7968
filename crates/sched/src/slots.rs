//! The free slots of runners, and the choice of a runner for a request.

use std::cmp::Reverse;
use std::time::Duration;

use base::Class;
use base::Name;

use crate::Dispatcher;
use crate::limit::reserve;
use crate::queue::Lane;
use crate::queue::Waiting;
use crate::runner::Runner;
use crate::timing::RESERVE_HOLD;

/// The slots of a runner at a point in time.
#[derive(Debug, Clone)]
pub(crate) struct Slots {
    pub(crate) runner: Name,
    /// Slots that this dispatcher may use, free or occupied.
    pub(crate) limit: u32,
    /// Requests counted on the runner, granted by this dispatcher or by others.
    pub(crate) occupied: u32,
    pub(crate) free: u32,
    /// Free slots that are open to long requests.
    pub(crate) free_for_long: u32,
}

/// The granted requests on one runner.
#[derive(Debug, Clone, Default)]
struct Occupancy {
    /// The time at which each was granted.
    granted: Vec<Duration>,
    /// The number of long requests.
    long: u32,
    /// Whether one of them must run alone.
    runs_alone: bool,
}

impl Dispatcher {
    /// Returns the slots of all runners.
    pub(crate) fn slots(&self, now: Duration) -> Vec<Slots> {
        let needs_reserve = self.needs_reserve(now);
        let counts = self.occupancy();
        let runners = self.runners.iter().zip(&counts);
        runners
            .map(|((name, runner), occupancy)| {
                self.slots_of(name, runner, occupancy, needs_reserve, now)
            })
            .collect()
    }

    /// Counts the granted requests of all runners in one pass.
    fn occupancy(&self) -> Vec<Occupancy> {
        let mut counts = vec![Occupancy::default(); self.runners.len()];
        for running in self.running.values() {
            let Some(index) = self.runners.get_index_of(&running.runner) else { continue };
            let occupancy = &mut counts[index];
            occupancy.granted.push(running.granted);
            occupancy.long += u32::from(Lane::of(running.class) == Lane::Long);
            occupancy.runs_alone |= running.alone;
        }
        counts
    }

    fn slots_of(
        &self,
        name: &Name,
        runner: &Runner,
        occupancy: &Occupancy,
        needs_reserve: bool,
        now: Duration,
    ) -> Slots {
        let counted = &occupancy.granted;
        let own = u32::try_from(counted.len()).unwrap_or(u32::MAX);
        let strict =
            !runner.is_warm() && (runner.has_unknown_work || !self.term_state.is_complete());
        let foreign = runner.foreign(counted, strict, self.kind, now);
        let full_limit = runner.limit();
        let limit = self.term_state.share(full_limit);
        let occupied = own.saturating_add(foreign);
        let open = self.may_grant(runner, now) && !occupancy.runs_alone;
        let free = limit.saturating_sub(own).min(full_limit.saturating_sub(occupied));
        let free = if open { free } else { 0 };
        let closed = if needs_reserve { reserve(limit) } else { 0 };
        let long = (limit - closed).saturating_sub(occupancy.long);
        Slots { runner: name.clone(), limit, occupied, free, free_for_long: free.min(long) }
    }

    /// Returns whether some slots are closed to long requests, to keep them for interactive ones.
    ///
    /// That is so while an interactive request waits or is likely to arrive and the idle allowance is not used up.
    fn needs_reserve(&self, now: Duration) -> bool {
        if !self.idle_allowance.allows() {
            return false;
        }
        let recent = self.last_interactive.is_some_and(|last| now < last + RESERVE_HOLD);
        let waits = || {
            let mut all = self.workspaces.values().flat_map(|workspace| workspace.queue.iter());
            all.any(|waiting| waiting.enqueue.class == Class::Interactive)
        };
        recent || waits()
    }

    /// Returns the best runner among those with a free slot for a request.
    pub(crate) fn choose(&self, waiting: &Waiting, slots: &[Slots]) -> Option<Name> {
        let fits = slots.iter().enumerate().filter(|(_, slots)| self.fits(waiting, slots));
        let best = fits.max_by_key(|(index, slots)| {
            let known = self.runners[&slots.runner].has_prefix(waiting.enqueue.prefix);
            let free_permille = u64::from(slots.free) * 1_000 / u64::from(slots.limit.max(1));
            (known, free_permille, Reverse(*index))
        });
        best.map(|(_, slots)| slots.runner.clone())
    }

    fn fits(&self, waiting: &Waiting, slots: &Slots) -> bool {
        let enqueue = &waiting.enqueue;
        let long = Lane::of(enqueue.class) == Lane::Long;
        let free = if long { slots.free_for_long } else { slots.free };
        let reservation =
            self.reservation.as_ref().filter(|reserved| reserved.runner == slots.runner);
        let reserved_for_other =
            reservation.is_some_and(|reserved| reserved.request != enqueue.request);
        let empty_enough = !enqueue.alone || slots.occupied == 0;
        free > 0 && !reserved_for_other && empty_enough && !enqueue.avoid.contains(&slots.runner)
    }

    /// Returns whether any runner might ever serve a request.
    pub(crate) fn is_satisfiable(&self, enqueue: &wire::Enqueue) -> bool {
        let usable = |(name, runner): (&Name, &Runner)| {
            !runner.plan.out && runner.plan.cold_limit > 0 && !enqueue.avoid.contains(name)
        };
        self.runners.iter().any(usable)
    }
}
