//! One connection to the platform, driven by the call that uses it.

use std::future::Future;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Largest body of an answer, in bytes.
const BODY_LIMIT: usize = 64 << 20;
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A call to make.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) body: Bytes,
}

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No byte of the call was written.
    NotSent,
    /// The connection broke after the call may have been written.
    Broken,
    /// No answer came in time.
    Silent,
}

type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// A connection. No task runs it: it makes progress only within a call.
pub(crate) struct Channel {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    closed: bool,
    used: Instant,
}

impl Channel {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, Failure> {
        let opening = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = opening.await.map_err(|_| Failure::NotSent)?.map_err(|_| Failure::NotSent)?;
        stream.set_nodelay(true).map_err(|_| Failure::NotSent)?;
        let shake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = shake.map_err(|_| Failure::NotSent)?;
        Ok(Self { sender, driver: Box::pin(driver), closed: false, used: Instant::now() })
    }

    /// Returns for how long the connection was not used.
    pub(crate) fn idle(&self) -> Duration {
        self.used.elapsed()
    }

    /// Returns whether the connection can't be used again.
    pub(crate) const fn is_closed(&self) -> bool {
        self.closed
    }

    /// Makes one call.
    pub(crate) async fn exchange(&mut self, call: &Call, host: &str) -> Result<Answer, Failure> {
        let request = request(call, host)?;
        self.notice_close().await;
        drive(&mut self.driver, &mut self.closed, self.sender.ready())
            .await
            .map_err(|_| Failure::NotSent)?;
        let sending = self.sender.try_send_request(request);
        let sent = drive(&mut self.driver, &mut self.closed, sending).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => Failure::NotSent,
            None => Failure::Broken,
        })?;
        let status = response.status().as_u16();
        let retry_after = retry_after(response.headers());
        let body = Limited::new(response.into_body(), BODY_LIMIT).collect();
        let body = drive(&mut self.driver, &mut self.closed, body).await;
        let body = body.map_err(|_| Failure::Broken)?.to_bytes();
        self.used = Instant::now();
        Ok(Answer { status, retry_after, body })
    }

    /// Polls the connection once, so that an end sent by the peer is seen before a call is written.
    async fn notice_close(&mut self) {
        poll_fn(|context| {
            if !self.closed && self.driver.as_mut().poll(context).is_ready() {
                self.closed = true;
            }
            Poll::Ready(())
        })
        .await;
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

fn request(call: &Call, host: &str) -> Result<Request<Full<Bytes>>, Failure> {
    Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(header::HOST, host)
        .body(Full::new(call.body.clone()))
        .map_err(|_| Failure::NotSent)
}

fn retry_after(headers: &http::HeaderMap) -> Option<Duration> {
    let value = headers.get(header::RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
