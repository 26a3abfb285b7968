//! An exponentially weighted moving average.

/// Weight of the previous mean relative to one new sample.
const PAST_WEIGHT: u64 = 7;

/// A moving average of integers.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mean {
    value: u64,
    samples: u32,
}

impl Mean {
    pub(crate) fn add(&mut self, sample: u64) {
        self.value = match self.samples {
            0 => sample,
            _ => {
                (self.value.saturating_mul(PAST_WEIGHT).saturating_add(sample)) / (PAST_WEIGHT + 1)
            }
        };
        self.samples = self.samples.saturating_add(1);
    }

    pub(crate) const fn value(self) -> u64 {
        self.value
    }

    pub(crate) const fn samples(self) -> u32 {
        self.samples
    }
}
