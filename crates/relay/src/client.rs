//! The connection of a client: whether it is idle, and what it has not read of its answer.

use std::fmt;
use std::io;
use std::io::IoSlice;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Instant;

use budget::Budget;
use budget::Class;
use budget::Reservation;
use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of bytes that are read at a time; one less than the library's first buffer of a connection, which it
/// doubles, and keeps while the connection is idle, when a read fills it.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// The connection of a client.
pub struct Client {
    owner: u64,
    budget: Option<Budget>,
    state: Mutex<State>,
    /// Told when the connection must be closed.
    closing: Notify,
}

/// What changes of a connection.
struct State {
    /// Whether a request has arrived whose answer is not yet given to the connection whole.
    is_busy: bool,
    /// The time of the last request or of the end of its answer.
    since: Instant,
    /// The memory of bytes that the client does not read.
    unwritten: Option<Reservation>,
    /// The memory of the answer that is being written.
    answer: Weak<Reservation>,
}

/// A stream of a client whose writes are watched.
pub(crate) struct Watched {
    stream: TcpStream,
    client: Arc<Client>,
}

/// A body of an answer that tells the client when it ends.
pub(crate) struct Tracked<B> {
    body: B,
    client: Arc<Client>,
}

impl Client {
    /// Creates the state of a connection from an address.
    pub(crate) fn new(address: SocketAddr, budget: Option<Budget>) -> Arc<Self> {
        let state =
            State { is_busy: false, since: Instant::now(), unwritten: None, answer: Weak::new() };
        Arc::new(Self {
            owner: owner(address.ip()),
            budget,
            state: Mutex::new(state),
            closing: Notify::new(),
        })
    }

    /// Returns a number for the address of the client, by which its memory is counted.
    #[must_use]
    pub const fn owner(&self) -> u64 {
        self.owner
    }

    /// Closes the connection when this answer is told to give way.
    pub(crate) fn watch(&self, answer: &Arc<Reservation>) {
        self.state().answer = Arc::downgrade(answer);
    }

    /// Returns since when the connection has had no request; `None` if it has one.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        let state = self.state();
        (!state.is_busy && state.unwritten.is_none()).then_some(state.since)
    }

    /// Records the arrival of a request.
    pub(crate) fn begin(&self) {
        self.set_busy(true);
    }

    /// Closes the connection.
    pub(crate) fn close(&self) {
        self.closing.notify_one();
    }

    /// Waits until the connection must be closed, at the end of its idle time or to give memory back.
    pub(crate) async fn closed(&self) {
        let Some(budget) = &self.budget else { return self.closing.notified().await };
        tokio::select! {
            () = self.closing.notified() => (),
            () = budget.evicted_where(|| self.is_evicted()) => (),
        }
    }

    fn is_evicted(&self) -> bool {
        let state = self.state();
        state.unwritten.as_ref().is_some_and(Reservation::is_evicted)
            || state.answer.upgrade().is_some_and(|answer| answer.is_evicted())
    }

    fn set_busy(&self, is_busy: bool) {
        let mut state = self.state();
        state.is_busy = is_busy;
        state.since = Instant::now();
    }

    /// Records that the client does not read `bytes` that are to be written.
    fn record_blocked(&self, bytes: usize) {
        let Some(budget) = &self.budget else { return };
        let mut state = self.state();
        if state.unwritten.is_some() {
            return;
        }
        let unwritten = budget.reservation(self.owner, Class::Unread);
        if !unwritten.try_grow(bytes) {
            // The bytes are held already; another client gives way, and this one is counted when it blocks again.
            drop(state);
            budget.evict_stalled();
            return;
        }
        state.unwritten = Some(unwritten);
    }

    fn record_written(&self, bytes: usize) {
        let state = self.state();
        if let Some(unwritten) = &state.unwritten {
            unwritten.record_progress(bytes);
        }
    }

    fn record_flushed(&self) {
        let unwritten = self.state().unwritten.take();
        drop(unwritten);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("owner", &self.owner).finish_non_exhaustive()
    }
}

fn owner(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(address) => xxh3_64(&address.octets()),
        IpAddr::V6(address) => xxh3_64(&address.octets()),
    }
}

impl Watched {
    /// Watches the writes to a stream.
    pub(crate) const fn new(stream: TcpStream, client: Arc<Client>) -> Self {
        Self { stream, client }
    }

    fn record(&self, written: Poll<io::Result<usize>>, bytes: usize) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Pending => self.client.record_blocked(bytes),
            Poll::Ready(Ok(written)) => self.client.record_written(*written),
            Poll::Ready(Err(_)) => (),
        }
        written
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let room = buffer.remaining().min(MAX_READ_BYTES);
        let mut read = ReadBuf::new(buffer.initialize_unfilled_to(room));
        ready!(Pin::new(&mut self.get_mut().stream).poll_read(context, &mut read))?;
        let bytes = read.filled().len();
        buffer.advance(bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let watched = self.get_mut();
        let written = Pin::new(&mut watched.stream).poll_write(context, bytes);
        watched.record(written, bytes.len())
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let watched = self.get_mut();
        let written = Pin::new(&mut watched.stream).poll_write_vectored(context, slices);
        watched.record(written, slices.iter().map(|slice| slice.len()).sum())
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let watched = self.get_mut();
        // A connection is flushed only after all its bytes were written.
        watched.client.record_flushed();
        Pin::new(&mut watched.stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

impl<B> Tracked<B> {
    /// Tells `client` when `body` ends.
    pub(crate) const fn new(body: B, client: Arc<Client>) -> Self {
        Self { body, client }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for Tracked<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for Tracked<B> {
    fn drop(&mut self) {
        self.client.set_busy(false);
    }
}
