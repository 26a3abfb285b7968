//! What a router knows of the others.

use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

use super::message::MemberUpdate;
use crate::Candidate;
use crate::Member;
use crate::Record;
use crate::State;
use crate::Version;

/// Largest number of other routers that are remembered.
const ENTRY_LIMIT: usize = 4_096;

/// Another router.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) record: Record,
    pub(super) version: Version,
    /// Nothing while the router is listed but was never heard of.
    pub(super) state: Option<State>,
    /// When the state was taken in.
    pub(super) since: Duration,
    /// When a suspect is dead.
    pub(super) deadline: Duration,
    /// Whether this router raised the suspicion.
    pub(super) raised: bool,
    /// Whether the state was judged while nobody answered this router, and was not passed on.
    pub(super) private: bool,
    /// Whether the router was ever probed.
    pub(super) tried: bool,
    /// The address on the instance list.
    pub(super) listed: Option<SocketAddr>,
    /// The smoothed time to an answer.
    pub(super) rtt: Option<Duration>,
}

impl Entry {
    pub(super) fn new(record: Record) -> Self {
        Self {
            record,
            version: Version::default(),
            state: None,
            since: Duration::ZERO,
            deadline: Duration::ZERO,
            raised: false,
            private: false,
            tried: false,
            listed: None,
            rtt: None,
        }
    }

    pub(super) fn is_live(&self) -> bool {
        self.state.is_some_and(State::is_live)
    }

    pub(super) fn is_over(&self) -> bool {
        matches!(self.state, Some(State::Dead | State::Left))
    }

    pub(super) fn update(&self) -> Option<MemberUpdate> {
        let state = self.state.filter(|_| !self.private)?;
        Some(MemberUpdate { record: self.record.clone(), version: self.version, state })
    }

    fn member(&self) -> Option<Member> {
        let state = self.state?;
        Some(Member {
            name: self.record.name.clone(),
            zone: self.record.zone.clone(),
            region: self.record.region.clone(),
            incarnation: self.version.incarnation,
            state,
        })
    }
}

/// All other routers.
#[derive(Debug, Clone, Default)]
pub(super) struct Roster {
    pub(super) entries: IndexMap<Name, Entry>,
    /// Whether an instance list was ever read.
    pub(super) has_list: bool,
}

impl Roster {
    /// Takes in the instance list. An empty one says nothing.
    pub(super) fn list(&mut self, candidates: &[Candidate], me: &Name) {
        if candidates.is_empty() {
            return;
        }
        self.has_list = true;
        for entry in self.entries.values_mut() {
            if !candidates.iter().any(|candidate| candidate.name == entry.record.name) {
                entry.listed = None;
            }
        }
        for candidate in candidates.iter().filter(|candidate| candidate.name != *me) {
            self.list_one(candidate);
        }
        self.entries.retain(|_, entry| entry.listed.is_some() || entry.state.is_some());
    }

    fn list_one(&mut self, candidate: &Candidate) {
        let record = Record {
            name: candidate.name.clone(),
            address: candidate.address,
            zone: candidate.zone.clone(),
            region: candidate.region.clone(),
        };
        if let Some(entry) = self.insert(&record)
            && entry.listed != Some(candidate.address)
        {
            entry.listed = Some(candidate.address);
            entry.record = record;
            entry.tried = false;
        }
    }

    /// Returns the entry of the record's name, which is created if there is room.
    pub(super) fn insert(&mut self, record: &Record) -> Option<&mut Entry> {
        let name = &record.name;
        if !self.entries.contains_key(name) {
            if self.entries.len() >= ENTRY_LIMIT {
                return None;
            }
            self.entries.insert(name.clone(), Entry::new(record.clone()));
        }
        self.entries.get_mut(name)
    }

    pub(super) fn live_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.is_live()).count()
    }

    pub(super) fn names(&self, wanted: impl Fn(&Entry) -> bool) -> Vec<Name> {
        let found = self.entries.values().filter(|entry| wanted(entry));
        found.map(|entry| entry.record.name.clone()).collect()
    }

    pub(super) fn members(&self) -> impl Iterator<Item = Member> {
        self.entries.values().filter_map(Entry::member)
    }
}
