//! The connection and its states.

use std::fmt;
use std::future::Future;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body::Body;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the call was written.
    NotSent,
    /// The connection broke after the call may have been written.
    Broken,
    /// No answer came in time.
    Silent,
}

type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// A connection, which makes progress only within a call.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    closed: bool,
    used: Instant,
}

impl Connection {
    /// Opens a connection within a time.
    ///
    /// # Errors
    /// Returns [`Failure::NotSent`] if the peer does not accept it.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, Failure> {
        let opening = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = opening.await.map_err(|_| Failure::NotSent)?.map_err(|_| Failure::NotSent)?;
        tune(&stream);
        let shake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = shake.map_err(|_| Failure::NotSent)?;
        Ok(Self { sender, driver: Box::pin(driver), closed: false, used: Instant::now() })
    }

    /// Returns for how long the connection was not used.
    #[must_use]
    pub fn idle(&self) -> Duration {
        self.used.elapsed()
    }

    /// Returns whether the connection can't be used again.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Returns [`Failure::NotSent`] if no byte was written, and [`Failure::Broken`] if some may have been.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        self.look().await;
        if self.closed {
            return Err(Failure::NotSent);
        }
        drive(&mut self.driver, &mut self.closed, self.sender.ready())
            .await
            .map_err(|_| Failure::NotSent)?;
        let sending = self.sender.try_send_request(request);
        let sent = drive(&mut self.driver, &mut self.closed, sending).await;
        self.used = Instant::now();
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => Failure::NotSent,
            None => Failure::Broken,
        })
    }

    /// Reads a whole body of at most `limit` bytes.
    ///
    /// # Errors
    /// Returns [`Failure::Broken`] if the body does not arrive whole.
    pub async fn collect(&mut self, body: Incoming, limit: usize) -> Result<Bytes, Failure> {
        let whole = Limited::new(body, limit).collect();
        let whole = drive(&mut self.driver, &mut self.closed, whole).await;
        self.used = Instant::now();
        whole.map(http_body_util::Collected::to_bytes).map_err(|_| Failure::Broken)
    }

    /// Polls for the next frame of a body.
    pub fn poll_frame(
        &mut self,
        body: &mut Incoming,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        let mut polled = Pin::new(&mut *body).poll_frame(context);
        if polled.is_pending() && !self.closed {
            self.closed = self.driver.as_mut().poll(context).is_ready();
            polled = Pin::new(body).poll_frame(context);
        }
        polled.map(|frame| frame.map(|result| result.map_err(|_| Failure::Broken)))
    }

    /// Notes that an answer has been read to its end.
    pub fn finish(&mut self) {
        self.used = Instant::now();
    }

    /// Polls the connection once, so that an end sent by the peer is seen before a call is written.
    async fn look(&mut self) {
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

/// Runs a future to its end while the connection makes progress.
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

fn tune(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let tuned =
        socket.set_tcp_nodelay(true).and(socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = tuned {
        log::debug!("conn: socket options were not set: {error}");
    }
}
