//! Messages of the membership protocol and their codec.

use std::error;
use std::fmt;

use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::Record;
use crate::Register;
use crate::State;
use crate::Version;

/// Largest encoded message, in bytes: it must fit into a datagram on any path.
pub const MESSAGE_LIMIT: usize = 1_100;

/// A message from one router to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The version of the sender.
    pub version: Version,
    /// What the sender holds against the receiver, if anything.
    pub suspicion: Option<Suspicion>,
    /// What the message is for.
    pub kind: Kind,
    /// Update that ride along.
    pub updates: Vec<Update>,
}

/// What a router holds against another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The version of the doubted life.
    pub version: Version,
    /// The held state.
    pub state: State,
}

/// What a message is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Asks for an [`Kind::Ack`].
    Ping {
        /// Returned with the answer.
        sequence: u64,
    },
    /// Answers a [`Kind::Ping`].
    Ack {
        /// The sequence of the ping.
        sequence: u64,
    },
    /// Asks the receiver to probe another member.
    PingRequest {
        /// Returned with the answer.
        sequence: u64,
        /// The member to probe.
        target: Name,
    },
    /// Tells that the asked member has answered.
    IndirectAck {
        /// The sequence of the ask.
        sequence: u64,
        /// The version of the target.
        version: Version,
    },
    /// Carries only updates.
    Gossip,
    /// Compares all members and registers.
    Digest {
        /// The digest of all that the sender knows.
        digest: u32,
    },
    /// Answers a digest that differs, with one digest for each bucket of names.
    Buckets {
        /// The digests.
        digests: Vec<u32>,
        /// Whether the receiver is to answer with its own digests.
        wants_reply: bool,
    },
}

/// A piece of updates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The state of a member.
    Member(MemberUpdate),
    /// A register.
    Register(Register),
}

/// The state of a member at an version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub record: Record,
    /// The version that the state is about.
    pub version: Version,
    /// The state.
    pub state: State,
}

/// The bytes are not exactly one message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes are not a membership message")
    }
}

impl error::Error for Malformed {}

impl Message {
    /// Encodes the message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("messages hold nothing that cannot be encoded")
    }

    /// Decodes a message from exactly these bytes.
    ///
    /// # Errors
    /// Returns [`Malformed`] when the bytes are no message, hold more than one or pass the limit.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        if bytes.len() > MESSAGE_LIMIT {
            return Err(Malformed);
        }
        let (message, rest) = postcard::take_from_bytes(bytes).map_err(|_| Malformed)?;
        if rest.is_empty() { Ok(message) } else { Err(Malformed) }
    }
}

impl Update {
    /// Returns the encoded size in bytes.
    pub(super) fn size(&self) -> usize {
        postcard::to_stdvec(self).map_or(usize::MAX, |bytes| bytes.len())
    }
}
