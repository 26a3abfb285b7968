//! The body of a complete answer, whose memory is counted until the client's connection has it.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use budget::Class;
use budget::Reservation;
use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;

use crate::Client;

/// The size of the pieces in which a body is given to the connection, in bytes.
const PIECE_BYTES: usize = 16 << 10;
/// The size up to which a body is given to the connection at once, in bytes.
const WHOLE_BYTES: usize = 64 << 10;
/// The size of the end of a large body that is copied, in bytes: what a connection keeps of it after its memory is
/// released. Without the copy, these pieces would keep the whole body.
const COPIED_BYTES: usize = 96 << 10;

/// The body of a complete answer.
#[derive(Debug)]
pub struct Held {
    rest: Bytes,
    is_large: bool,
    memory: Option<Arc<Reservation>>,
}

impl Held {
    /// Creates a body of these bytes, which `memory` counts.
    pub(crate) fn new(bytes: Bytes, memory: Option<Reservation>) -> Self {
        let is_large = bytes.len() > WHOLE_BYTES;
        Self { rest: bytes, is_large, memory: memory.map(Arc::new) }
    }

    /// Lets the body give way to others if the client does not read it.
    pub fn send_to(&self, client: &Client) {
        let Some(memory) = self.memory.as_ref().filter(|_| self.is_large) else { return };
        memory.set_class(Class::Unread);
        client.watch(memory);
    }

    fn next(&mut self) -> Bytes {
        if !self.is_large {
            return std::mem::take(&mut self.rest);
        }
        let piece = self.rest.split_to(PIECE_BYTES.min(self.rest.len()));
        if let Some(memory) = &self.memory {
            memory.record_progress(piece.len());
        }
        if self.rest.len() < COPIED_BYTES { Bytes::copy_from_slice(&piece) } else { piece }
    }
}

impl Body for Held {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let held = self.get_mut();
        if held.rest.is_empty() {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Ok(Frame::data(held.next()))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(u64::try_from(self.rest.len()).unwrap_or(u64::MAX))
    }
}
