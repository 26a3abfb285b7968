//! The connection and the reasons why a call on it fails.

use std::fmt;
use std::future::Future;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http_body::Body;
use http_body::Frame;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::coop;

use crate::filter::Expectation;
use crate::filter::Filtered;

/// How long sent bytes may stay unacknowledged before the kernel closes the connection (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Maximum size of the head of a response, and of what is read of a body before it is asked for, in bytes. The default
/// of 400 KiB would be held for each response that a client reads slowly.
const MAX_READ_BYTES: usize = 64 << 10;

/// The size below which a frame of a body is tiny, in bytes.
const TINY_FRAME_BYTES: usize = 32;

/// The reason why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the call was written.
    NotSent,
    /// The connection broke when the call may already have been written.
    Broken,
    /// No answer was received in time.
    Silent,
}

type Driver = http1::Connection<TokioIo<Filtered>, Full<Bytes>>;

/// A connection that makes progress only while a call polls it.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    expectation: Expectation,
    closed: bool,
    /// Whether the last frame of a body was so small that reading more of them takes the processor from others.
    was_tiny: bool,
    last_used: Instant,
}

impl Connection {
    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    /// Returns [`Failure::NotSent`] if the connection is not established in time or its handshake fails.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, Failure> {
        let opening = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = opening.await.map_err(|_| Failure::NotSent)?.map_err(|_| Failure::NotSent)?;
        set_socket_options(&stream);
        let expectation = Expectation::default();
        let filtered = Filtered::new(stream, expectation.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_READ_BYTES)
            .handshake(TokioIo::new(filtered))
            .await;
        let (sender, driver) = handshake.map_err(|_| Failure::NotSent)?;
        let (driver, last_used) = (Box::pin(driver), Instant::now());
        Ok(Self { sender, driver, expectation, closed: false, was_tiny: false, last_used })
    }

    /// Returns the time since the last use of the connection.
    #[must_use]
    pub fn idle(&self) -> Duration {
        self.last_used.elapsed()
    }

    /// Returns whether the connection is closed and can't be used again.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns whether the connection is open, after a look for a close by the peer.
    pub async fn is_open(&mut self) -> bool {
        self.poll_closed().await;
        !self.closed
    }

    /// Sends a request as [`Connection::send`] does, and leaves out responses to earlier requests on the connection.
    ///
    /// Each response repeats the value of `header`, which differs from request to request.
    ///
    /// # Errors
    /// Returns the same as [`Connection::send`].
    pub async fn send_named(
        &mut self,
        request: Request<Full<Bytes>>,
        header: &'static str,
    ) -> Result<Response<Incoming>, Failure> {
        if !self.is_open().await {
            return Err(Failure::NotSent);
        }
        let name = request.headers().get(header).and_then(|name| name.to_str().ok());
        if let Some(name) = name {
            self.expectation.begin(header, name);
        }
        self.send(request).await
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// Returns [`Failure::NotSent`] if no byte was written, and [`Failure::Broken`] if some bytes may have been.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        if !self.is_open().await {
            return Err(Failure::NotSent);
        }
        drive(&mut self.driver, &mut self.closed, self.sender.ready())
            .await
            .map_err(|_| Failure::NotSent)?;
        self.expectation.begin_count();
        let sending = self.sender.try_send_request(request);
        let sent = drive(&mut self.driver, &mut self.closed, sending).await;
        self.last_used = Instant::now();
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => Failure::NotSent,
            None => Failure::Broken,
        })
    }

    /// Reads a complete body of at most `limit` bytes.
    ///
    /// # Errors
    /// Returns [`Failure::Broken`] if the body is incomplete or larger than `limit`.
    pub async fn collect(&mut self, body: Incoming, limit: usize) -> Result<Bytes, Failure> {
        let mut left = limit;
        let reserve = |bytes| {
            let rest = left.checked_sub(bytes);
            left = rest.unwrap_or(0);
            rest.is_some()
        };
        self.collect_reserved(body, reserve).await
    }

    /// Reads a complete body; `reserve` is given the size of each piece and returns whether it may be kept.
    ///
    /// # Errors
    /// Returns [`Failure::Broken`] if the body is incomplete or a piece may not be kept.
    pub async fn collect_reserved(
        &mut self,
        mut body: Incoming,
        mut reserve: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, Failure> {
        let mut collected = BytesMut::new();
        while let Some(frame) = poll_fn(|context| self.poll_frame(&mut body, context)).await {
            let Ok(bytes) = frame?.into_data() else { continue };
            if !reserve(bytes.len()) {
                return Err(Failure::Broken);
            }
            collected.extend_from_slice(&bytes);
        }
        self.last_used = Instant::now();
        Ok(collected.freeze())
    }

    /// Polls for the next frame of a body; after a number of tiny frames, other tasks run first.
    pub fn poll_frame(
        &mut self,
        body: &mut Incoming,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        if self.was_tiny {
            ready!(coop::poll_proceed(context)).made_progress();
            self.was_tiny = false;
        }
        let mut polled = Pin::new(&mut *body).poll_frame(context);
        if polled.is_pending() && !self.closed {
            self.closed = self.driver.as_mut().poll(context).is_ready();
            polled = Pin::new(body).poll_frame(context);
        }
        let frame = ready!(polled);
        if let Some(bytes) = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref()) {
            self.expectation.record_body(bytes.len());
            self.was_tiny = bytes.len() < TINY_FRAME_BYTES;
        }
        Poll::Ready(frame.map(|result| result.map_err(|_| Failure::Broken)))
    }

    /// Records the end of a response as the last use of the connection.
    pub fn mark_used(&mut self) {
        self.last_used = Instant::now();
    }

    /// Polls the connection once, so that a close by the peer is detected before a call is written.
    async fn poll_closed(&mut self) {
        poll_fn(|context| {
            if !self.closed && self.driver.as_mut().poll(context).is_ready() {
                self.closed = true;
            }
            Poll::Ready(())
        })
        .await;
    }
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection").field("closed", &self.closed).finish_non_exhaustive()
    }
}

/// Runs a future to completion and drives the connection meanwhile.
async fn drive<F: Future>(
    driver: &mut Pin<Box<Driver>>,
    closed: &mut bool,
    future: F,
) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|context| {
        if let Poll::Ready(output) = future.as_mut().poll(context) {
            return Poll::Ready(output);
        }
        if !*closed && driver.as_mut().poll(context).is_ready() {
            *closed = true;
        }
        future.as_mut().poll(context)
    })
    .await
}

fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let tuned =
        socket.set_tcp_nodelay(true).and(socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = tuned {
        log::debug!("conn: failed to set socket options: {error}");
    }
}
