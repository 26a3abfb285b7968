//! Shards of one service: they tell each other what they have served, and give work to those with free slots.

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
use crate::free::Slots;
use crate::queue::Lane;
use crate::queue::Waiting;
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

/// Free slots of a shard that nobody waits for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Spare {
    any: u32,
    long: u32,
}

/// What was heard of another shard.
#[derive(Debug, Default)]
struct Heard {
    term: Term,
    charges: IndexMap<Name, Cost>,
    spare: Spare,
    spare_until: Duration,
    /// The largest charge of one workspace that came with one frame.
    largest_step: Cost,
}

/// What this dispatcher tells the other shards, and what it has heard of them.
#[derive(Debug, Default)]
pub(crate) struct Siblings {
    list: Vec<Sibling>,
    heard: IndexMap<Shard, Heard>,
    told: IndexMap<Name, Cost>,
    told_spare: Spare,
    told_at: Option<Duration>,
}

impl Dispatcher {
    /// Takes in the other shards of the service and who dispatches them.
    pub fn update_siblings(&mut self, list: Vec<Sibling>) {
        if list == self.siblings.list {
            return;
        }
        self.siblings.heard.retain(|shard, _| list.iter().any(|sibling| sibling.shard == *shard));
        self.siblings.told.clear();
        self.siblings.told_at = None;
        self.siblings.list = list;
    }

    /// Takes in what another shard has served: each part of a charge is counted once.
    pub(crate) fn served(&mut self, served: &Served, now: Duration) {
        if !self.siblings.list.iter().any(|sibling| sibling.shard == served.shard) {
            return;
        }
        let first = !self.siblings.heard.contains_key(&served.shard);
        let heard = self.siblings.heard.entry(served.shard.clone()).or_default();
        if served.term < heard.term {
            return;
        }
        if served.term > heard.term {
            heard.term = served.term;
            heard.charges.clear();
        }
        heard.spare = Spare { any: served.spare, long: served.spare_long };
        heard.spare_until = now + FREE_SLOTS_VALIDITY;
        let mut changes = Vec::new();
        for total in &served.totals {
            let before =
                heard.charges.insert(total.workspace.clone(), total.charge).unwrap_or_default();
            heard.largest_step = heard.largest_step.max(total.charge.saturating_sub(before));
            changes.push((total.workspace.clone(), before, total.charge));
        }
        // The counters inherited at the begin of this term hold what a sibling had served before.
        if first && self.gather.inherited {
            return;
        }
        for (workspace, before, after) in changes {
            self.ensure_workspace(&workspace);
            self.workspaces[&workspace].account.shift(before, after);
        }
    }

    /// Tells the other shards what this one has served and how many slots are free.
    pub(crate) fn tell_siblings(&mut self, slots: &[Slots], now: Duration) {
        if self.siblings.list.is_empty() {
            return;
        }
        let spare = self.spare(slots);
        let age =
            self.siblings.told_at.map_or(FREE_SLOTS_VALIDITY, |told| now.saturating_sub(told));
        let freed = spare.any > 0 && self.siblings.told_spare.any == 0;
        let totals = self.changed_charges();
        let changed = !totals.is_empty() || spare != self.siblings.told_spare;
        let repeats = spare.any > 0 && age >= FREE_SLOTS_VALIDITY / 2;
        let due = (freed && age >= MIN_FREE_SLOTS_INTERVAL)
            || (changed && age >= SERVED_PERIOD)
            || repeats;
        if !due {
            return;
        }
        for total in &totals {
            self.siblings.told.insert(total.workspace.clone(), total.charge);
        }
        self.siblings.told_spare = spare;
        self.siblings.told_at = Some(now);
        let served = Served {
            shard: self.shard.clone(),
            term: self.term(),
            totals,
            spare: spare.any,
            spare_long: spare.long,
        };
        let mut owners: Vec<Name> =
            self.siblings.list.iter().map(|sibling| sibling.owner.clone()).collect();
        owners.sort();
        owners.dedup();
        for owner in owners {
            self.send(&owner, Frame::Served(served.clone()));
        }
    }

    /// Gives waiting requests that no runner here has a slot for to shards with free slots, in fair order.
    pub(crate) fn give_to_siblings(&mut self, now: Duration) {
        while !self.waiting.is_empty() {
            let Some((request, to, long)) = self.next_to_give(now) else { return };
            let Some(workspace) = self.waiting.swap_remove(&request) else { return };
            let Some(waiting) = self.workspaces[&workspace].queue.remove(request) else { return };
            let heard = &mut self.siblings.heard[&to];
            heard.spare.any = heard.spare.any.saturating_sub(1);
            heard.spare.long =
                heard.spare.long.saturating_sub(u32::from(long)).min(heard.spare.any);
            let (shard, term) = (self.shard.clone(), self.term());
            let redirect = Redirect { shard, term, request, to: to.index };
            self.send(&waiting.entry, Frame::Redirect(redirect));
        }
    }

    /// Returns the largest part of the gap that comes from charges not heard yet.
    pub(crate) fn unheard(&self) -> Cost {
        self.siblings.heard.values().map(|heard| heard.largest_step).sum()
    }

    fn next_to_give(&self, now: Duration) -> Option<(base::RequestId, Shard, bool)> {
        let order = self.fair_order();
        let mut waiting = order.iter().flat_map(|name| self.workspaces[name].queue.in_turn(now));
        waiting.find_map(|waiting| {
            let long = is_long(waiting);
            let to = self.spare_shard(long, now).filter(|_| !waiting.enqueue.alone)?;
            Some((waiting.enqueue.request, to, long))
        })
    }

    fn spare_shard(&self, long: bool, now: Duration) -> Option<Shard> {
        let free = |heard: &Heard| if long { heard.spare.long } else { heard.spare.any };
        let usable = self
            .siblings
            .heard
            .iter()
            .filter(|(_, heard)| now < heard.spare_until && free(heard) > 0);
        usable.max_by_key(|(_, heard)| free(heard)).map(|(shard, _)| shard.clone())
    }

    fn spare(&self, slots: &[Slots]) -> Spare {
        if !self.waiting.is_empty() {
            return Spare::default();
        }
        Spare {
            any: slots.iter().map(|slots| slots.free).sum(),
            long: slots.iter().map(|slots| slots.free_for_long).sum(),
        }
    }

    fn changed_charges(&self) -> Vec<Total> {
        let changed = self.workspaces.iter().filter(|(name, known)| {
            let told = self.siblings.told.get(*name).copied().unwrap_or_default();
            known.account.served != told
        });
        changed
            .map(|(name, known)| Total { workspace: name.clone(), charge: known.account.served })
            .collect()
    }
}

fn is_long(waiting: &Waiting) -> bool {
    Lane::of(waiting.enqueue.class) == Lane::of(Class::Long)
}
