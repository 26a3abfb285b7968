//! Registers (CRDTs) that merge to the same value on all routers, whatever the order of delivery.

use base::Name;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of registers.
const REGISTER_LIMIT: usize = 4_096;
/// Maximum size of the value of a register, in bytes.
pub const VALUE_LIMIT: usize = 512;
/// Maximum length of the key or author of a register, in bytes.
const NAME_LIMIT: usize = 128;

/// A value that gossip disseminates to all members.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Register {
    /// The key, which names the subject of the value.
    pub key: Name,
    /// The version of the value. The higher one wins.
    pub counter: u64,
    /// Whether the value wins over one with the same counter that does not set this flag.
    pub wins_ties: bool,
    /// The value.
    pub value: Vec<u8>,
    /// The router or operator that wrote the value.
    pub by: Name,
}

impl Register {
    /// Returns whether this value replaces `other`, which has the same key.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let mine = (self.counter, self.wins_ties, &self.value, &self.by);
        mine > (other.counter, other.wins_ties, &other.value, &other.by)
    }

    /// Returns the newer of two values of the same key.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        if other.supersedes(&self) { other } else { self }
    }

    /// Returns whether the register is within the size limits.
    #[must_use]
    pub fn is_bounded(&self) -> bool {
        let names = [&self.key, &self.by];
        self.value.len() <= VALUE_LIMIT
            && names.iter().all(|name| name.as_str().len() <= NAME_LIMIT)
    }
}

/// All registers known to a router.
#[derive(Debug, Clone, Default)]
pub struct Table {
    registers: IndexMap<Name, Register>,
}

impl Table {
    /// Merges a register into the table, and returns whether it was new or replaced an older value.
    pub fn merge(&mut self, register: &Register) -> bool {
        if !register.is_bounded() {
            return false;
        }
        let is_full = self.registers.len() >= REGISTER_LIMIT;
        match self.registers.get_mut(&register.key) {
            Some(known) if register.supersedes(known) => *known = register.clone(),
            Some(_) => return false,
            None if is_full => return false,
            None => {
                self.registers.insert(register.key.clone(), register.clone());
            }
        }
        true
    }

    /// Returns all registers.
    pub fn iter(&self) -> impl Iterator<Item = &Register> {
        self.registers.values()
    }
}
