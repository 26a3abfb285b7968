//! The state of one workspace at a dispatcher.

use crate::WorkspacePlan;
use crate::charge::Account;
use crate::queue::Queue;

/// Queue limit of a workspace that the plan does not contain yet, in requests.
const UNPLANNED_QUEUE_LIMIT: u32 = 256;

/// A workspace with its queue and its charge.
#[derive(Debug)]
pub(crate) struct Workspace {
    pub(crate) account: Account,
    pub(crate) queue: Queue,
    pub(crate) queue_limit: u32,
    pub(crate) running: u32,
    pub(crate) refused: u64,
    pub(crate) granted: u64,
    pub(crate) planned: bool,
}

impl Workspace {
    pub(crate) fn new(plan: &WorkspacePlan) -> Self {
        Self {
            account: Account::new(plan.weight),
            queue: Queue::default(),
            queue_limit: plan.queue_limit,
            running: 0,
            refused: 0,
            granted: 0,
            planned: true,
        }
    }

    /// Creates a workspace that an entry already knows from a newer configuration.
    pub(crate) fn unplanned() -> Self {
        Self {
            account: Account::new(1),
            queue: Queue::default(),
            queue_limit: UNPLANNED_QUEUE_LIMIT,
            running: 0,
            refused: 0,
            granted: 0,
            planned: false,
        }
    }

    pub(crate) fn update_plan(&mut self, plan: &WorkspacePlan) {
        self.account.weight = plan.weight.max(1);
        self.queue_limit = plan.queue_limit;
        self.planned = true;
    }

    pub(crate) fn record_start(&mut self) {
        self.running += 1;
        self.account.record_running(self.running);
    }

    pub(crate) const fn record_end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}
