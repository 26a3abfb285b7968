//! The dispatcher of one shard: its state, and the inputs that change it.

use std::time::Duration;

use base::Attempt;
use base::Class;
use base::Cost;
use base::EventKind;
use base::Name;
use base::RequestId;
use indexmap::IndexMap;
use wire::Frame;
use wire::Term;

use crate::Action;
use crate::EventRecord;
use crate::Kind;
use crate::Load;
use crate::Plan;
use crate::charge::ChargedCost;
use crate::chart::Event;
use crate::idle::Allowance;
use crate::meter::Meter;
use crate::runner::Runner;
use crate::sibling::Siblings;
use crate::term_state::TermState;
use crate::timing::MAX_POLL_INTERVAL;
use crate::totals::LastTotals;
use crate::workspace::Workspace;

/// A granted request.
#[derive(Debug, Clone)]
pub(crate) struct Running {
    pub(crate) entry: Name,
    pub(crate) term: Term,
    pub(crate) workspace: Name,
    pub(crate) class: Class,
    pub(crate) runner: Name,
    pub(crate) granted: Duration,
    pub(crate) charged: ChargedCost,
    pub(crate) alone: bool,
    /// When the entry last reported on it, if ever.
    pub(crate) last_contact: Option<Duration>,
    /// When its grant was last sent or its entry last asked about it.
    pub(crate) last_inquiry: Duration,
}

/// The dispatcher of a shard.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) shard: wire::Shard,
    pub(crate) kind: Kind,
    pub(crate) name: Name,
    pub(crate) term_state: TermState,
    pub(crate) workspaces: IndexMap<Name, Workspace>,
    pub(crate) runners: IndexMap<Name, Runner>,
    pub(crate) running: IndexMap<Attempt, Running>,
    /// The workspace of each waiting request.
    pub(crate) waiting: IndexMap<RequestId, Name>,
    /// The runner that is reserved for a request that must run alone.
    pub(crate) reservation: Option<Reservation>,
    pub(crate) virtual_time: Cost,
    pub(crate) last_interactive: Option<Duration>,
    pub(crate) idle_allowance: Allowance,
    /// The largest charge taken over from an earlier dispatcher.
    pub(crate) inherited_charge: Cost,
    pub(crate) meter: Meter,
    pub(crate) last_totals: LastTotals,
    pub(crate) siblings: Siblings,
    pub(crate) outbox: Vec<Action>,
}

/// A runner that is reserved for a request that must run alone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reservation {
    pub(crate) request: RequestId,
    pub(crate) runner: Name,
}

impl Dispatcher {
    /// Creates a dispatcher that collects the state of the shard from its members before it grants.
    ///
    /// `listed` is the number of instances that the platform lists.
    #[must_use]
    pub fn new(
        plan: Plan,
        me: Name,
        term: Term,
        members: Vec<Name>,
        listed: usize,
        now: Duration,
    ) -> Self {
        let mut dispatcher = Self {
            shard: plan.shard.clone(),
            kind: plan.kind,
            name: me,
            term_state: TermState::new(term, members, listed, now),
            workspaces: IndexMap::new(),
            runners: IndexMap::new(),
            running: IndexMap::new(),
            waiting: IndexMap::new(),
            reservation: None,
            virtual_time: Cost::ZERO,
            last_interactive: None,
            idle_allowance: Allowance::new(now),
            inherited_charge: Cost::ZERO,
            meter: Meter::new(now),
            last_totals: LastTotals::default(),
            siblings: Siblings::default(),
            outbox: Vec::new(),
        };
        dispatcher.update_plan(plan, now);
        dispatcher.log_event(EventKind::Dispatcher, format!("term {term} begins"));
        dispatcher
    }

    /// Applies a new plan; queues and charges of known workspaces stay.
    pub fn update_plan(&mut self, plan: Plan, now: Duration) {
        self.kind = plan.kind;
        for workspace in &plan.workspaces {
            let known = self.workspaces.get_mut(&workspace.name);
            match known {
                Some(known) => known.update_plan(workspace),
                None => {
                    self.workspaces.insert(workspace.name.clone(), Workspace::new(workspace));
                }
            }
        }
        self.remove_missing_runners(&plan, now);
        for runner in plan.runners {
            match self.runners.get_mut(&runner.name) {
                Some(known) => known.update_plan(runner, now),
                None => {
                    self.runners.insert(runner.name.clone(), Runner::new(runner, now));
                }
            }
        }
        self.update_runners(now);
    }

    fn remove_missing_runners(&mut self, plan: &Plan, now: Duration) {
        let planned = |name: &Name| plan.runners.iter().any(|runner| runner.name == *name);
        for (name, runner) in &mut self.runners {
            if !planned(name) {
                runner.plan.out = true;
                runner.apply_event(Event::Removed, now);
            }
        }
        let running = &self.running;
        self.runners.retain(|name, _| {
            planned(name) || running.values().any(|running| running.runner == *name)
        });
    }

    /// Updates the alive members and the number of instances that the platform lists.
    ///
    /// Waiting requests of lost members are dropped. Their running requests stay counted until a load
    /// report taken after the loss or a timeout shows that they have ended.
    pub fn update_members(&mut self, members: Vec<Name>, listed: usize, now: Duration) {
        let lost = self.term_state.replace_members(members, listed, now);
        if lost.is_empty() {
            return;
        }
        let belongs_to_lost = |entry: &Name| lost.contains(entry);
        for workspace in self.workspaces.values_mut() {
            for waiting in workspace.queue.extract(|waiting| belongs_to_lost(&waiting.entry)) {
                self.waiting.swap_remove(&waiting.enqueue.request);
            }
        }
        let orphans: Vec<Attempt> = self
            .running
            .iter()
            .filter(|(_, running)| belongs_to_lost(&running.entry))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in orphans {
            self.orphan_request(attempt, now);
        }
        for runner in self.runners.values_mut() {
            runner.has_unknown_work = true;
        }
    }

    /// Removes a request of a lost entry; the runner may still serve it.
    fn orphan_request(&mut self, attempt: Attempt, now: Duration) {
        let Some(running) = self.running.swap_remove(&attempt) else { return };
        if let Some(workspace) = self.workspaces.get_mut(&running.workspace) {
            workspace.record_end();
        }
        if let Some(runner) = self.runners.get_mut(&running.runner) {
            runner.record_orphan(now);
        }
    }

    /// Records a load report of a runner; `None` means that the report could not be fetched.
    pub fn record_load(&mut self, runner: &Name, load: Option<Load>, now: Duration) {
        let Some(known) = self.runners.get_mut(runner) else { return };
        let before = known.state;
        known.record_load(load, now);
        let after = known.state;
        self.clear_unknown_work(runner, now);
        self.log_state_change(runner, before, after);
    }

    /// Returns the time of the next poll.
    #[must_use]
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        let deadline = self
            .workspaces
            .values()
            .flat_map(|workspace| workspace.queue.iter())
            .map(|waiting| waiting.deadline)
            .min();
        let tick = now + MAX_POLL_INTERVAL;
        Some(deadline.unwrap_or(tick).min(tick))
    }

    /// Returns the term of the dispatcher.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.term_state.term()
    }

    /// Returns whether the dispatcher missed its lease and must begin a new term by [`Self::begin_term`].
    #[must_use]
    pub const fn needs_term(&self) -> bool {
        self.term_state.is_expired()
    }

    pub(crate) fn send(&mut self, to: &Name, frame: Frame) {
        self.outbox.push(Action::Send { to: to.clone(), frame });
    }

    pub(crate) fn log_event(&mut self, kind: EventKind, detail: String) {
        let event = EventRecord { kind, request: None, workspace: None, runner: None, detail };
        self.outbox.push(Action::Event(event));
    }

    pub(crate) fn log_state_change(
        &mut self,
        runner: &Name,
        before: crate::State,
        after: crate::State,
    ) {
        if before == after {
            return;
        }
        log::info!("sched: runner {runner} changes from {before} to {after}");
        let detail = format!("turns from {before} to {after}");
        let runner = Some(runner.clone());
        let kind = EventKind::Runner;
        let event = EventRecord { kind, request: None, workspace: None, runner, detail };
        self.outbox.push(Action::Event(event));
    }

    /// Updates the states that depend on time or running requests, and removes runners that are gone.
    pub(crate) fn update_runners(&mut self, now: Duration) {
        let kind = self.kind;
        let running = &self.running;
        let busy = |name: &Name| running.values().any(|running| running.runner == *name);
        for (name, runner) in &mut self.runners {
            runner.retry_suspect(kind, now);
            runner.expire_ended(now);
            if !busy(name) {
                runner.apply_event(Event::Drained, now);
            }
        }
        self.runners.retain(|name, runner| runner.state != crate::State::Gone || busy(name));
    }
}
