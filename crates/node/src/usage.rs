//! The work used by running calls, sampled from counters that traffic threads update.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use base::Cost;
use base::RequestId;
use indexmap::IndexMap;
use wire::Shard;

/// A running call.
#[derive(Debug)]
struct Running {
    shard: Shard,
    counter: Arc<AtomicU64>,
    reported: Cost,
}

/// The work used by one call at the time of sampling.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Sample {
    /// The shard of the runner that serves the call.
    pub(crate) shard: Shard,
    /// The request.
    pub(crate) request: RequestId,
    /// The total work used by this attempt so far.
    pub(crate) used: Cost,
}

/// The running calls of this router.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    running: IndexMap<RequestId, Running>,
}

impl Usage {
    /// Starts to track a call.
    pub(crate) fn track(&mut self, request: RequestId, shard: Shard, counter: Arc<AtomicU64>) {
        self.running.insert(request, Running { shard, counter, reported: Cost::ZERO });
    }

    /// Stops tracking a call.
    pub(crate) fn untrack(&mut self, request: RequestId) {
        self.running.swap_remove(&request);
    }

    /// Returns samples of the calls whose usage has grown since their last sample.
    pub(crate) fn sample(&mut self) -> Vec<Sample> {
        let mut samples = Vec::new();
        for (request, running) in &mut self.running {
            let used = Cost(running.counter.load(Ordering::Relaxed));
            if used > running.reported {
                running.reported = used;
                samples.push(Sample { shard: running.shard.clone(), request: *request, used });
            }
        }
        samples
    }

    /// Returns the number of running calls.
    pub(crate) fn len(&self) -> usize {
        self.running.len()
    }
}
