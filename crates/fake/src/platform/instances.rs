//! The list of instances, whose changes become visible after a delay and which can differ for single viewers.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// One instance that runs a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name of its router.
    pub name: String,
    /// The address that accepts callers.
    pub callers: String,
    /// The address that accepts other routers.
    pub peers: String,
    /// The availability zone.
    pub zone: String,
    /// The region.
    pub region: String,
    /// The state: `live` or `leaving`.
    pub state: String,
}

/// A list of instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The instances.
    pub instances: Vec<Instance>,
}

/// A list whose changes become visible after a delay.
#[derive(Debug, Default)]
struct DelayedList {
    current: List,
    pending: VecDeque<Pending>,
}

#[derive(Debug)]
struct Pending {
    visible_at: Instant,
    list: List,
}

impl DelayedList {
    fn get(&mut self, now: Instant) -> List {
        while let Some(change) = self.pending.pop_front_if(|change| change.visible_at <= now) {
            self.current = change.list;
        }
        self.current.clone()
    }
}

/// The shared list of instances and the lists of single viewers.
#[derive(Debug)]
pub(super) struct Registry {
    lag: Duration,
    shared: DelayedList,
    views: IndexMap<String, DelayedList>,
}

impl Registry {
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, shared: DelayedList::default(), views: IndexMap::new() }
    }

    pub(super) fn set(&mut self, viewer: Option<&str>, list: List, now: Instant) {
        let visible_at = now + self.lag;
        let delayed = match viewer {
            Some(viewer) => self.views.entry(viewer.to_owned()).or_default(),
            None => &mut self.shared,
        };
        delayed.pending.push_back(Pending { visible_at, list });
    }

    pub(super) fn list(&mut self, viewer: Option<&str>, now: Instant) -> List {
        match viewer.and_then(|viewer| self.views.get_mut(viewer)) {
            Some(view) => view.get(now),
            None => self.shared.get(now),
        }
    }
}
