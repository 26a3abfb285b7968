//! Who holds how much memory, and who gives way.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;

use crate::Limits;

/// The number of bytes that count as progress of a holding.
const PROGRESS_BYTES: usize = 32 << 10;
/// The time after which a holding that has not made this progress is stalled.
const STALL_TIME: Duration = Duration::from_millis(500);
/// The time for which a holding waits for memory before others that wait give way to it.
const WAIT_TIME: Duration = Duration::from_millis(500);
/// The number of steps by which the amounts of owners are compared, so that small differences do not matter.
const OWNER_STEPS: usize = 16;

/// What a holding is for, in the order in which holdings give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// A body that has not arrived whole.
    Incomplete,
    /// An answer that its client has not read.
    Unread,
    /// A request or an answer that is needed by what runs; it never gives way.
    Needed,
}

/// The key of a holding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u64);

/// The memory of one request, answer or connection.
#[derive(Debug)]
struct Holding {
    owner: u64,
    class: Class,
    bytes: usize,
    /// The bytes that have arrived or were written since `progressed`.
    recent: usize,
    /// The time of the last progress.
    progressed: Duration,
    /// Since when the holding waits for memory.
    waiting: Option<Duration>,
    is_evicted: bool,
}

/// The holdings of a budget.
#[derive(Debug)]
pub struct Ledger {
    limits: Limits,
    held: usize,
    next: u64,
    holdings: IndexMap<Key, Holding>,
    owners: IndexMap<u64, usize>,
}

impl Holding {
    fn is_stalled(&self, now: Duration) -> bool {
        self.waiting.is_none() && now.saturating_sub(self.progressed) >= STALL_TIME
    }
}

impl Ledger {
    /// Creates a ledger without holdings.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            held: 0,
            next: 0,
            holdings: IndexMap::default(),
            owners: IndexMap::default(),
        }
    }

    /// Returns the limits.
    #[must_use]
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the bytes of all holdings.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Returns the bytes of all holdings of an owner.
    #[must_use]
    pub fn held_by(&self, owner: u64) -> usize {
        self.owners.get(&owner).copied().unwrap_or_default()
    }

    /// Opens a holding without memory.
    pub fn open(&mut self, now: Duration, owner: u64, class: Class) -> Key {
        let key = Key(self.next);
        self.next += 1;
        let holding = Holding {
            owner,
            class,
            bytes: 0,
            recent: 0,
            progressed: now,
            waiting: None,
            is_evicted: false,
        };
        self.holdings.insert(key, holding);
        key
    }

    /// Gives a holding more memory; returns `false` and changes nothing if there is none for it.
    pub fn grow(&mut self, key: Key, bytes: usize) -> bool {
        let limit = self.limit(key, bytes);
        let Some(holding) = self.holdings.get_mut(&key) else { return false };
        let wanted = holding.bytes.saturating_add(bytes);
        let Some(held) = self.held.checked_add(bytes).filter(|held| *held <= limit) else {
            return false;
        };
        holding.bytes = wanted;
        self.held = held;
        if bytes > 0 {
            *self.owners.entry(holding.owner).or_default() += bytes;
        }
        true
    }

    /// Returns whether a holding could have so much more memory if no other had any.
    #[must_use]
    pub fn can_grow(&self, key: Key, bytes: usize) -> bool {
        self.bytes(key).saturating_add(bytes) <= self.limit(key, bytes)
    }

    /// Returns the sum of all holdings up to which this one may take so much more memory.
    fn limit(&self, key: Key, bytes: usize) -> usize {
        let Limits { total, reserved, answers, small } = self.limits;
        let Some(holding) = self.holdings.get(&key) else { return 0 };
        if holding.bytes.saturating_add(bytes) <= small {
            return total;
        }
        let answers = if holding.class == Class::Incomplete { answers } else { 0 };
        total.saturating_sub(reserved + answers)
    }

    /// Takes memory back from a holding.
    pub fn shrink(&mut self, key: Key, bytes: usize) {
        let Some(holding) = self.holdings.get_mut(&key) else { return };
        let bytes = bytes.min(holding.bytes);
        holding.bytes -= bytes;
        let owner = holding.owner;
        self.release(owner, bytes);
    }

    /// Ends a holding and takes all its memory back.
    pub fn close(&mut self, key: Key) {
        if let Some(holding) = self.holdings.swap_remove(&key) {
            self.release(holding.owner, holding.bytes);
        }
    }

    /// Returns the memory of a holding.
    #[must_use]
    pub fn bytes(&self, key: Key) -> usize {
        self.holdings.get(&key).map_or(0, |holding| holding.bytes)
    }

    /// Changes what a holding is for.
    pub fn set_class(&mut self, now: Duration, key: Key, class: Class) {
        if let Some(holding) = self.holdings.get_mut(&key) {
            holding.class = class;
            holding.progressed = now;
            holding.recent = 0;
        }
    }

    /// Records bytes that have arrived or were written.
    pub fn record_progress(&mut self, now: Duration, key: Key, bytes: usize) {
        let Some(holding) = self.holdings.get_mut(&key) else { return };
        holding.recent = holding.recent.saturating_add(bytes);
        if holding.recent >= PROGRESS_BYTES {
            holding.recent = 0;
            holding.progressed = now;
        }
    }

    /// Records that a holding waits for memory.
    pub fn begin_wait(&mut self, now: Duration, key: Key) {
        if let Some(holding) = self.holdings.get_mut(&key) {
            holding.waiting.get_or_insert(now);
        }
    }

    /// Records that a holding no longer waits; the wait is not taken for a lack of progress.
    pub fn end_wait(&mut self, now: Duration, key: Key) {
        if let Some(holding) = self.holdings.get_mut(&key)
            && holding.waiting.take().is_some()
        {
            holding.progressed = now;
            holding.recent = 0;
        }
    }

    /// Returns whether a holding was told to give way.
    #[must_use]
    pub fn is_evicted(&self, key: Key) -> bool {
        self.holdings.get(&key).is_some_and(|holding| holding.is_evicted)
    }

    /// Tells the holding that gives way to `needer` to do so; returns its key, or `None` if there is none.
    ///
    /// Stalled holdings give way at once: first incomplete bodies, then those of owners that hold much, then those that
    /// progress least. If none is stalled, bodies that wait for memory themselves give way to older ones after a while.
    /// No other holding is evicted while one that was told to give way still has its memory.
    pub fn evict_for(&mut self, now: Duration, needer: Key) -> Option<Key> {
        let waiting = self.holdings.get(&needer).and_then(|holding| holding.waiting)?;
        let is_pending = |holding: &Holding| {
            holding.is_evicted && holding.bytes > 0 && holding.class != Class::Needed
        };
        if self.holdings.values().any(is_pending) {
            return None;
        }
        let may_evict_waiting = now.saturating_sub(waiting) >= WAIT_TIME;
        let step = (self.limits.total / OWNER_STEPS).max(1);
        let candidates = self.holdings.iter().filter(|(key, holding)| {
            let is_younger_waiter =
                may_evict_waiting && holding.waiting.is_some() && **key > needer;
            **key != needer
                && holding.bytes > 0
                && holding.class != Class::Needed
                && (holding.is_stalled(now) || is_younger_waiter)
        });
        let victim = candidates.min_by_key(|(key, holding)| {
            let owned = self.owners.get(&holding.owner).copied().unwrap_or_default() / step;
            let stalled = if holding.waiting.is_some() { now } else { holding.progressed };
            (!holding.is_stalled(now), holding.class, Reverse(owned), stalled, Reverse(**key))
        });
        let key = *victim?.0;
        self.holdings.get_mut(&key)?.is_evicted = true;
        Some(key)
    }

    /// Tells the stalled holding that gives way first to do so, as [`Ledger::evict_for`] does, whatever it holds.
    pub fn evict_stalled(&mut self, now: Duration) -> Option<Key> {
        let stalled = self.holdings.iter_mut().filter(|(_, holding)| {
            holding.class != Class::Needed && !holding.is_evicted && holding.is_stalled(now)
        });
        let (key, holding) =
            stalled.min_by_key(|(_, holding)| (holding.class, holding.progressed))?;
        holding.is_evicted = true;
        Some(*key)
    }

    fn release(&mut self, owner: u64, bytes: usize) {
        self.held -= bytes;
        if let Some(owned) = self.owners.get_mut(&owner) {
            *owned -= bytes;
            if *owned == 0 {
                self.owners.swap_remove(&owner);
            }
        }
    }
}
