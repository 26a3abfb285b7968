//! Frames across connections: what a link has sent and its peer has not yet confirmed is sent again on the next one.

use std::collections::VecDeque;
use std::mem;

use serde::Deserialize;
use serde::Serialize;

/// Frames that may wait for confirmation.
const FRAME_LIMIT: usize = 1_024;
/// Bytes of frames that may wait for confirmation.
const BYTE_LIMIT: usize = 4 << 20;

/// The first answer to the opener of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Welcome {
    /// The number of frames received on the lane, or nothing when the lane is not known.
    pub(crate) received: Option<u64>,
}

/// The sending side of a lane: numbers frames and keeps those that are not confirmed.
#[derive(Debug)]
pub(crate) struct Outbox {
    /// Tells this lane from others between the same routers.
    pub(crate) id: u64,
    begun: bool,
    confirmed: u64,
    kept: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl Outbox {
    pub(crate) const fn new(id: u64) -> Self {
        Self { id, begun: false, confirmed: 0, kept: VecDeque::new(), bytes: 0 }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.kept.len() >= FRAME_LIMIT || self.bytes >= BYTE_LIMIT
    }

    pub(crate) fn push(&mut self, frame: Vec<u8>) {
        self.bytes += frame.len();
        self.kept.push_back(frame);
    }

    /// Forgets the frames before this number, which the peer has received.
    pub(crate) fn confirm(&mut self, received: u64) {
        while self.confirmed < received {
            let Some(frame) = self.kept.pop_front() else { return };
            self.bytes -= frame.len();
            self.confirmed += 1;
        }
    }

    /// Begins on a new connection: returns the number of the first frame to send, the frames and how many were dropped
    /// because the peer is another process than before.
    pub(crate) fn resume(&mut self, welcome: Welcome) -> Resume {
        let dropped = match welcome.received {
            Some(received) => {
                self.confirm(received);
                0
            }
            None if self.begun => self.clear(),
            None => 0,
        };
        self.begun = true;
        Resume { first: self.confirmed, frames: self.kept.iter().cloned().collect(), dropped }
    }

    /// Drops all kept frames and returns their number.
    pub(crate) fn clear(&mut self) -> u64 {
        let dropped = mem::take(&mut self.kept).len() as u64;
        self.bytes = 0;
        self.confirmed += dropped;
        dropped
    }
}

/// How a lane goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Resume {
    /// The number of the first frame.
    pub(crate) first: u64,
    /// The frames to send again.
    pub(crate) frames: Vec<Vec<u8>>,
    /// How many frames were dropped.
    pub(crate) dropped: u64,
}

/// The receiving side of a lane.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    id: Option<u64>,
    /// The number of frames received, or skipped by the sender.
    pub(crate) received: u64,
}

impl Lane {
    /// Takes in the lane of a new connection and returns the first answer to it.
    pub(crate) fn welcome(&mut self, id: u64) -> Welcome {
        if self.id == Some(id) {
            return Welcome { received: Some(self.received) };
        }
        *self = Self { id: Some(id), received: 0 };
        Welcome { received: None }
    }
}
