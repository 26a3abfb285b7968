//! The view that a router has of the other routers.

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

/// Maximum number of entries for other routers.
const ENTRY_LIMIT: usize = 4_096;

/// Another router.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) record: Record,
    pub(super) version: Version,
    /// The state, or `None` while the router is listed but no update about it was received.
    pub(super) state: Option<State>,
    /// When the state was set.
    pub(super) state_since: Duration,
    /// When a suspected member is declared dead.
    pub(super) deadline: Duration,
    /// Whether the state comes from the probes of this router.
    pub(super) is_own_suspicion: bool,
    /// Whether the state was declared while this router was isolated, and was not disseminated.
    pub(super) is_local: bool,
    /// Whether the router was ever probed.
    pub(super) is_probed: bool,
    /// The address on the instance list.
    pub(super) listed_address: Option<SocketAddr>,
    /// The smoothed round-trip time.
    pub(super) rtt: Option<Duration>,
}

impl Entry {
    pub(super) fn new(record: Record) -> Self {
        Self {
            record,
            version: Version::default(),
            state: None,
            state_since: Duration::ZERO,
            deadline: Duration::ZERO,
            is_own_suspicion: false,
            is_local: false,
            is_probed: false,
            listed_address: None,
            rtt: None,
        }
    }

    pub(super) fn is_live(&self) -> bool {
        self.state.is_some_and(State::is_live)
    }

    pub(super) fn has_ended(&self) -> bool {
        matches!(self.state, Some(State::Dead | State::Left))
    }

    pub(super) fn update(&self) -> Option<MemberUpdate> {
        let state = self.state.filter(|_| !self.is_local)?;
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
pub(super) struct Membership {
    pub(super) entries: IndexMap<Name, Entry>,
    /// Whether an instance list that is not empty was ever received.
    pub(super) has_list: bool,
}

impl Membership {
    /// Updates the entries from the instance list. An empty list is ignored.
    pub(super) fn set_list(&mut self, candidates: &[Candidate], local: &Name) {
        if candidates.is_empty() {
            return;
        }
        self.has_list = true;
        for entry in self.entries.values_mut() {
            if !candidates.iter().any(|candidate| candidate.name == entry.record.name) {
                entry.listed_address = None;
            }
        }
        for candidate in candidates.iter().filter(|candidate| candidate.name != *local) {
            self.insert_candidate(candidate);
        }
        self.entries.retain(|_, entry| entry.listed_address.is_some() || entry.state.is_some());
    }

    fn insert_candidate(&mut self, candidate: &Candidate) {
        let record = Record {
            name: candidate.name.clone(),
            address: candidate.address,
            zone: candidate.zone.clone(),
            region: candidate.region.clone(),
        };
        if let Some(entry) = self.insert(&record)
            && entry.listed_address != Some(candidate.address)
        {
            entry.listed_address = Some(candidate.address);
            entry.record = record;
            entry.is_probed = false;
        }
    }

    /// Returns the entry of the record's name, which is created unless the limit is reached.
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

    pub(super) fn names(&self, matches: impl Fn(&Entry) -> bool) -> Vec<Name> {
        let found = self.entries.values().filter(|entry| matches(entry));
        found.map(|entry| entry.record.name.clone()).collect()
    }

    pub(super) fn members(&self) -> impl Iterator<Item = Member> {
        self.entries.values().filter_map(Entry::member)
    }
}
