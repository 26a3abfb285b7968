//! The memory of a router in which parts of answers wait for the rest.
//!
//! Load pattern: runners send answers without an end to many requests at once. Each answer is bounded, but together they
//! would exceed the memory of a small instance.

use std::cell::Cell;
use std::rc::Rc;

/// Maximum size of all incomplete answers together, in bytes.
const MAX_BYTES: usize = 16 << 20;
/// Maximum size of one incomplete answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The number of bytes of incomplete answers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Buffer {
    used: Rc<Cell<usize>>,
}

/// The bytes of one answer, released when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    buffer: Buffer,
    bytes: usize,
}

impl Buffer {
    /// Returns a reservation for an answer of which nothing has arrived yet.
    pub(crate) fn reservation(&self) -> Reservation {
        Reservation { buffer: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    /// Sets the number of bytes that the answer occupies; returns `false` if they are too many.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let others = self.buffer.used.get() - self.bytes;
        if bytes > MAX_ANSWER_BYTES || others + bytes > MAX_BYTES {
            return false;
        }
        self.buffer.used.set(others + bytes);
        self.bytes = bytes;
        true
    }

    /// Gives all memory of the answer back.
    pub(crate) fn release(&mut self) {
        self.buffer.used.set(self.buffer.used.get() - self.bytes);
        self.bytes = 0;
    }

    /// Adds bytes to the answer; returns `false` if they are too many.
    pub(crate) fn add(&mut self, bytes: usize) -> bool {
        self.resize(self.bytes + bytes)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
