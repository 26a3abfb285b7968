//! Weighted charges of workspaces, by which requests are granted in fair order.

use base::Class;
use base::Cost;
use base::Name;
use indexmap::IndexMap;

use crate::mean::Mean;

/// Largest estimated cost that is charged at a grant.
pub const MAX_ESTIMATE: Cost = Cost::tokens(256);
/// Estimated cost of a request of a workspace and class without history.
const INITIAL_ESTIMATE: Cost = Cost::tokens(32);
/// Cost of one request that the bound on the gap assumes until a larger one was seen.
const MIN_OVERSHOOT: Cost = Cost::tokens(256);

/// The charge of one workspace, and the figures from which the bound on the gap is derived.
#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) weight: u32,
    /// The charge in cost per unit of weight, including the work of other shards.
    pub(crate) charge: Cost,
    /// The part of the charge that comes from grants of this dispatcher.
    pub(crate) served: Cost,
    mean_costs: IndexMap<Class, Mean>,
    /// The largest number of requests that ran at once.
    max_running: u32,
    /// The largest cost of one request.
    max_cost: Cost,
}

/// The amount that one request has added to a charge.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ChargedCost {
    /// The cost.
    pub(crate) cost: Cost,
    /// The cost per unit of weight at the time it was charged.
    weighted: Cost,
}

impl Account {
    pub(crate) fn new(weight: u32) -> Self {
        Self {
            weight: weight.max(1),
            charge: Cost::ZERO,
            served: Cost::ZERO,
            mean_costs: IndexMap::new(),
            max_running: 1,
            max_cost: MIN_OVERSHOOT,
        }
    }

    /// Returns the estimated cost that is charged at a grant, at most [`MAX_ESTIMATE`].
    ///
    /// It is the mean cost of earlier requests of the class, or a smaller hint.
    pub(crate) fn estimate(&self, class: Class, hint: Cost) -> Cost {
        let learned =
            self.mean_costs.get(&class).map_or(INITIAL_ESTIMATE, |mean| Cost(mean.value()));
        let hint = if hint == Cost::ZERO { learned } else { hint };
        hint.min(learned).min(MAX_ESTIMATE)
    }

    /// Replaces the amount that a request has added by a new cost.
    pub(crate) fn update_cost(&mut self, before: ChargedCost, cost: Cost) -> ChargedCost {
        let weighted = Cost(cost.0 / u64::from(self.weight));
        self.adjust(before.weighted, weighted);
        self.served = (self.served + weighted).saturating_sub(before.weighted);
        self.max_cost = self.max_cost.max(cost);
        ChargedCost { cost, weighted }
    }

    /// Replaces a part of the charge by another.
    pub(crate) fn adjust(&mut self, before: Cost, after: Cost) {
        self.charge = (self.charge + after).saturating_sub(before);
    }

    /// Returns the record of a cost that the charge already includes.
    pub(crate) fn already_charged(&self, cost: Cost) -> ChargedCost {
        ChargedCost { cost, weighted: Cost(cost.0 / u64::from(self.weight)) }
    }

    pub(crate) fn record_cost(&mut self, class: Class, used: Cost) {
        self.mean_costs.entry(class).or_default().add(used.0);
    }

    pub(crate) fn record_running(&mut self, running: u32) {
        self.max_running = self.max_running.max(running);
    }

    /// Raises the charge to a floor; a larger charge stays.
    pub(crate) fn raise_to(&mut self, floor: Cost) {
        self.charge = self.charge.max(floor);
    }

    /// Returns how far unreported work can raise the charge above that of another workspace.
    pub(crate) fn overshoot(&self) -> Cost {
        Cost(self.max_cost.0.saturating_mul(u64::from(self.max_running)) / u64::from(self.weight))
    }

    /// Returns how far corrections of estimates can lower the charge.
    pub(crate) fn max_refund(&self) -> Cost {
        Cost(MAX_ESTIMATE.0.saturating_mul(u64::from(self.max_running)) / u64::from(self.weight))
    }
}

/// Returns the bound on the gap between the charges of two backlogged workspaces.
pub(crate) fn bound<'a>(accounts: impl Iterator<Item = &'a Account> + Clone) -> Cost {
    let overshoot = accounts.clone().map(Account::overshoot).max().unwrap_or_default();
    overshoot + credit(accounts)
}

/// Returns the credit that a workspace keeps while requests of others are granted before its own.
pub(crate) fn credit<'a>(accounts: impl Iterator<Item = &'a Account>) -> Cost {
    accounts.map(Account::max_refund).max().unwrap_or_default()
}

/// Returns the name that stands for the virtual time among the fairness counters.
pub(crate) fn virtual_time_key() -> Name {
    Name::new("")
}
