//! The queue of requests that wait for a runner.
//!
//! Load pattern: more work than all engines can do, most of it from a few workspaces. The workspace with the
//! smallest recent use comes first. Within a workspace, requests are ordered by priority and then by target time, and
//! those whose target time has passed come last in their priority.

use std::cmp::Reverse;
use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

use crate::Request;
use crate::Usage;

/// The identifier of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub(crate) u64);

/// A waiting request with the end of its wait.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    /// The request.
    pub(crate) request: Request,
    /// The time at which it is refused if no runner was granted.
    pub(crate) expires_at: Duration,
}

/// The waiting requests that one payer is charged for.
#[derive(Debug, Clone)]
pub(crate) struct Queued {
    /// The workspace that is charged, or what stands for requests without one.
    pub(crate) payer: Name,
    /// The workspace.
    pub(crate) workspace: Option<Name>,
    /// The number of requests.
    pub(crate) requests: u32,
    /// The tokens of their prompts.
    pub(crate) tokens: u64,
}

/// The waiting requests of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queue {
    waiting: IndexMap<Ticket, Waiting>,
}

impl Queue {
    /// Adds a request.
    pub(crate) fn push(&mut self, ticket: Ticket, waiting: Waiting) {
        self.waiting.insert(ticket, waiting);
    }

    /// Removes a request.
    pub(crate) fn take(&mut self, ticket: Ticket) -> Option<Waiting> {
        self.waiting.swap_remove(&ticket)
    }

    /// Returns whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many requests wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the requests whose wait has expired.
    pub(crate) fn expired(&self, now: Duration) -> Vec<Ticket> {
        let expired = self.waiting.iter().filter(|(_, waiting)| now >= waiting.expires_at);
        expired.map(|(ticket, _)| *ticket).collect()
    }

    /// Returns the time at which the next wait expires.
    pub(crate) fn next_expiry(&self) -> Option<Duration> {
        self.waiting.values().map(|waiting| waiting.expires_at).min()
    }

    /// Returns at most `limit` requests, in the order in which runners are granted.
    pub(crate) fn in_order(&self, usage: &Usage, now: Duration, limit: usize) -> Vec<Ticket> {
        let mut used: IndexMap<Option<&Name>, u64> = IndexMap::new();
        for waiting in self.waiting.values() {
            let workspace = waiting.request.workspace.as_ref();
            used.entry(workspace)
                .or_insert_with(|| workspace.map_or(0, |name| usage.of(now, name).contended));
        }
        let mut order: Vec<(u64, u32, Reverse<bool>, Duration, Ticket)> = self
            .waiting
            .iter()
            .map(|(ticket, waiting)| {
                let request = &waiting.request;
                let used = used[&request.workspace.as_ref()];
                (used, request.priority, Reverse(now < request.target), request.target, *ticket)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().take(limit).map(|(.., ticket)| ticket).collect()
    }

    /// Returns what waits for each payer.
    pub(crate) fn by_payer(&self) -> Vec<Queued> {
        let mut queued: IndexMap<Name, Queued> = IndexMap::new();
        for Waiting { request, .. } in self.waiting.values() {
            let Some(payer) = request.payer() else { continue };
            let workspace = request.workspace.clone();
            let entry = queued.entry(payer.clone());
            let entry =
                entry.or_insert_with(|| Queued { payer, workspace, requests: 0, tokens: 0 });
            entry.requests += 1;
            entry.tokens += request.prompt.as_ref().map_or(0, |prompt| prompt.input);
        }
        queued.into_values().collect()
    }

    /// Returns a waiting request.
    pub(crate) fn get(&self, ticket: Ticket) -> Option<&Waiting> {
        self.waiting.get(&ticket)
    }

    /// Returns the number of waiting requests of each workspace, and the one of them that expires first.
    pub(crate) fn by_workspace(&self) -> IndexMap<&Name, (usize, &Waiting)> {
        let mut counts: IndexMap<&Name, (usize, &Waiting)> = IndexMap::new();
        for waiting in self.waiting.values() {
            if let Some(workspace) = &waiting.request.workspace {
                let (count, first) = counts.entry(workspace).or_insert((0, waiting));
                *count += 1;
                if waiting.expires_at < first.expires_at {
                    *first = waiting;
                }
            }
        }
        counts
    }
}
