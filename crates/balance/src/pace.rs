//! How long work takes at a runner, relative to the usual time.
//!
//! Load pattern: the runners of a service differ in speed, and each shares its machine with others that slow it down for
//! some hundred milliseconds at a time. The same prompt tokens are then a wait of very different length. Runners state how
//! long work takes there in their answers. Each router sees few answers of each runner, so that routers tell each other
//! what they have seen.

use std::time::Duration;

/// The age up to which a figure says how long work takes now.
const MAX_AGE: Duration = Duration::from_millis(450);
/// The weight of a figure that is above the time without disturbances.
const RISE_WEIGHT: f64 = 0.02;
/// How long work usually takes, in percent.
const USUAL_PERCENT: f64 = 100.0;
/// The lowest and the highest factor by which work is taken to differ from the usual time.
const FACTORS: (f64, f64) = (0.05, 20.0);

/// A figure of a runner, with the time at which the runner stated it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// How long work takes, in percent of the usual time.
    pub percent: u32,
    /// The time of the statement.
    pub at: Duration,
}

/// How long work takes at a runner, by what it has stated.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    newest: Option<Sample>,
    /// The factor without disturbances, once a figure is known.
    undisturbed: Option<f64>,
    /// Whether the newest figure came in an answer to this router and has not been told to others.
    is_untold: bool,
}

impl Pace {
    /// Records a figure of an answer to this router.
    pub fn record(&mut self, sample: Sample) {
        self.is_untold |= self.add(sample);
    }

    /// Records a figure that another router has seen.
    pub fn record_told(&mut self, sample: Sample) {
        if self.add(sample) {
            self.is_untold = false;
        }
    }

    /// Returns the newest figure if it came in an answer to this router and has not been returned before.
    pub fn take_untold(&mut self) -> Option<Sample> {
        std::mem::take(&mut self.is_untold).then_some(self.newest).flatten()
    }

    /// Returns the newest figure, from whichever router.
    #[must_use]
    pub const fn newest(&self) -> Option<Sample> {
        self.newest
    }

    /// Returns the factor by which work takes longer than usual now; figures that are too old say nothing of now.
    #[must_use]
    pub fn factor(&self, now: Duration) -> f64 {
        let recent = self.newest.filter(|newest| now < newest.at.saturating_add(MAX_AGE));
        let recent = recent.map(|newest| factor(newest.percent));
        recent.or(self.undisturbed).unwrap_or(1.0)
    }

    /// Returns the factor by which work takes longer than usual without disturbances.
    #[must_use]
    pub fn undisturbed(&self) -> f64 {
        self.undisturbed.unwrap_or(1.0)
    }

    /// Adds a figure; returns `false` if a newer one is known.
    fn add(&mut self, sample: Sample) -> bool {
        if self.newest.is_some_and(|newest| newest.at >= sample.at) {
            return false;
        }
        self.newest = Some(sample);
        let stated = factor(sample.percent);
        let known = self.undisturbed.unwrap_or(stated);
        let risen = known + RISE_WEIGHT * (stated - known);
        self.undisturbed = Some(stated.min(risen));
        true
    }
}

fn factor(percent: u32) -> f64 {
    (f64::from(percent) / USUAL_PERCENT).clamp(FACTORS.0, FACTORS.1)
}
