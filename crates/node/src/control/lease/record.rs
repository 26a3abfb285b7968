//! Records of the stream of fencing numbers.

use base::Name;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;
use wire::Shard;
use wire::Term;

/// The claim of a router to give orders for a shard; its offset in the stream is its fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The shard.
    pub shard: Shard,
    /// The router that claims it.
    pub router: Name,
    /// The term of the router.
    pub term: Term,
    /// A random id, by which the router knows its record.
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

/// The records from an offset up to the end of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tail {
    /// The records, by rising offset.
    pub records: Vec<StoredRecord>,
    /// The offset to read from next.
    pub next: u64,
}

/// Why the stream was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// The log did not answer.
    Unavailable,
    /// Records are no longer retained.
    Trimmed,
}

/// How an append ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Append {
    /// It surely has no effect.
    NotRun,
    /// It may have taken effect, at this offset or a later one.
    MayHaveRun {
        /// Where to begin to read it back.
        from: u64,
    },
}
