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

/// Maximum size of an encoded message, in bytes. It must fit into one datagram on any path.
pub const MESSAGE_LIMIT: usize = 1_100;

/// A message from one router to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The version of the sender.
    pub version: Version,
    /// The suspicion that the sender has of the receiver, if any.
    pub suspicion: Option<Suspicion>,
    /// The purpose of the message.
    pub kind: Kind,
    /// Updates that are piggybacked on the message.
    pub updates: Vec<Update>,
}

/// A state other than alive in which a router sees the receiver of its message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The version that the state applies to.
    pub version: Version,
    /// The state.
    pub state: State,
}

/// The purpose of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Requests a [`Kind::Ack`].
    Ping {
        /// The sequence number, which the answer repeats.
        sequence: u64,
    },
    /// Answers a [`Kind::Ping`].
    Ack {
        /// The sequence number of the ping.
        sequence: u64,
    },
    /// Requests that the receiver probes another member.
    PingRequest {
        /// The sequence number, which the answer repeats.
        sequence: u64,
        /// The member to probe.
        target: Name,
    },
    /// Confirms that the target of a [`Kind::PingRequest`] has answered.
    IndirectAck {
        /// The sequence number of the request.
        sequence: u64,
        /// The version of the target.
        version: Version,
    },
    /// Carries only updates.
    Gossip,
    /// Starts a comparison of all members and registers.
    Digest {
        /// The digest of all members and registers that the sender knows.
        digest: u32,
    },
    /// Answers a digest that differs with one digest for each bucket of names.
    Buckets {
        /// The digests of the buckets.
        digests: Vec<u32>,
        /// Whether the receiver replies with its own digests.
        wants_reply: bool,
    },
}

/// A change that is disseminated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// A change of a member.
    Member(MemberUpdate),
    /// A change of a register.
    Register(Register),
}

/// The state of a member at a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub record: Record,
    /// The version that the state applies to.
    pub version: Version,
    /// The state.
    pub state: State,
}

/// An error for bytes that are not exactly one message.
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
        postcard::to_stdvec(self).expect("messages contain only types that can be encoded")
    }

    /// Decodes a message from exactly these bytes.
    ///
    /// # Errors
    /// Returns [`Malformed`] when the bytes are not a message, contain more than one or exceed [`MESSAGE_LIMIT`].
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
