//! One accepted connection, whose bytes are counted and which can be stalled or reset.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// The state of one connection of a fake server.
#[derive(Debug, Default)]
pub struct Connection {
    control: AtomicBool,
    stalled: AtomicBool,
    reset: AtomicBool,
    unattributed_bytes: AtomicU64,
    closed: CancellationToken,
}

impl Connection {
    /// Returns whether the connection has carried a control call.
    pub fn is_control(&self) -> bool {
        self.control.load(Ordering::Relaxed)
    }

    /// Marks the connection as one that carries control calls, to which faults do not apply.
    pub fn mark_control(&self) {
        self.control.store(true, Ordering::Relaxed);
    }

    /// Stops all transfer on the connection permanently, without closing it.
    pub fn stall(&self) {
        self.stalled.store(true, Ordering::Relaxed);
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(&self) {
        self.reset.store(true, Ordering::Relaxed);
        self.closed.cancel();
    }

    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Returns the number of bytes read since the last call of this method.
    pub fn take_unattributed_bytes(&self) -> u64 {
        self.unattributed_bytes.swap(0, Ordering::Relaxed)
    }
}

/// The TCP stream of a connection, to which the faults of the connection apply.
#[derive(Debug)]
pub struct FaultyStream {
    stream: TcpStream,
    connection: Arc<Connection>,
    total_bytes: Arc<AtomicU64>,
}

impl FaultyStream {
    /// Wraps a stream; `total_bytes` counts the bytes read on all streams that share the counter.
    #[must_use]
    pub const fn new(
        stream: TcpStream,
        connection: Arc<Connection>,
        total_bytes: Arc<AtomicU64>,
    ) -> Self {
        Self { stream, connection, total_bytes }
    }

    fn is_stalled(&self) -> bool {
        self.connection.stalled.load(Ordering::Relaxed)
    }
}

impl Drop for FaultyStream {
    fn drop(&mut self) {
        if self.connection.reset.load(Ordering::Relaxed) {
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_stalled() {
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = (buffer.filled().len() - before) as u64;
        self.connection.unattributed_bytes.fetch_add(count, Ordering::Relaxed);
        self.total_bytes.fetch_add(count, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_stalled() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_stalled() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
