//! The state that all calls of a router share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use base::Clock;
use base::Event;
use base::EventKind;
use base::Name;
use base::RequestId;
use base::Ring;
use claim::Admission;
use claim::Claims;
use claim::Crashes;
use conf::Settings;
use indexmap::IndexMap;
use sched::Budget;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::Counters;
use crate::Order;
use crate::Snapshot;

/// Maximum number of workspaces with a retry budget; beyond it one is evicted.
const MAX_BUDGETS: usize = 4_096;

/// The state shared by the traffic threads.
#[derive(Debug)]
pub struct Context {
    /// The settings of this router.
    pub settings: Settings,
    /// The queue of orders to the control thread.
    pub orders: mpsc::UnboundedSender<Order>,
    /// The latest state of the fleet, published by the control thread.
    pub snapshot: watch::Receiver<Snapshot>,
    /// The claims of non-idempotent calls.
    pub claims: Arc<Claims>,
    /// The requests that are suspected of crashing runners.
    pub crashes: Arc<Mutex<Crashes>>,
    /// The retry budgets by workspace.
    pub budgets: Mutex<IndexMap<Name, Budget>>,
    /// The timeline of this process.
    pub ring: Arc<Ring>,
    /// The hybrid logical clock of this process.
    pub clock: Arc<Clock>,
    /// The counters of calls.
    pub counters: Arc<Counters>,
    /// All tasks of calls, joined at shutdown.
    pub tasks: TaskTracker,
    /// The time at which this process started.
    pub started: Instant,
}

impl Context {
    /// Returns the monotonic time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Sends an order to the control thread; the order is discarded if that thread has ended.
    pub fn send_order(&self, order: Order) {
        if self.orders.send(order).is_err() {
            log::warn!("front: the control thread has ended; an order was discarded");
        }
    }

    /// Records an event of a request on the timeline.
    pub fn record_event(
        &self,
        kind: EventKind,
        request: RequestId,
        workspace: &Name,
        runner: Option<&Name>,
        detail: &str,
    ) {
        self.ring.push(Event {
            at: self.clock.now(),
            process: self.settings.name.clone(),
            kind,
            request: Some(request),
            workspace: Some(workspace.clone()),
            runner: runner.cloned(),
            detail: detail.to_owned(),
        });
    }

    /// Returns whether a request may run, considering the crashes that it may have caused.
    pub fn admission(&self, digest: u64) -> Admission {
        let now = self.now();
        self.with_crashes(|crashes| crashes.admission(digest, now))
    }

    /// Calls `work` with the locked record of requests that are suspected of crashing runners.
    pub(crate) fn with_crashes<T>(&self, work: impl FnOnce(&mut Crashes) -> T) -> T {
        work(&mut self.crashes.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Credits the retry budget of a workspace with a first attempt.
    pub fn record_attempt(&self, workspace: &Name) {
        self.with_budget(workspace, Budget::record_attempt);
    }

    /// Withdraws a retry from the budget of a workspace; returns whether one was available.
    pub fn try_retry(&self, workspace: &Name) -> bool {
        self.with_budget(workspace, Budget::try_retry)
    }

    fn with_budget<T>(&self, workspace: &Name, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if budgets.len() >= MAX_BUDGETS && !budgets.contains_key(workspace) {
            budgets.swap_remove_index(0);
        }
        change(budgets.entry(workspace.clone()).or_default())
    }
}
