//! The steps of a request's life.

use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// A step of a request's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Step {
    /// The entry has accepted it; the dispatcher doesn't know of it.
    Accepted,
    /// It waits in the dispatcher's queue.
    Queued,
    /// The dispatcher has granted a runner; the entry doesn't know of it.
    Granted,
    /// The claim is in the log; the entry hasn't read it back.
    Claimed,
    /// A runner has received it and hasn't answered.
    Sent,
    /// The first byte of the answer has arrived.
    FirstByte,
    /// The answer is under way.
    Streaming,
    /// The caller has the answer; the outcome isn't recorded.
    Finished,
    /// The outcome is in the log.
    Recorded,
}
