//! Sends one order to a runner.
//!
//! An order is valid until a time of the monotonic clock. That is looked at directly before each write to the
//! socket, so that a process that was paused in between sends nothing afterwards.

use std::future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time;

/// How long sent bytes of an order may stay unacknowledged; the kernel gives them up after it.
pub const COMMAND_ACK_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a runner may take to carry out an order.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// An order to a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Command {
    /// What is ordered, such as `load-model`.
    pub order: String,
    /// The name that the order concerns.
    pub name: String,
    /// The fencing number of the holder.
    pub fence: u64,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The runner has obeyed.
    Done,
    /// The runner knows a newer fencing number.
    #[strum(serialize = "newer")]
    Superseded,
    /// The runner refused the order for another reason.
    Refused,
    /// No byte of the order has left the process.
    NotSent,
    /// The order was sent and no whole answer came.
    Lost,
}

/// Sends an order on a fresh connection unless `valid_until` has passed, and waits for the answer.
pub async fn send_command(address: SocketAddr, command: &Command, valid_until: Instant) -> Outcome {
    let Some(stream) = connect(address).await else { return Outcome::NotSent };
    let is_written = Arc::new(AtomicBool::new(false));
    let stream = ExpiringStream { stream, valid_until, is_written: Arc::clone(&is_written) };
    let answered = time::timeout(ANSWER_TIMEOUT, post(stream, command)).await.ok().flatten();
    match answered {
        Some(StatusCode::OK) => Outcome::Done,
        Some(StatusCode::CONFLICT) => Outcome::Superseded,
        Some(_) => Outcome::Refused,
        None if is_written.load(Ordering::Acquire) => Outcome::Lost,
        None => Outcome::NotSent,
    }
}

async fn post(stream: ExpiringStream, command: &Command) -> Option<StatusCode> {
    let body = serde_json::to_vec(command).expect("an order has only plain fields");
    let request = Request::post("/orders")
        .header("host", "runner")
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let drive = async move {
        let _ended = connection.await;
        future::pending().await
    };
    tokio::select! {
        answer = sender.send_request(request) => answer.ok().map(|answer| answer.status()),
        never = drive => never,
    }
}

/// Opens a connection whose bytes the kernel gives up when they can't be delivered soon or the process closes it.
async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_nodelay(true).ok()?;
    socket.set_tcp_user_timeout(Some(COMMAND_ACK_TIMEOUT)).ok()?;
    socket.set_linger(Some(Duration::ZERO)).ok()?;
    Some(stream)
}

/// A connection that takes no bytes after a time.
#[derive(Debug)]
struct ExpiringStream {
    stream: TcpStream,
    valid_until: Instant,
    is_written: Arc<AtomicBool>,
}

impl AsyncRead for ExpiringStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ExpiringStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if Instant::now() >= this.valid_until {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        if matches!(written, Poll::Ready(Ok(count)) if count > 0) {
            this.is_written.store(true, Ordering::Release);
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
