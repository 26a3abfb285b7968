//! The table of claims: records in, decisions out.
//!
//! Whether a claim is the first of its key is decided by the records before it alone, so all routers that have read
//! a key's records decide the same, and a decision never changes. A claim that meets a held key is void for good: it
//! does not move up when the holder releases the key.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use uuid::Uuid;

use crate::Answer;
use crate::Claim;
use crate::Digest;
use crate::Entry;
use crate::Limits;
use crate::Outcome;
use crate::Refusal;
use crate::Release;
use crate::Scope;
use crate::scope::Slot;

/// Ids of ended claims that are remembered for each key.
const DEAD_LIMIT: usize = 32;
/// Bytes that one key takes, apart from recorded bodies.
const KEY_BYTES: usize = 192;

/// The place of a claim among those of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// It is the first that is not released: its router may run the call.
    Acquired,
    /// It came after another one, or was released before: it never runs.
    Void,
}

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState {
    /// No claim holds the key.
    Free,
    /// A claim holds the key, and its call may have run.
    Held(Uuid),
    /// The key was used for another content.
    Reused,
    /// The call has run.
    Finished(Answer),
}

#[derive(Debug)]
struct Holder {
    id: Uuid,
    digest: Digest,
    end: Option<Box<End>>,
}

#[derive(Debug)]
enum End {
    Kept(Answer),
    NotKept(u16),
}

#[derive(Debug, Default)]
struct Key {
    holder: Option<Holder>,
    dead: Vec<Uuid>,
}

/// All claims within the window.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    keys: IndexMap<Slot, Key>,
    ages: BTreeSet<(u64, Slot)>,
    bodies: usize,
    floor_ms: u64,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self { limits, keys: IndexMap::new(), ages: BTreeSet::new(), bodies: 0, floor_ms: 0 }
    }

    /// Takes in the next entry of the log and returns the resolution if it is a claim.
    pub fn apply(&mut self, entry: &Entry) -> Option<Resolution> {
        match entry {
            Entry::Claim(claim) => Some(self.claim(claim)),
            Entry::Release(release) => {
                self.release(release);
                None
            }
            Entry::Outcome(outcome) => {
                self.finish(outcome);
                None
            }
        }
    }

    /// Returns what is known of a key that a call with this content wants to use.
    #[must_use]
    pub fn key_state(&self, scope: &Scope, digest: &Digest) -> KeyState {
        let holder = self.keys.get(&scope.slot()).and_then(|key| key.holder.as_ref());
        match holder {
            None => KeyState::Free,
            Some(holder) if holder.digest != *digest => KeyState::Reused,
            Some(Holder { id, end: None, .. }) => KeyState::Held(*id),
            Some(Holder { end: Some(end), .. }) => KeyState::Finished(end.answer()),
        }
    }

    /// Checks whether the table knows all there is about a key of this age.
    ///
    /// # Errors
    /// Returns the refusal of a key that is too old, from the future, or without age.
    pub fn check_age(&self, scope: &Scope, now_ms: u64) -> Result<(), Refusal> {
        let created_ms = scope.created_ms().ok_or(Refusal::KeyTooOld)?;
        if created_ms > now_ms.saturating_add(self.limits.clock_error_ms) {
            return Err(Refusal::KeyFromFuture);
        }
        if created_ms.saturating_add(self.limits.window_ms) < now_ms {
            return Err(Refusal::KeyTooOld);
        }
        if created_ms <= self.floor_ms {
            return Err(Refusal::KeyTooOld);
        }
        Ok(())
    }

    /// Takes in that records up to this log time were missed, so that keys they may concern are refused.
    pub fn record_gap(&mut self, time_ms: u64) {
        let floor_ms = time_ms.saturating_add(2 * self.limits.clock_error_ms);
        self.floor_ms = self.floor_ms.max(floor_ms);
    }

    /// Forgets keys that no router accepts any more.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some((created_ms, slot)) = self.ages.first().copied() {
            if created_ms.saturating_add(self.limits.retention_ms) >= now_ms {
                return;
            }
            self.forget(created_ms, slot);
        }
    }

    /// Returns whether a claim holds its key.
    #[must_use]
    pub fn holds(&self, scope: &Scope, id: Uuid) -> bool {
        self.holder(scope, id).is_some()
    }

    /// Returns whether a claim was released or found void.
    #[must_use]
    pub fn has_tombstone(&self, scope: &Scope, id: Uuid) -> bool {
        self.keys.get(&scope.slot()).is_some_and(|key| key.dead.contains(&id))
    }

    /// Returns whether the outcome of a claim is known.
    #[must_use]
    pub fn is_finished(&self, scope: &Scope, id: Uuid) -> bool {
        self.holder(scope, id).is_some_and(|holder| holder.end.is_some())
    }

    /// Returns the number of keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the bytes held, recorded bodies and an estimate for the keys.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bodies + self.keys.len() * KEY_BYTES
    }

    fn holder(&self, scope: &Scope, id: Uuid) -> Option<&Holder> {
        let key = self.keys.get(&scope.slot())?;
        key.holder.as_ref().filter(|holder| holder.id == id)
    }

    fn claim(&mut self, claim: &Claim) -> Resolution {
        let key = self.key(&claim.scope);
        if key.dead.contains(&claim.id) {
            return Resolution::Void;
        }
        match &key.holder {
            Some(holder) if holder.id == claim.id => Resolution::Acquired,
            Some(_) => {
                key.bury(claim.id);
                Resolution::Void
            }
            None => {
                key.holder = Some(Holder { id: claim.id, digest: claim.digest, end: None });
                Resolution::Acquired
            }
        }
    }

    fn release(&mut self, release: &Release) {
        let key = self.key(&release.scope);
        match &key.holder {
            Some(holder) if holder.id == release.id && holder.end.is_some() => return,
            Some(holder) if holder.id == release.id => key.holder = None,
            _ => (),
        }
        key.bury(release.id);
    }

    fn finish(&mut self, outcome: &Outcome) {
        let room = self.limits.max_total_body_bytes.saturating_sub(self.bodies);
        let Some(key) = self.keys.get_mut(&outcome.scope.slot()) else { return };
        let Some(holder) = key.holder.as_mut().filter(|holder| holder.id == outcome.id) else {
            return;
        };
        if holder.end.is_some() {
            return;
        }
        let kept = outcome.answer().filter(|answer| answer.body.len() <= room);
        let end = kept.map_or(End::NotKept(outcome.status), End::Kept);
        self.bodies += end.size();
        holder.end = Some(Box::new(end));
    }

    fn key(&mut self, scope: &Scope) -> &mut Key {
        let slot = scope.slot();
        if !self.keys.contains_key(&slot) {
            self.make_room();
            self.ages.insert((scope.created_ms().unwrap_or(0), slot));
        }
        self.keys.entry(slot).or_default()
    }

    /// Forgets the oldest keys beyond the limit, and no longer accepts any key as old as those.
    fn make_room(&mut self) {
        while self.keys.len() >= self.limits.max_keys {
            let Some((created_ms, slot)) = self.ages.first().copied() else { return };
            self.forget(created_ms, slot);
            self.floor_ms = self.floor_ms.max(created_ms);
        }
    }

    fn forget(&mut self, created_ms: u64, slot: Slot) {
        self.ages.remove(&(created_ms, slot));
        if let Some(key) = self.keys.swap_remove(&slot) {
            let end = key.holder.and_then(|holder| holder.end);
            self.bodies -= end.map_or(0, |end| end.size());
        }
    }
}

impl Key {
    fn bury(&mut self, id: Uuid) {
        if self.dead.contains(&id) {
            return;
        }
        if self.dead.len() == DEAD_LIMIT {
            self.dead.remove(0);
        }
        self.dead.push(id);
    }
}

impl End {
    fn answer(&self) -> Answer {
        match self {
            Self::Kept(answer) => answer.clone(),
            Self::NotKept(status) => Answer::not_kept(*status),
        }
    }

    fn size(&self) -> usize {
        match self {
            Self::Kept(answer) => answer.body.len(),
            Self::NotKept(_) => 0,
        }
    }
}
