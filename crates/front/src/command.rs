//! Orders to runners, such as loading a model.
//!
//! An order is valid until an instant of the monotonic clock. The clock is read directly before each write to the
//! socket, so a process that was suspended in between sends nothing after the order has expired.

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

/// Timeout for the acknowledgement of sent bytes; afterwards the kernel discards them and closes the connection.
pub const COMMAND_ACK_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for the execution of an order by a runner.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// An order to a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Command {
    /// The operation, such as `load-model`.
    pub order: String,
    /// The name of the object that the operation applies to.
    pub name: String,
    /// The fencing token of the sender.
    pub fence: u64,
}

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The runner executed the order.
    Done,
    /// The runner has seen a newer fencing token.
    #[strum(serialize = "newer")]
    Superseded,
    /// The runner rejected the order for another reason.
    Refused,
    /// No byte of the order was sent.
    NotSent,
    /// The order was sent, at least in part, and no complete answer arrived; it may have been executed.
    Lost,
}

/// Sends an order to a runner on a new connection and waits for the answer; nothing is sent after `valid_until`.
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
    let body = serde_json::to_vec(command).expect("a command serialises to JSON");
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

/// Opens a connection whose undelivered bytes the kernel discards after a timeout or when the process closes it.
async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_nodelay(true).ok()?;
    socket.set_tcp_user_timeout(Some(COMMAND_ACK_TIMEOUT)).ok()?;
    socket.set_linger(Some(Duration::ZERO)).ok()?;
    Some(stream)
}

/// A connection that rejects writes after an instant.
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
