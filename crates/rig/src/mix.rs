//! A weighted mix of calls.

use std::fmt;

use rand::Rng;
use rand::rngs::StdRng;

use crate::Call;

/// Creates the call with a number.
type CreateCall = Box<dyn Fn(&mut StdRng, u64) -> Call + Send + Sync>;

struct WeightedCall {
    weight: u32,
    create: CreateCall,
}

/// Kinds of calls that are chosen at random by weight.
#[derive(Default)]
pub struct Mix {
    calls: Vec<WeightedCall>,
}

impl Mix {
    /// Creates a mix with a single kind of call.
    #[must_use]
    pub fn of<F>(create: F) -> Self
    where
        F: Fn(&mut StdRng, u64) -> Call + Send + Sync + 'static,
    {
        Self::default().and(1, create)
    }

    /// Adds a kind of call; one of weight 0 is never chosen.
    #[must_use]
    pub fn and<F>(mut self, weight: u32, create: F) -> Self
    where
        F: Fn(&mut StdRng, u64) -> Call + Send + Sync + 'static,
    {
        self.calls.push(WeightedCall { weight, create: Box::new(create) });
        self
    }

    /// Creates a call, or returns `None` if the mix is empty.
    pub(crate) fn create_call(&self, random: &mut StdRng, number: u64) -> Option<Call> {
        let total: u32 = self.calls.iter().map(|call| call.weight).sum();
        if total == 0 {
            return None;
        }
        let mut drawn = random.random_range(0..total);
        for call in &self.calls {
            if drawn < call.weight {
                return Some((call.create)(random, number));
            }
            drawn -= call.weight;
        }
        None
    }
}

impl fmt::Debug for Mix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let weights: Vec<u32> = self.calls.iter().map(|call| call.weight).collect();
        f.debug_struct("Mix").field("weights", &weights).finish()
    }
}
