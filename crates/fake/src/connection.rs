//! One accepted connection: counted, and able to stall or to be reset.

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

/// What the server knows of one connection.
#[derive(Debug, Default)]
pub struct Connection {
    control: AtomicBool,
    stalled: AtomicBool,
    reset: AtomicBool,
    unclaimed: AtomicU64,
    closed: CancellationToken,
}

impl Connection {
    /// Returns whether the connection has carried a control call.
    pub fn is_control(&self) -> bool {
        self.control.load(Ordering::Relaxed)
    }

    /// Marks the connection as one that carries control calls, which faults spare.
    pub fn mark_control(&self) {
        self.control.store(true, Ordering::Relaxed);
    }

    /// Stops all transfer on the connection for good, without closing it.
    pub fn stall(&self) {
        self.stalled.store(true, Ordering::Relaxed);
    }

    /// Resets the connection.
    pub fn reset(&self) {
        self.reset.store(true, Ordering::Relaxed);
        self.closed.cancel();
    }

    /// Completes once the connection is to be closed.
    pub async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Takes the number of bytes read since the last call.
    pub fn take_bytes(&self) -> u64 {
        self.unclaimed.swap(0, Ordering::Relaxed)
    }
}

/// The stream of a connection, which obeys the faults set on it.
#[derive(Debug)]
pub struct Gate {
    stream: TcpStream,
    connection: Arc<Connection>,
    total: Arc<AtomicU64>,
}

impl Gate {
    /// Creates the gate of a stream; `total` counts the bytes read on all gates that share it.
    #[must_use]
    pub const fn new(
        stream: TcpStream,
        connection: Arc<Connection>,
        total: Arc<AtomicU64>,
    ) -> Self {
        Self { stream, connection, total }
    }

    fn is_stalled(&self) -> bool {
        self.connection.stalled.load(Ordering::Relaxed)
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        if self.connection.reset.load(Ordering::Relaxed) {
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for Gate {
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
        self.connection.unclaimed.fetch_add(count, Ordering::Relaxed);
        self.total.fetch_add(count, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for Gate {
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
