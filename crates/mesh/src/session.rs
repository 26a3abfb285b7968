//! Frame sessions, which outlive connections: frames that the peer has not confirmed when a connection ends are sent
//! again on the next one.

use std::collections::VecDeque;
use std::mem;

use serde::Deserialize;
use serde::Serialize;

/// Maximum number of unconfirmed frames.
const FRAME_LIMIT: usize = 1_024;
/// Maximum size of all unconfirmed frames, in bytes.
const BYTE_LIMIT: usize = 4 << 20;

/// The reply to the first message on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HelloAck {
    /// The number of frames received in the session, or `None` when the session is not known.
    pub(crate) received: Option<u64>,
}

/// The sending side of a session, which numbers frames and keeps those that are not confirmed.
#[derive(Debug)]
pub(crate) struct Outbox {
    /// The identifier, which distinguishes sessions between the same routers.
    pub(crate) id: u64,
    started: bool,
    confirmed: u64,
    unconfirmed: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl Outbox {
    pub(crate) const fn new(id: u64) -> Self {
        Self { id, started: false, confirmed: 0, unconfirmed: VecDeque::new(), bytes: 0 }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.unconfirmed.len() >= FRAME_LIMIT || self.bytes >= BYTE_LIMIT
    }

    pub(crate) fn push(&mut self, frame: Vec<u8>) {
        self.bytes += frame.len();
        self.unconfirmed.push_back(frame);
    }

    /// Discards the frames before this number, which the peer has received.
    pub(crate) fn confirm(&mut self, received: u64) {
        while self.confirmed < received {
            let Some(frame) = self.unconfirmed.pop_front() else { return };
            self.bytes -= frame.len();
            self.confirmed += 1;
        }
    }

    /// Resumes the session on a new connection. When the peer is a different process than before, all unconfirmed
    /// frames are dropped.
    pub(crate) fn resume(&mut self, ack: HelloAck) -> Resume {
        let dropped = match ack.received {
            Some(received) => {
                self.confirm(received);
                0
            }
            None if self.started => self.clear(),
            None => 0,
        };
        self.started = true;
        Resume {
            first: self.confirmed,
            frames: self.unconfirmed.iter().cloned().collect(),
            dropped,
        }
    }

    /// Drops all unconfirmed frames and returns their number.
    pub(crate) fn clear(&mut self) -> u64 {
        let dropped = mem::take(&mut self.unconfirmed).len() as u64;
        self.bytes = 0;
        self.confirmed += dropped;
        dropped
    }
}

/// The state in which a session continues on a new connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Resume {
    /// The number of the first frame.
    pub(crate) first: u64,
    /// The frames to send again.
    pub(crate) frames: Vec<Vec<u8>>,
    /// The number of dropped frames.
    pub(crate) dropped: u64,
}

/// The receiving side of a session.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    id: Option<u64>,
    /// The number of frames received, or skipped by the sender.
    pub(crate) received: u64,
}

impl Inbox {
    /// Records the session of a new connection and returns the reply to its first message.
    pub(crate) fn begin(&mut self, id: u64) -> HelloAck {
        if self.id == Some(id) {
            return HelloAck { received: Some(self.received) };
        }
        *self = Self { id: Some(id), received: 0 };
        HelloAck { received: None }
    }
}
