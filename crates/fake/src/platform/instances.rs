//! The list of instances, with views of single viewers and a lag.

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
    /// The address for callers.
    pub callers: String,
    /// The address for other routers.
    pub peers: String,
    /// The availability zone.
    pub zone: String,
    /// The region.
    pub region: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// A list of instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The instances.
    pub instances: Vec<Instance>,
}

/// A list that changes become visible in after a lag.
#[derive(Debug, Default)]
struct Lagging {
    current: List,
    pending: VecDeque<Pending>,
}

#[derive(Debug)]
struct Pending {
    visible_at: Instant,
    list: List,
}

impl Lagging {
    fn get(&mut self, now: Instant) -> List {
        while let Some(next) = self.pending.pop_front_if(|next| next.visible_at <= now) {
            self.current = next.list;
        }
        self.current.clone()
    }
}

/// All views of the list of instances.
#[derive(Debug)]
pub(super) struct Registry {
    lag: Duration,
    shared: Lagging,
    views: IndexMap<String, Lagging>,
}

impl Registry {
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, shared: Lagging::default(), views: IndexMap::new() }
    }

    pub(super) fn set(&mut self, viewer: Option<&str>, list: List, now: Instant) {
        let visible_at = now + self.lag;
        let lagging = match viewer {
            Some(viewer) => self.views.entry(viewer.to_owned()).or_default(),
            None => &mut self.shared,
        };
        lagging.pending.push_back(Pending { visible_at, list });
    }

    pub(super) fn list(&mut self, viewer: Option<&str>, now: Instant) -> List {
        match viewer.and_then(|viewer| self.views.get_mut(viewer)) {
            Some(view) => view.get(now),
            None => self.shared.get(now),
        }
    }
}
