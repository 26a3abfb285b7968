//! Reading the body of a request into memory that is taken from the budget before it is read.

use std::time::Duration;

use budget::Refused;
use budget::Reservation;
use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time;

/// Timeout for the arrival of the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a body waits for memory before it is refused.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(5);
/// The memory of a request besides its body, in bytes: its head and the buffer of its connection.
pub const REQUEST_BYTES: usize = 16 << 10;
/// The size up to which a body arrives in the buffer of its connection as it is, in bytes.
const SMALL_BYTES: usize = 16 << 10;
/// What the connection of a large body holds besides the body, in bytes: one piece and the buffer of the next.
const CONNECTION_BYTES: usize = 96 << 10;
/// What a large body holds besides itself, in bytes.
pub(crate) const OVERHEAD_BYTES: usize = REQUEST_BYTES + CONNECTION_BYTES;
/// The size of the largest piece in which a body arrives, in bytes.
const MAX_PIECE_BYTES: usize = 64 << 10;
/// The size of the first piece of a body, in bytes.
const FIRST_PIECE_BYTES: usize = 4 << 10;
/// The number of bytes after which progress is recorded.
const PROGRESS_BYTES: usize = 4 << 10;

/// The reason why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Error {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection broke.
    Broken,
    /// The body did not arrive in time.
    Timeout,
    /// There is no memory for the body.
    Refused(Refused),
}

impl std::error::Error for Error {}

/// The part of a body that has arrived.
struct Part<'a> {
    memory: &'a Reservation,
    bytes: Vec<u8>,
    /// The capacity for which memory is taken.
    reserved: usize,
    /// The size of the whole body, or the limit if it is not announced.
    expected: usize,
    /// The bytes whose arrival is not yet recorded as progress.
    recent: usize,
}

/// Reads a body of at most `limit` bytes; `memory` is grown before it is read on.
///
/// # Errors
/// Returns the reason why the body could not be read.
pub async fn read<B>(body: B, limit: usize, memory: &Reservation) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let reading = read_all(body, limit, memory);
    time::timeout(BODY_TIMEOUT, reading).await.unwrap_or(Err(Error::Timeout))
}

async fn read_all<B>(mut body: B, limit: usize, memory: &Reservation) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint().exact().and_then(|size| usize::try_from(size).ok());
    if announced.is_some_and(|size| size > limit) {
        return Err(Error::TooLarge);
    }
    let expected = announced.unwrap_or(limit);
    let mut part = Part { memory, bytes: Vec::new(), reserved: 0, expected, recent: 0 };
    loop {
        let piece = part.bytes.len().clamp(FIRST_PIECE_BYTES, MAX_PIECE_BYTES);
        part.reserve(piece.min(expected.saturating_sub(part.bytes.len()))).await?;
        let frame = memory.unless_evicted(body.frame()).await.map_err(Error::Refused)?;
        let Some(frame) = frame else { return Ok(Bytes::from(part.bytes)) };
        let Ok(bytes) = frame.map_err(|_| Error::Broken)?.into_data() else { continue };
        if announced == Some(bytes.len()) && bytes.len() <= SMALL_BYTES {
            return Ok(bytes);
        }
        if bytes.len() > limit.saturating_sub(part.bytes.len()) {
            return Err(Error::TooLarge);
        }
        part.reserve(bytes.len()).await?;
        part.add(&bytes);
    }
}

impl Part<'_> {
    /// Takes memory for so many bytes more than have arrived. The capacity at least doubles, so that bytes are rarely moved.
    async fn reserve(&mut self, bytes: usize) -> Result<(), Error> {
        let needed = self.bytes.len() + bytes;
        if needed <= self.reserved {
            return Ok(());
        }
        let small = if self.expected <= SMALL_BYTES { self.expected } else { 0 };
        let reserved = needed.max(self.reserved * 2).max(small).min(self.expected.max(needed));
        let is_first_large = reserved > SMALL_BYTES && self.reserved <= SMALL_BYTES;
        let connection = if is_first_large { CONNECTION_BYTES } else { 0 };
        let request = if self.reserved == 0 { REQUEST_BYTES } else { 0 };
        let added = reserved - self.reserved + connection + request;
        self.memory.grow(added, MEMORY_TIMEOUT).await.map_err(Error::Refused)?;
        self.reserved = reserved;
        Ok(())
    }

    /// Adds bytes for which memory is taken.
    fn add(&mut self, bytes: &[u8]) {
        if self.bytes.capacity() < self.reserved {
            self.bytes.reserve_exact(self.reserved - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        self.recent += bytes.len();
        if self.recent >= PROGRESS_BYTES {
            self.memory.record_progress(self.recent);
            self.recent = 0;
        }
    }
}
