//! Free slots of runners, and the choice among them.

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

/// The slots of one runner at one time.
#[derive(Debug, Clone)]
pub(crate) struct Slots {
    pub(crate) runner: Name,
    /// Slots that this dispatcher may use, whether free or not.
    pub(crate) limit: u32,
    /// Requests that it counts there, its own and others.
    pub(crate) occupied: u32,
    pub(crate) free: u32,
    /// Free slots that are open to long requests.
    pub(crate) free_for_long: u32,
}

/// The granted requests on one runner.
#[derive(Debug, Clone, Default)]
struct Here {
    /// When each was granted.
    granted: Vec<Duration>,
    /// How many are long.
    long: u32,
    /// Whether one must run alone.
    runs_alone: bool,
}

impl Dispatcher {
    /// Returns the slots of all runners.
    pub(crate) fn slots(&self, now: Duration) -> Vec<Slots> {
        let reserved = self.keeps_reserve(now);
        let census = self.census();
        let runners = self.runners.iter().zip(&census);
        runners
            .map(|((name, runner), here)| self.slots_of(name, runner, here, reserved, now))
            .collect()
    }

    /// Counts the granted requests of all runners in one pass.
    fn census(&self) -> Vec<Here> {
        let mut census = vec![Here::default(); self.runners.len()];
        for running in self.running.values() {
            let Some(index) = self.runners.get_index_of(&running.runner) else { continue };
            let here = &mut census[index];
            here.granted.push(running.granted);
            here.long += u32::from(Lane::of(running.class) == Lane::Long);
            here.runs_alone |= running.alone;
        }
        census
    }

    fn slots_of(
        &self,
        name: &Name,
        runner: &Runner,
        here: &Here,
        reserved: bool,
        now: Duration,
    ) -> Slots {
        let counted = &here.granted;
        let own = u32::try_from(counted.len()).unwrap_or(u32::MAX);
        let strict = !runner.is_warm() && (runner.doubt || !self.gather.is_complete());
        let foreign = runner.foreign(counted, strict, self.kind, now);
        let whole = runner.limit();
        let limit = self.gather.share(whole);
        let occupied = own.saturating_add(foreign);
        let open = self.permits(runner, now) && !here.runs_alone;
        let free = limit.saturating_sub(own).min(whole.saturating_sub(occupied));
        let free = if open { free } else { 0 };
        let closed = if reserved { reserve(limit) } else { 0 };
        let long = (limit - closed).saturating_sub(here.long);
        Slots { runner: name.clone(), limit, occupied, free, free_for_long: free.min(long) }
    }

    /// Returns whether an interactive request waits or is likely to come, and slots may stand
    /// idle for it.
    fn keeps_reserve(&self, now: Duration) -> bool {
        if !self.idle.allows() {
            return false;
        }
        let recent = self.last_interactive.is_some_and(|last| now < last + RESERVE_HOLD);
        let waits = || {
            let mut all = self.workspaces.values().flat_map(|workspace| workspace.queue.iter());
            all.any(|waiting| waiting.enqueue.class == Class::Interactive)
        };
        recent || waits()
    }

    /// Returns the best runner for a request among those with a slot for it.
    pub(crate) fn choose(&self, waiting: &Waiting, slots: &[Slots]) -> Option<Name> {
        let fits = slots.iter().enumerate().filter(|(_, slots)| self.fits(waiting, slots));
        let best = fits.max_by_key(|(index, slots)| {
            let known = self.runners[&slots.runner].knows_prefix(waiting.enqueue.prefix);
            let part = u64::from(slots.free) * 1_000 / u64::from(slots.limit.max(1));
            (known, part, Reverse(*index))
        });
        best.map(|(_, slots)| slots.runner.clone())
    }

    fn fits(&self, waiting: &Waiting, slots: &Slots) -> bool {
        let enqueue = &waiting.enqueue;
        let long = Lane::of(enqueue.class) == Lane::Long;
        let free = if long { slots.free_for_long } else { slots.free };
        let kept = self.held.as_ref().filter(|held| held.runner == slots.runner);
        let kept_for_other = kept.is_some_and(|held| held.request != enqueue.request);
        let empty_enough = !enqueue.alone || slots.occupied == 0;
        free > 0 && !kept_for_other && empty_enough && !enqueue.avoid.contains(&slots.runner)
    }

    /// Returns whether any runner might ever serve a request.
    pub(crate) fn is_satisfiable(&self, enqueue: &wire::Enqueue) -> bool {
        let usable = |(name, runner): (&Name, &Runner)| {
            !runner.plan.out && runner.plan.cold_limit > 0 && !enqueue.avoid.contains(name)
        };
        self.runners.iter().any(usable)
    }
}
