//! Shards of one service: they publish the work they have served, and redirect requests to shards with free slots.

use std::time::Duration;

use base::Class;
use base::Cost;
use base::Name;
use indexmap::IndexMap;
use wire::Frame;
use wire::Redirect;
use wire::Served;
use wire::Shard;
use wire::Term;
use wire::Total;

use crate::Dispatcher;
use crate::queue::Lane;
use crate::queue::Waiting;
use crate::slots::Slots;
use crate::timing::FREE_SLOTS_VALIDITY;
use crate::timing::MIN_FREE_SLOTS_INTERVAL;
use crate::timing::SERVED_PERIOD;

/// Another shard of the same service and region, and the router that dispatches it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sibling {
    /// The shard.
    pub shard: Shard,
    /// Its dispatcher.
    pub owner: Name,
}

/// Free slots of a shard in which no request waits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct FreeSlots {
    any: u32,
    long: u32,
}

/// The state received from another shard.
#[derive(Debug, Default)]
struct SiblingState {
    term: Term,
    charges: IndexMap<Name, Cost>,
    free_slots: FreeSlots,
    free_slots_until: Duration,
    /// The largest increase of one workspace's charge in one frame.
    max_step: Cost,
}

/// The state published to the other shards, and the state received from them.
#[derive(Debug, Default)]
pub(crate) struct Siblings {
    list: Vec<Sibling>,
    states: IndexMap<Shard, SiblingState>,
    published: IndexMap<Name, Cost>,
    published_free_slots: FreeSlots,
    published_at: Option<Duration>,
}

impl Dispatcher {
    /// Updates the other shards of the service and their dispatchers.
    pub fn update_siblings(&mut self, list: Vec<Sibling>) {
        if list == self.siblings.list {
            return;
        }
        self.siblings.states.retain(|shard, _| list.iter().any(|sibling| sibling.shard == *shard));
        self.siblings.published.clear();
        self.siblings.published_at = None;
        self.siblings.list = list;
    }

    /// Adds the work that another shard has served; each part of a charge is counted once.
    pub(crate) fn handle_served(&mut self, served: &Served, now: Duration) {
        if !self.siblings.list.iter().any(|sibling| sibling.shard == served.shard) {
            return;
        }
        let first = !self.siblings.states.contains_key(&served.shard);
        let state = self.siblings.states.entry(served.shard.clone()).or_default();
        if served.term < state.term {
            return;
        }
        if served.term > state.term {
            state.term = served.term;
            state.charges.clear();
        }
        state.free_slots = FreeSlots { any: served.spare, long: served.spare_long };
        state.free_slots_until = now + FREE_SLOTS_VALIDITY;
        let mut changes = Vec::new();
        for total in &served.totals {
            let before =
                state.charges.insert(total.workspace.clone(), total.charge).unwrap_or_default();
            state.max_step = state.max_step.max(total.charge.saturating_sub(before));
            changes.push((total.workspace.clone(), before, total.charge));
        }
        // Counters inherited at the start of this term already include what the sibling had served.
        if first && self.term_state.has_predecessor {
            return;
        }
        for (workspace, before, after) in changes {
            self.ensure_workspace(&workspace);
            self.workspaces[&workspace].account.adjust(before, after);
        }
    }

    /// Publishes the work served and the free slots to the other shards.
    pub(crate) fn publish_to_siblings(&mut self, slots: &[Slots], now: Duration) {
        if self.siblings.list.is_empty() {
            return;
        }
        let free_slots = self.free_slots(slots);
        let age =
            self.siblings.published_at.map_or(FREE_SLOTS_VALIDITY, |at| now.saturating_sub(at));
        let freed = free_slots.any > 0 && self.siblings.published_free_slots.any == 0;
        let totals = self.changed_charges();
        let changed = !totals.is_empty() || free_slots != self.siblings.published_free_slots;
        let repeats = free_slots.any > 0 && age >= FREE_SLOTS_VALIDITY / 2;
        let due = (freed && age >= MIN_FREE_SLOTS_INTERVAL)
            || (changed && age >= SERVED_PERIOD)
            || repeats;
        if !due {
            return;
        }
        for total in &totals {
            self.siblings.published.insert(total.workspace.clone(), total.charge);
        }
        self.siblings.published_free_slots = free_slots;
        self.siblings.published_at = Some(now);
        let served = Served {
            shard: self.shard.clone(),
            term: self.term(),
            totals,
            spare: free_slots.any,
            spare_long: free_slots.long,
        };
        let mut owners: Vec<Name> =
            self.siblings.list.iter().map(|sibling| sibling.owner.clone()).collect();
        owners.sort();
        owners.dedup();
        for owner in owners {
            self.send(&owner, Frame::Served(served.clone()));
        }
    }

    /// Redirects waiting requests without a slot here to shards with free slots, in fair order.
    pub(crate) fn redirect_to_siblings(&mut self, now: Duration) {
        while !self.waiting.is_empty() {
            let Some((request, to, long)) = self.next_to_redirect(now) else { return };
            let Some(workspace) = self.waiting.swap_remove(&request) else { return };
            let Some(waiting) = self.workspaces[&workspace].queue.remove(request) else { return };
            let state = &mut self.siblings.states[&to];
            state.free_slots.any = state.free_slots.any.saturating_sub(1);
            state.free_slots.long =
                state.free_slots.long.saturating_sub(u32::from(long)).min(state.free_slots.any);
            let (shard, term) = (self.shard.clone(), self.term());
            let redirect = Redirect { shard, term, request, to: to.index };
            self.send(&waiting.entry, Frame::Redirect(redirect));
        }
    }

    /// Returns the largest gap that charges not received yet can add.
    pub(crate) fn unreported_gap(&self) -> Cost {
        self.siblings.states.values().map(|state| state.max_step).sum()
    }

    fn next_to_redirect(&self, now: Duration) -> Option<(base::RequestId, Shard, bool)> {
        let order = self.fair_order();
        let mut waiting = order.iter().flat_map(|name| self.workspaces[name].queue.in_turn(now));
        waiting.find_map(|waiting| {
            let long = is_long(waiting);
            let to = self.shard_with_free_slots(long, now).filter(|_| !waiting.enqueue.alone)?;
            Some((waiting.enqueue.request, to, long))
        })
    }

    fn shard_with_free_slots(&self, long: bool, now: Duration) -> Option<Shard> {
        let free =
            |state: &SiblingState| if long { state.free_slots.long } else { state.free_slots.any };
        let usable = self
            .siblings
            .states
            .iter()
            .filter(|(_, state)| now < state.free_slots_until && free(state) > 0);
        usable.max_by_key(|(_, state)| free(state)).map(|(shard, _)| shard.clone())
    }

    fn free_slots(&self, slots: &[Slots]) -> FreeSlots {
        if !self.waiting.is_empty() {
            return FreeSlots::default();
        }
        FreeSlots {
            any: slots.iter().map(|slots| slots.free).sum(),
            long: slots.iter().map(|slots| slots.free_for_long).sum(),
        }
    }

    fn changed_charges(&self) -> Vec<Total> {
        let changed = self.workspaces.iter().filter(|(name, known)| {
            let published = self.siblings.published.get(*name).copied().unwrap_or_default();
            known.account.served != published
        });
        changed
            .map(|(name, known)| Total { workspace: name.clone(), charge: known.account.served })
            .collect()
    }
}

fn is_long(waiting: &Waiting) -> bool {
    Lane::of(waiting.enqueue.class) == Lane::of(Class::Long)
}
