//! Removal of responses that belong to earlier requests.
//!
//! A peer may write an earlier response once more, where the next one is expected. It names its request by a header, so
//! it is left out, and the next response follows. Whatever is not surely such a response is passed on as it is.

use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Buf;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::overhead;
use crate::overhead::Overhead;

/// Maximum size of a response head that is examined, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of headers of a response that is examined.
const MAX_HEADERS: usize = 64;
/// The number of earlier requests that are remembered.
const MAX_EARLIER: usize = 64;
/// The number of bytes that are read at a time while a head is examined.
const READ_BYTES: usize = 4 << 10;

/// What is done with the bytes that arrive next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// They are passed on.
    #[default]
    Pass,
    /// They are the head of a response.
    Head,
    /// This many are the body of a response that is left out.
    Skip(u64),
}

/// Which response is expected, and what has arrived of it.
#[derive(Debug, Default)]
struct State {
    phase: Phase,
    /// The header that names the request of a response.
    header: &'static str,
    current: String,
    /// The digests of the names of earlier requests.
    earlier: VecDeque<u64>,
    /// What has arrived and is not examined yet.
    unread: BytesMut,
    /// What has been examined and is to be passed on.
    passed: BytesMut,
    /// What has arrived of the response.
    overhead: Overhead,
}

/// The expectation of a response, shared with the stream that it arrives on.
#[derive(Debug, Clone, Default)]
pub(crate) struct Expectation(Arc<Mutex<State>>);

/// A stream that leaves responses to earlier requests out.
#[derive(Debug)]
pub(crate) struct Filtered {
    stream: TcpStream,
    expectation: Expectation,
}

impl Expectation {
    /// Expects the response to a request, which names it by a header.
    pub(crate) fn begin(&self, header: &'static str, request: &str) {
        let mut state = self.lock();
        let before = std::mem::replace(&mut state.current, request.to_owned());
        if !before.is_empty() {
            state.earlier.push_back(digest(&before));
        }
        if state.earlier.len() > MAX_EARLIER {
            state.earlier.pop_front();
        }
        state.header = header;
        state.phase = Phase::Head;
    }

    /// Begins to count what arrives of a response.
    pub(crate) fn begin_count(&self) {
        self.lock().overhead.begin();
    }

    /// Records bytes of the body of the response that the call has received.
    pub(crate) fn record_body(&self, bytes: usize) {
        self.lock().overhead.record_body(bytes);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn record_read(&mut self, context: &mut Context<'_>, bytes: usize) {
        self.overhead.record_read(bytes);
        overhead::spend_budget(context, bytes);
    }

    /// Examines what has arrived, until more is needed or the rest is passed on.
    fn examine(&mut self) {
        loop {
            match self.phase {
                Phase::Pass => {
                    let rest = self.unread.split();
                    self.passed.extend_from_slice(&rest);
                    return;
                }
                Phase::Skip(0) => self.phase = Phase::Head,
                Phase::Skip(_) if self.unread.is_empty() => return,
                Phase::Skip(left) => {
                    let skipped = left.min(self.unread.len() as u64);
                    self.unread.advance(usize::try_from(skipped).unwrap_or_default());
                    self.phase = Phase::Skip(left - skipped);
                }
                Phase::Head => match self.examine_head() {
                    Some(phase) => self.phase = phase,
                    None if self.unread.len() > MAX_HEAD_BYTES => self.phase = Phase::Pass,
                    None => return,
                },
            }
        }
    }

    /// Examines a head; returns what is done next, or `None` if it has not arrived whole.
    fn examine_head(&mut self) -> Option<Phase> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(&self.unread) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return None,
            Err(_) => return Some(Phase::Pass),
        };
        if !self.is_earlier(&response) {
            return Some(Phase::Pass);
        }
        let Some(body) = body_length(&response) else { return Some(Phase::Pass) };
        self.unread.advance(length);
        Some(Phase::Skip(body))
    }

    fn is_earlier(&self, response: &httparse::Response<'_, '_>) -> bool {
        let Some(named) = header(response, self.header) else { return false };
        named != self.current && self.earlier.contains(&digest(named))
    }
}

fn digest(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Returns the length of the body of a response, if its head states it.
fn body_length(response: &httparse::Response<'_, '_>) -> Option<u64> {
    if header(response, "transfer-encoding").is_some() {
        return None;
    }
    header(response, "content-length")?.parse().ok()
}

fn header<'a>(response: &httparse::Response<'_, 'a>, name: &str) -> Option<&'a str> {
    let mut headers = response.headers.iter();
    let found = headers.find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}

impl Filtered {
    pub(crate) const fn new(stream: TcpStream, expectation: Expectation) -> Self {
        Self { stream, expectation }
    }
}

/// Reads at most [`overhead::MAX_READ_BYTES`] into the buffer, and returns their number.
fn read_some(
    stream: &mut TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<usize>> {
    let stream = Pin::new(stream);
    if buffer.remaining() <= overhead::MAX_READ_BYTES {
        let before = buffer.filled().len();
        ready!(stream.poll_read(context, buffer))?;
        return Poll::Ready(Ok(buffer.filled().len() - before));
    }
    let mut read = ReadBuf::new(buffer.initialize_unfilled_to(overhead::MAX_READ_BYTES));
    ready!(stream.poll_read(context, &mut read))?;
    let bytes = read.filled().len();
    buffer.advance(bytes);
    Poll::Ready(Ok(bytes))
}

impl AsyncRead for Filtered {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { stream, expectation } = self.get_mut();
        let mut state = expectation.lock();
        loop {
            if state.overhead.is_exceeded() {
                let error = "too much beside the body of a response";
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
            }
            if !state.passed.is_empty() {
                let length = state.passed.len().min(buffer.remaining());
                buffer.put_slice(&state.passed.split_to(length));
                return Poll::Ready(Ok(()));
            }
            if state.phase == Phase::Pass {
                let bytes = ready!(read_some(stream, context, buffer))?;
                state.record_read(context, bytes);
                return Poll::Ready(Ok(()));
            }
            let mut bytes = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut *stream).poll_read(context, &mut read))?;
            if read.filled().is_empty() {
                // The stream has ended, so what has arrived is all there is.
                state.phase = Phase::Pass;
                if state.unread.is_empty() {
                    return Poll::Ready(Ok(()));
                }
            }
            state.record_read(context, read.filled().len());
            state.unread.extend_from_slice(read.filled());
            state.examine();
        }
    }
}

impl AsyncWrite for Filtered {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
