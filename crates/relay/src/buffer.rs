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
/// Maximum size of all incomplete answers together for one that has more than its part of it, in bytes.
const MAX_BYTES_BEYOND_PART: usize = MAX_BYTES / 4 * 3;

/// The size up to which an answer is covered by the part of the memory that its client's connection has, in bytes.
const UNCOUNTED_BYTES: usize = 4 << 10;
/// How long an answer waits for memory that others hold.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of bytes of incomplete answers, which also count towards the budget of the process.
#[derive(Debug, Clone)]
pub(crate) struct Buffer {
    used: Rc<Cell<usize>>,
    /// The number of incomplete answers that have bytes.
    answers: Rc<Cell<usize>>,
    budget: Budget,
}

/// The bytes of one answer, released when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    buffer: Buffer,
    bytes: usize,
    owner: u64,
    /// The memory of the bytes; `None` while they are few, or once it belongs to the complete answer.
    memory: Option<budget::Reservation>,
}

impl Buffer {
    /// Creates a buffer whose bytes count towards `budget`.
    pub(crate) fn new(budget: Budget) -> Self {
        Self { used: Rc::default(), answers: Rc::default(), budget }
    }

    /// Returns a reservation for an answer to `owner` of which nothing has arrived yet.
    pub(crate) fn reservation(&self, owner: u64) -> Reservation {
        Reservation { buffer: self.clone(), bytes: 0, owner, memory: None }
    }
}

impl Reservation {
    /// Sets the number of bytes that the answer occupies; returns `false` if they are too many.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        if !self.has_room(bytes) {
            return false;
        }
        if let Some(memory) = self.memory_for(bytes) {
            let counted = memory.bytes();
            if bytes > counted && !memory.try_grow(bytes - counted) {
                return false;
            }
            memory.shrink(counted.saturating_sub(bytes));
        }
        self.set(bytes);
        true
    }

    /// Gives all memory of the answer back.
    pub(crate) fn release(&mut self) {
        self.memory = None;
        self.set(0);
    }

    /// Adds bytes to the answer; waits for memory that others hold.
    ///
    /// # Errors
    /// Returns the reason why the answer may not have them.
    pub(crate) async fn add(&mut self, bytes: usize) -> Result<(), Refused> {
        let sum = self.bytes + bytes;
        self.check_room(sum)?;
        if let Some(memory) = self.memory_for(sum) {
            let counted = memory.bytes();
            memory.grow(sum.saturating_sub(counted), MEMORY_TIMEOUT).await?;
        }
        self.check_room(sum)?;
        self.set(sum);
        Ok(())
    }

    /// Returns the memory of the answer, which has arrived whole.
    pub(crate) fn complete(mut self) -> Option<budget::Reservation> {
        self.set(0);
        self.memory.take()
    }

    /// Returns the memory that counts this many bytes; `None` if they are too few to be counted.
    fn memory_for(&mut self, bytes: usize) -> Option<&budget::Reservation> {
        if bytes > UNCOUNTED_BYTES && self.memory.is_none() {
            self.memory = Some(self.buffer.budget.reservation(self.owner, Class::Needed));
        }
        self.memory.as_ref()
    }

    /// Checks whether the limits on incomplete answers allow this size of the answer.
    fn check_room(&self, bytes: usize) -> Result<(), Refused> {
        if self.has_room(bytes) {
            return Ok(());
        }
        Err(if self.is_within_part(bytes) { Refused::NoMemory } else { Refused::TooLarge })
    }

    /// Returns whether the limits on incomplete answers allow this size of the answer.
    ///
    /// Answers that have no more than an equal part find room where larger ones don't, so that those without an end
    /// leave room for the others.
    fn has_room(&self, bytes: usize) -> bool {
        let others = self.buffer.used.get() - self.bytes;
        let limit = if self.is_within_part(bytes) { MAX_BYTES } else { MAX_BYTES_BEYOND_PART };
        bytes <= MAX_ANSWER_BYTES && others + bytes <= limit
    }

    /// Returns whether this size is at most an equal part of what all incomplete answers may have.
    fn is_within_part(&self, bytes: usize) -> bool {
        let answers = self.buffer.answers.get() + usize::from(self.bytes == 0);
        bytes <= MAX_BYTES / answers.max(1)
    }

    fn set(&mut self, bytes: usize) {
        let Buffer { used, answers, .. } = &self.buffer;
        used.set(used.get() - self.bytes + bytes);
        answers.set(answers.get() - usize::from(self.bytes > 0) + usize::from(bytes > 0));
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set(0);
    }
}
