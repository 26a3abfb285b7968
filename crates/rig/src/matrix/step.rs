//! The steps of a request's life cycle.

use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// A step of a request's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Step {
    /// The entry has accepted the request; the dispatcher hasn't received it.
    Accepted,
    /// The request waits in the dispatcher's queue.
    Queued,
    /// The dispatcher has granted a runner; the entry hasn't received the grant.
    Granted,
    /// The claim is in the log; the entry hasn't read it back.
    Claimed,
    /// A runner has received the request and hasn't answered.
    Sent,
    /// The first byte of the answer has arrived.
    FirstByte,
    /// The answer is being streamed.
    Streaming,
    /// The caller has the answer; the outcome isn't recorded.
    Finished,
    /// The outcome is in the log.
    Recorded,
}
