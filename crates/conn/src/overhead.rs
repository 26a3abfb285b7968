//! The limit on what arrives of a response beside its body, and the pace at which it is read.
//!
//! Load pattern: a peer writes interim responses, chunk sizes, extensions or tiny chunks without an end. They occupy no
//! memory, but whoever reads them does nothing else.

use std::task::Context;
use std::task::Poll;

use tokio::task::coop;

/// The bytes beside its body that each response may have: its head, trailers, and what is read ahead of the body.
const MAX_FIXED_BYTES: u64 = 256 << 10;
/// The bytes beside its body that a response may have for each byte of it, which the framing of small chunks takes.
const MAX_BYTES_PER_BODY_BYTE: u64 = 2;
/// The maximum number of bytes that are read at a time.
pub(crate) const MAX_READ_BYTES: usize = 16 << 10;
/// The size of a read that counts as no more than any other, in bytes.
const SMALL_READ_BYTES: usize = 4 << 10;
/// The number of bytes of a larger read that count as one unit of the budget after which a task lets others run.
const BYTES_PER_UNIT: usize = 128;

/// What has arrived of a response.
#[derive(Debug, Default)]
pub(crate) struct Overhead {
    read: u64,
    body: u64,
}

impl Overhead {
    /// Begins the next response.
    pub(crate) fn begin(&mut self) {
        *self = Self::default();
    }

    /// Records bytes that were read from the connection.
    pub(crate) const fn record_read(&mut self, bytes: usize) {
        self.read = self.read.saturating_add(bytes as u64);
    }

    /// Records bytes of the body that the call has received.
    pub(crate) const fn record_body(&mut self, bytes: usize) {
        self.body = self.body.saturating_add(bytes as u64);
    }

    /// Returns whether too much beside the body has arrived.
    pub(crate) const fn is_exceeded(&self) -> bool {
        let beside = self.read.saturating_sub(self.body);
        beside > MAX_FIXED_BYTES.saturating_add(self.body.saturating_mul(MAX_BYTES_PER_BODY_BYTE))
    }
}

/// Counts bytes that were read towards the budget after which the task lets others run.
pub(crate) fn spend_budget(context: &mut Context<'_>, bytes: usize) {
    if bytes <= SMALL_READ_BYTES {
        return;
    }
    for _ in 0..bytes / BYTES_PER_UNIT {
        match coop::poll_proceed(context) {
            Poll::Ready(unit) => unit.made_progress(),
            Poll::Pending => return,
        }
    }
}
