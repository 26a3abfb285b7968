//! The work of all routers as of the oldest of their newest reports.
//!
//! Load pattern: callers move from some routers to others. If each router compared its own work at one time with that of others
//! at another, those that lose callers would give up their places before the others take them, and the places would
//! stand empty, or the other way round. All figures are therefore as of one time, for which each router has figures of all.

use crate::Work;
use crate::decay;

/// The shortest time for which requests of a router are taken to hold a place, relative to those of all.
const MIN_RELATIVE_DURATION: f64 = 0.5;
/// The longest time for which requests of a router are taken to hold a place, relative to those of all.
const MAX_RELATIVE_DURATION: f64 = 8.0;

/// The work at one time.
#[derive(Debug, Clone, Default)]
pub(crate) struct Snapshot {
    /// The work of each workspace at this router and over all routers.
    pub(crate) works: Vec<(Work, Work)>,
    /// How long requests of this router had places in use, as a sum with exponential decay, in seconds.
    pub(crate) place_time: f64,
}

impl Snapshot {
    /// Returns how long requests of this router hold a place for the same work, relative to those of all routers; others had
    /// places in use for `others_time` seconds.
    ///
    /// A few requests say little, so one place that is held for as long as those of others is added.
    pub(crate) fn relative_duration(&self, others_time: f64) -> f64 {
        let own_used: u64 = self.works.iter().map(|(own, _)| own.used).sum();
        let all_used: u64 = self.works.iter().map(|(_, all)| all.used).sum();
        let time_per_token = (self.place_time + others_time) / all_used as f64;
        let prior = decay::time().as_secs_f64();
        let relative = (self.place_time + prior) / (own_used as f64 * time_per_token + prior);
        if !relative.is_normal() {
            return 1.0;
        }
        relative.clamp(MIN_RELATIVE_DURATION, MAX_RELATIVE_DURATION)
    }
}
