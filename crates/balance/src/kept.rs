//! The prompt parts that a runner is believed to keep in memory.

use std::time::Duration;

use indexmap::IndexMap;

use crate::Prompt;

/// How long a part that was not used is believed to be kept.
const KEEP: Duration = Duration::from_secs(8);
/// Parts remembered for one runner.
const PARTS: usize = 4_096;

/// Prompt parts with the time of their last use at a runner.
#[derive(Debug, Clone, Default)]
pub struct Kept {
    parts: IndexMap<u64, Duration>,
}

impl Kept {
    /// Returns the prompt tokens that the runner still has to read.
    #[must_use]
    pub fn missing(&self, prompt: &Prompt, now: Duration) -> u64 {
        let kept: u64 = prompt
            .parts
            .iter()
            .take_while(|part| self.parts.get(&part.id).is_some_and(|used| now < *used + KEEP))
            .map(|part| part.tokens)
            .sum();
        prompt.input.saturating_sub(kept)
    }

    /// Returns when a part that is believed to be kept was used last.
    #[must_use]
    pub fn used(&self, part: u64, now: Duration) -> Option<Duration> {
        self.parts.get(&part).copied().filter(|used| now < *used + KEEP)
    }

    /// Remembers that the runner reads a prompt.
    pub fn remember(&mut self, prompt: &Prompt, now: Duration) {
        if self.parts.len() + prompt.parts.len() > PARTS {
            self.parts.retain(|_, used| now < *used + KEEP / 2);
        }
        for part in &prompt.parts {
            if self.parts.len() < PARTS || self.parts.contains_key(&part.id) {
                self.parts.insert(part.id, now);
            }
        }
    }

    /// Forgets all parts, as after a restart of the runner.
    pub fn clear(&mut self) {
        self.parts.clear();
    }
}
