//! The memory of a router in which parts of answers wait for the rest.
//!
//! Load pattern: runners send answers without an end to many requests at once. Each answer is bounded, but together they
//! would exceed the memory of a small instance.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use budget::Budget;
use budget::Class;
use budget::Refused;

/// Maximum size of all incomplete answers together, in bytes.
const MAX_BYTES: usize = 16 << 20;
/// Maximum size of one incomplete answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// How long an answer waits for memory that others hold.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of bytes of incomplete answers, which also count towards the budget of the process.
#[derive(Debug, Clone)]
pub(crate) struct Buffer {
    used: Rc<Cell<usize>>,
    budget: Budget,
}

/// The bytes of one answer, released when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    buffer: Buffer,
    bytes: usize,
    /// The memory of the bytes; `None` once it belongs to the complete answer.
    memory: Option<budget::Reservation>,
}

impl Buffer {
    /// Creates a buffer whose bytes count towards `budget`.
    pub(crate) fn new(budget: Budget) -> Self {
        Self { used: Rc::default(), budget }
    }

    /// Returns a reservation for an answer to `owner` of which nothing has arrived yet.
    pub(crate) fn reservation(&self, owner: u64) -> Reservation {
        let memory = Some(self.budget.reservation(owner, Class::Needed));
        Reservation { buffer: self.clone(), bytes: 0, memory }
    }
}

impl Reservation {
    /// Sets the number of bytes that the answer occupies; returns `false` if they are too many.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let Some(memory) = &self.memory else { return false };
        let has_room =
            self.has_room(bytes) && (bytes <= self.bytes || memory.try_grow(bytes - self.bytes));
        if !has_room {
            return false;
        }
        if bytes < self.bytes {
            memory.shrink(self.bytes - bytes);
        }
        self.set(bytes);
        true
    }

    /// Gives all memory of the answer back.
    pub(crate) fn release(&mut self) {
        if let Some(memory) = self.memory.as_ref().filter(|_| self.bytes > 0) {
            memory.shrink(self.bytes);
        }
        self.set(0);
    }

    /// Adds bytes to the answer; waits for memory that others hold.
    ///
    /// # Errors
    /// Returns the reason why the answer may not have them.
    pub(crate) async fn add(&mut self, bytes: usize) -> Result<(), Refused> {
        let sum = self.bytes + bytes;
        if !self.has_room(sum) {
            return Err(Refused::TooLarge);
        }
        if let Some(memory) = &self.memory {
            memory.grow(bytes, MEMORY_TIMEOUT).await?;
        }
        if !self.has_room(sum) {
            return Err(Refused::TooLarge);
        }
        self.set(sum);
        Ok(())
    }

    /// Returns the memory of the answer, which has arrived whole.
    pub(crate) fn complete(mut self) -> Option<budget::Reservation> {
        self.set(0);
        self.memory.take()
    }

    /// Returns whether the limits on incomplete answers allow this size of the answer.
    fn has_room(&self, bytes: usize) -> bool {
        let others = self.buffer.used.get() - self.bytes;
        bytes <= MAX_ANSWER_BYTES && others + bytes <= MAX_BYTES
    }

    fn set(&mut self, bytes: usize) {
        self.buffer.used.set(self.buffer.used.get() - self.bytes + bytes);
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set(0);
    }
}
