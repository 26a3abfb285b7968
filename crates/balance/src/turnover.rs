//! How fast requests at the runners of a service are replaced by others.

use std::time::Duration;

/// The weight of the newest request in a mean.
const NEWEST_WEIGHT: f64 = 0.05;
/// The mean time until it is known.
const INITIAL_TIME: Duration = Duration::from_secs(1);

/// A mean over recent requests.
#[derive(Debug, Clone, Copy, Default)]
struct MeanTime(Option<Duration>);

/// The times for which recent requests of this router held a place at a runner, and for which their prompts waited there.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Turnover {
    place: MeanTime,
    prompt: MeanTime,
}

impl MeanTime {
    fn record(&mut self, time: Duration) {
        let mean = self.0.unwrap_or(time);
        self.0 = Some(mean.mul_f64(1.0 - NEWEST_WEIGHT) + time.mul_f64(NEWEST_WEIGHT));
    }

    /// Returns the part of requests that take longer than a time.
    fn part_beyond(self, time: Duration) -> f64 {
        let mean = self.0.unwrap_or(INITIAL_TIME).max(Duration::from_nanos(1));
        (-time.as_secs_f64() / mean.as_secs_f64()).exp()
    }
}

impl Turnover {
    /// Records how long a request held its place.
    pub(crate) fn record_place(&mut self, time: Duration) {
        self.place.record(time);
    }

    /// Records how long a prompt waited for its first token.
    pub(crate) fn record_prompt(&mut self, time: Duration) {
        self.prompt.record(time);
    }

    /// Returns the part of the places in use that are still held by the same requests after a time.
    pub(crate) fn places_left(self, time: Duration) -> f64 {
        self.place.part_beyond(time)
    }

    /// Returns the part of the waiting prompts that still wait after a time.
    pub(crate) fn prompts_left(self, time: Duration) -> f64 {
        self.prompt.part_beyond(time)
    }
}
