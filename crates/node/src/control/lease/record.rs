//! Records of the log stream of fencing tokens.

use base::Name;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;
use wire::Shard;
use wire::Term;

/// The claim of a router to give orders for a shard; its offset in the stream is its fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The shard.
    pub shard: Shard,
    /// The router that claims the shard.
    pub router: Name,
    /// The term of the router.
    pub term: Term,
    /// A random id, by which the router recognises its own record.
    pub id: Uuid,
}

/// A record with its offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// The offset.
    pub offset: u64,
    /// The record.
    pub record: Record,
}

/// The records from an offset to the end of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tail {
    /// The records, by ascending offset.
    pub records: Vec<StoredRecord>,
    /// The offset to read from next.
    pub next: u64,
}

/// The reason why the stream was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// The log did not answer.
    Unavailable,
    /// The log no longer retains the requested records.
    Trimmed,
}

/// The result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Append {
    /// The append certainly had no effect.
    NotRun,
    /// The append may have taken effect, at the given offset or a later one.
    MayHaveRun {
        /// The first offset to read to find the record.
        from: u64,
    },
}
