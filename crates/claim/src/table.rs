//! The table of claims, a deterministic state machine over the entries of the log.
//!
//! Whether a claim acquires its key depends only on the entries before it. So all routers that have read the entries of
//! a key reach the same result, and a result never changes. A claim of a held key is permanently void: it does not
//! acquire the key when the holder releases it.

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
use crate::scope::ShortDigest;

/// Maximum number of tombstones per key.
const MAX_TOMBSTONES: usize = 32;
/// Estimated size of one key in memory, without recorded bodies, in bytes.
const ESTIMATED_KEY_BYTES: usize = 192;

/// The result of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// The claim holds the key: it is the first one that was not released, and its router may run the call.
    Acquired,
    /// The claim came after another one or after its own release: its call never runs.
    Void,
}

/// The state of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState {
    /// No claim holds the key.
    Free,
    /// A claim holds the key, and its call may have run.
    Held(Uuid),
    /// The key was used with different content.
    Reused,
    /// The call has run.
    Finished(Answer),
}

/// The claim that holds a key.
#[derive(Debug)]
struct Holder {
    id: Uuid,
    digest: Digest,
    completion: Option<Box<Completion>>,
}

/// The answer to a call that has run, if it was kept, or else its HTTP status.
#[derive(Debug)]
enum Completion {
    Kept(Answer),
    NotKept(u16),
}

/// The claims of one key.
#[derive(Debug, Default)]
struct Key {
    holder: Option<Holder>,
    tombstones: Vec<Uuid>,
}

/// All claims within the window.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    keys: IndexMap<ShortDigest, Key>,
    by_age: BTreeSet<(u64, ShortDigest)>,
    /// The total size of the recorded bodies, in bytes.
    body_bytes: usize,
    /// Keys created at or before this time are refused, since the table may lack entries of them.
    newest_refused_ms: u64,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            keys: IndexMap::new(),
            by_age: BTreeSet::new(),
            body_bytes: 0,
            newest_refused_ms: 0,
        }
    }

    /// Applies the next entry of the log, and returns the result if the entry is a claim.
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

    /// Returns the state of a key for a call with this content.
    #[must_use]
    pub fn key_state(&self, scope: &Scope, digest: &Digest) -> KeyState {
        let holder = self.keys.get(&scope.short_digest()).and_then(|key| key.holder.as_ref());
        match holder {
            None => KeyState::Free,
            Some(holder) if holder.digest != *digest => KeyState::Reused,
            Some(Holder { id, completion: None, .. }) => KeyState::Held(*id),
            Some(Holder { completion: Some(completion), .. }) => {
                KeyState::Finished(completion.answer())
            }
        }
    }

    /// Checks that the key is recent enough for the table to hold all of its entries.
    ///
    /// # Errors
    /// Returns a refusal if the key is too old, was created in the future or has no known age.
    pub fn check_age(&self, scope: &Scope, now_ms: u64) -> Result<(), Refusal> {
        let created_ms = scope.created_ms().ok_or(Refusal::KeyTooOld)?;
        if created_ms > now_ms.saturating_add(self.limits.clock_error_ms) {
            return Err(Refusal::KeyFromFuture);
        }
        if created_ms.saturating_add(self.limits.window_ms) < now_ms {
            return Err(Refusal::KeyTooOld);
        }
        if created_ms <= self.newest_refused_ms {
            return Err(Refusal::KeyTooOld);
        }
        Ok(())
    }

    /// Records that entries up to this log time were missed, so that keys which they may concern are refused.
    pub fn record_gap(&mut self, time_ms: u64) {
        let newest_refused_ms = time_ms.saturating_add(2 * self.limits.clock_error_ms);
        self.newest_refused_ms = self.newest_refused_ms.max(newest_refused_ms);
    }

    /// Removes keys that no router accepts any more.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some((created_ms, digest)) = self.by_age.first().copied() {
            if created_ms.saturating_add(self.limits.retention_ms) >= now_ms {
                return;
            }
            self.remove_key(created_ms, digest);
        }
    }

    /// Returns whether a claim holds its key.
    #[must_use]
    pub fn holds(&self, scope: &Scope, id: Uuid) -> bool {
        self.holder(scope, id).is_some()
    }

    /// Returns whether a claim was released or is void, as far as tombstones are kept.
    #[must_use]
    pub fn has_tombstone(&self, scope: &Scope, id: Uuid) -> bool {
        self.keys.get(&scope.short_digest()).is_some_and(|key| key.tombstones.contains(&id))
    }

    /// Returns whether the outcome of a claim is known.
    #[must_use]
    pub fn is_finished(&self, scope: &Scope, id: Uuid) -> bool {
        self.holder(scope, id).is_some_and(|holder| holder.completion.is_some())
    }

    /// Returns the number of keys in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the memory in use, in bytes: the recorded bodies and an estimate for the keys.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.body_bytes + self.keys.len() * ESTIMATED_KEY_BYTES
    }

    fn holder(&self, scope: &Scope, id: Uuid) -> Option<&Holder> {
        let key = self.keys.get(&scope.short_digest())?;
        key.holder.as_ref().filter(|holder| holder.id == id)
    }

    fn claim(&mut self, claim: &Claim) -> Resolution {
        let key = self.key(&claim.scope);
        if key.tombstones.contains(&claim.id) {
            return Resolution::Void;
        }
        match &key.holder {
            Some(holder) if holder.id == claim.id => Resolution::Acquired,
            Some(_) => {
                key.add_tombstone(claim.id);
                Resolution::Void
            }
            None => {
                key.holder = Some(Holder { id: claim.id, digest: claim.digest, completion: None });
                Resolution::Acquired
            }
        }
    }

    fn release(&mut self, release: &Release) {
        let key = self.key(&release.scope);
        match &key.holder {
            Some(holder) if holder.id == release.id && holder.completion.is_some() => return,
            Some(holder) if holder.id == release.id => key.holder = None,
            _ => (),
        }
        key.add_tombstone(release.id);
    }

    fn finish(&mut self, outcome: &Outcome) {
        let available = self.limits.max_total_body_bytes.saturating_sub(self.body_bytes);
        let Some(key) = self.keys.get_mut(&outcome.scope.short_digest()) else { return };
        let Some(holder) = key.holder.as_mut().filter(|holder| holder.id == outcome.id) else {
            return;
        };
        if holder.completion.is_some() {
            return;
        }
        let kept = outcome.answer().filter(|answer| answer.body.len() <= available);
        let completion = kept.map_or(Completion::NotKept(outcome.status), Completion::Kept);
        self.body_bytes += completion.size();
        holder.completion = Some(Box::new(completion));
    }

    fn key(&mut self, scope: &Scope) -> &mut Key {
        let digest = scope.short_digest();
        if !self.keys.contains_key(&digest) {
            self.evict_oldest();
            self.by_age.insert((scope.created_ms().unwrap_or(0), digest));
        }
        self.keys.entry(digest).or_default()
    }

    /// Evicts the oldest keys beyond the limit, and refuses all keys that are as old as the evicted ones.
    fn evict_oldest(&mut self) {
        while self.keys.len() >= self.limits.max_keys {
            let Some((created_ms, digest)) = self.by_age.first().copied() else { return };
            self.remove_key(created_ms, digest);
            self.newest_refused_ms = self.newest_refused_ms.max(created_ms);
        }
    }

    fn remove_key(&mut self, created_ms: u64, digest: ShortDigest) {
        self.by_age.remove(&(created_ms, digest));
        if let Some(key) = self.keys.swap_remove(&digest) {
            let completion = key.holder.and_then(|holder| holder.completion);
            self.body_bytes -= completion.map_or(0, |completion| completion.size());
        }
    }
}

impl Key {
    fn add_tombstone(&mut self, id: Uuid) {
        if self.tombstones.contains(&id) {
            return;
        }
        if self.tombstones.len() == MAX_TOMBSTONES {
            self.tombstones.remove(0);
        }
        self.tombstones.push(id);
    }
}

impl Completion {
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
