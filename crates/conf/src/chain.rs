//! The chain of configuration versions in the log. All readers of the log agree on the version in force.

use std::mem;

use serde::Deserialize;
use serde::Serialize;

use crate::Configuration;

/// One record of the log stream `config`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Record {
    /// A new version.
    Change(Change),
    /// The newest version, published again before the log drops its record.
    Checkpoint(Checkpoint),
}

/// A new version, based on the version that its author had read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The number of the version that it is based on, or 0 for none.
    pub base: u64,
    /// The text of the configuration file.
    pub text: String,
}

/// A version that is published again under its original number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The number of the version.
    pub checkpoint: u64,
    /// The text of the configuration file.
    pub text: String,
}

impl Record {
    /// Creates the record of a new version.
    #[must_use]
    pub fn change(base: u64, text: &str) -> Self {
        Self::Change(Change { base, text: text.to_owned() })
    }

    /// Creates a record that publishes a version again.
    #[must_use]
    pub fn checkpoint(version: &Version) -> Self {
        Self::Checkpoint(Checkpoint { checkpoint: version.number, text: version.text.clone() })
    }

    /// Encodes the record as JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("numbers and strings are JSON")
    }

    /// Decodes a record, or returns `None` if the text is not a record.
    #[must_use]
    pub fn decode(body: &str) -> Option<Self> {
        serde_json::from_str(body).ok()
    }
}

/// A version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Version {
    /// The number of the version, as returned by [`Version::number_at`].
    pub number: u64,
    /// The text of the configuration file.
    pub text: String,
    /// The parsed configuration.
    pub configuration: Configuration,
}

impl Version {
    /// Returns the number of the version whose record is at an offset of the log.
    ///
    /// The number is the offset itself: offsets start at 1, and 0 means no version.
    #[must_use]
    pub const fn number_at(offset: u64) -> u64 {
        offset
    }

    fn parse(number: u64, text: &str) -> Option<Self> {
        let configuration = Configuration::parse(text).ok()?;
        Some(Self { number, text: text.to_owned(), configuration })
    }
}

/// A change that waits for its base to come into force at this reader.
#[derive(Debug, Clone)]
struct PendingChange {
    number: u64,
    change: Change,
}

/// A reader of the log stream `config`, which keeps the version in force.
///
/// A change comes into force only if its base is the version in force and its text is valid. A checkpoint comes into
/// force only if its version is newer than the one in force. The number in force never decreases.
#[derive(Debug, Clone)]
pub struct Chain {
    trimmed: bool,
    read_to: u64,
    version: Option<Version>,
    pending: Vec<PendingChange>,
}

impl Default for Chain {
    fn default() -> Self {
        Self::new()
    }
}

impl Chain {
    /// Creates a reader that reads the log from its very first record.
    #[must_use]
    pub const fn new() -> Self {
        Self { trimmed: false, read_to: 0, version: None, pending: Vec::new() }
    }

    /// Creates a reader of a log that has dropped its first records; it waits for a checkpoint.
    #[must_use]
    pub const fn trimmed() -> Self {
        Self { trimmed: true, read_to: 0, version: None, pending: Vec::new() }
    }

    /// Returns the version in force.
    #[must_use]
    pub const fn version(&self) -> Option<&Version> {
        self.version.as_ref()
    }

    /// Returns the number of the version in force, or 0 for none.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.version.as_ref().map_or(0, |version| version.number)
    }

    /// Returns the offset of the last record that was read, or 0 for none.
    #[must_use]
    pub const fn read_to(&self) -> u64 {
        self.read_to
    }

    /// Adopts a version that is in force at another reader, if it is newer and valid, and returns the version then in
    /// force.
    pub fn adopt(&mut self, number: u64, text: &str) -> Option<&Version> {
        if number > self.number() && self.activate(number, text) {
            self.apply_pending();
        }
        self.version()
    }

    /// Applies the record at an offset, from 1, and returns the version then in force.
    ///
    /// Records at or before the last offset read have no effect.
    pub fn feed(&mut self, offset: u64, body: &str) -> Option<&Version> {
        if offset > self.read_to {
            self.read_to = offset;
            match Record::decode(body) {
                Some(Record::Change(change)) => self.apply(Version::number_at(offset), change),
                Some(Record::Checkpoint(checkpoint)) => self.apply_checkpoint(offset, &checkpoint),
                None => {}
            }
        }
        self.version()
    }

    fn apply(&mut self, number: u64, change: Change) {
        let needs_checkpoint = self.trimmed && self.version.is_none();
        if number <= self.number() {
            return;
        }
        if !needs_checkpoint && change.base == self.number() {
            self.activate(number, &change.text);
        } else if change.base > self.number() && change.base < number {
            self.pending.push(PendingChange { number, change });
        }
    }

    fn apply_checkpoint(&mut self, offset: u64, checkpoint: &Checkpoint) {
        if checkpoint.checkpoint < Version::number_at(offset) {
            self.adopt(checkpoint.checkpoint, &checkpoint.text);
        }
    }

    /// Applies the changes that were read before their base came into force.
    fn apply_pending(&mut self) {
        for PendingChange { number, change } in mem::take(&mut self.pending) {
            self.apply(number, change);
        }
    }

    fn activate(&mut self, number: u64, text: &str) -> bool {
        let Some(version) = Version::parse(number, text) else { return false };
        self.version = Some(version);
        true
    }
}
