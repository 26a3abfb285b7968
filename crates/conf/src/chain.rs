//! The chain of configuration versions, read from the log so that every reader decides alike.

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
    /// The newest version again, before the log drops its record.
    Checkpoint(Checkpoint),
}

/// A new version, based on the one that its author had read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The number of the version that it is based on, 0 for none.
    pub base: u64,
    /// The text of the configuration file.
    pub text: String,
}

/// A version that is published again under its number.
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

    /// Creates the record that publishes a version again.
    #[must_use]
    pub fn checkpoint(version: &Version) -> Self {
        Self::Checkpoint(Checkpoint { checkpoint: version.number, text: version.text.clone() })
    }

    /// Writes the record as JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("numbers and strings are JSON")
    }

    /// Reads a record, or nothing if the text is none.
    #[must_use]
    pub fn decode(body: &str) -> Option<Self> {
        serde_json::from_str(body).ok()
    }
}

/// A version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Version {
    /// Its number, as by [`Version::number_at`].
    pub number: u64,
    /// The text of the configuration file.
    pub text: String,
    /// The parsed configuration.
    pub configuration: Configuration,
}

impl Version {
    /// Returns the number of a version whose record stands at this offset of the log.
    ///
    /// It is the offset itself: the log counts from 1, and 0 stands for no version.
    #[must_use]
    pub const fn number_at(offset: u64) -> u64 {
        offset
    }

    fn parse(number: u64, text: &str) -> Option<Self> {
        let configuration = Configuration::parse(text).ok()?;
        Some(Self { number, text: text.to_owned(), configuration })
    }
}

/// A change whose base this reader has not seen yet.
#[derive(Debug, Clone)]
struct Ahead {
    number: u64,
    change: Change,
}

/// A reader of the log stream `config`, which holds the version in force.
///
/// A change counts only if its base is the version in force and its text is valid; a checkpoint
/// counts only if it is newer than the version in force. Nothing ever goes back.
#[derive(Debug, Clone)]
pub struct Chain {
    trimmed: bool,
    read_to: u64,
    version: Option<Version>,
    ahead: Vec<Ahead>,
}

impl Default for Chain {
    fn default() -> Self {
        Self::new()
    }
}

impl Chain {
    /// Creates a reader that is fed from the first record that was ever published.
    #[must_use]
    pub const fn new() -> Self {
        Self { trimmed: false, read_to: 0, version: None, ahead: Vec::new() }
    }

    /// Creates a reader of a log that has dropped its first records: it waits for a checkpoint.
    #[must_use]
    pub const fn trimmed() -> Self {
        Self { trimmed: true, read_to: 0, version: None, ahead: Vec::new() }
    }

    /// Returns the version in force.
    #[must_use]
    pub const fn version(&self) -> Option<&Version> {
        self.version.as_ref()
    }

    /// Returns the number of the version in force, 0 for none.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.version.as_ref().map_or(0, |version| version.number)
    }

    /// Returns the offset of the last record that was fed, 0 for none.
    #[must_use]
    pub const fn read_to(&self) -> u64 {
        self.read_to
    }

    /// Takes in a version that another reader has in force, if it is newer and valid.
    pub fn adopt(&mut self, number: u64, text: &str) -> Option<&Version> {
        if number > self.number() && self.put(number, text) {
            self.catch_up();
        }
        self.version()
    }

    /// Takes in the record at an offset, from 1, and returns the version then in force.
    ///
    /// Records at or before an offset that was fed already change nothing.
    pub fn feed(&mut self, offset: u64, body: &str) -> Option<&Version> {
        if offset > self.read_to {
            self.read_to = offset;
            match Record::decode(body) {
                Some(Record::Change(change)) => self.change(Version::number_at(offset), change),
                Some(Record::Checkpoint(checkpoint)) => self.checkpoint(offset, &checkpoint),
                None => {}
            }
        }
        self.version()
    }

    fn change(&mut self, number: u64, change: Change) {
        let waits = self.trimmed && self.version.is_none();
        if number <= self.number() {
            return;
        }
        if !waits && change.base == self.number() {
            self.put(number, &change.text);
        } else if change.base > self.number() && change.base < number {
            self.ahead.push(Ahead { number, change });
        }
    }

    fn checkpoint(&mut self, offset: u64, checkpoint: &Checkpoint) {
        if checkpoint.checkpoint < Version::number_at(offset) {
            self.adopt(checkpoint.checkpoint, &checkpoint.text);
        }
    }

    /// Takes in the changes that were read before their base came into force here.
    fn catch_up(&mut self) {
        for Ahead { number, change } in mem::take(&mut self.ahead) {
            self.change(number, change);
        }
    }

    fn put(&mut self, number: u64, text: &str) -> bool {
        let Some(version) = Version::parse(number, text) else { return false };
        self.version = Some(version);
        true
    }
}
