//! Answers that no HTTP library would write: without an end, or with an end that only the connection marks.

use std::future::pending;
use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time;

use super::End;
use super::FaultMode;
use super::PAUSE;
use super::STREAM_EVENTS;
use super::Written;
use super::event_text;

/// The interval between two bytes of an answer that stalls.
const STALL_INTERVAL: Duration = Duration::from_millis(100);
/// The time from the last byte of an answer to the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(30);
/// The number of bytes that are written at a time to an answer without an end.
const CHUNK_BYTES: usize = 16 << 10;
/// The maximum size of the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A rejection that does not say of which request.
pub(super) const UNNAMED_REJECTION: &str =
    "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";

/// An error as it would be answered at the beginning.
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-type: text/plain\r\ncontent-length: 8\r\n\r\nfailed\n\n";

/// The head of a request.
pub(super) struct Head {
    /// Method, path and version.
    pub(super) line: String,
    /// The id of the request.
    pub(super) id: String,
    /// The id of the last event that the caller has, if a stream is resumed.
    last_event: u32,
}

/// Returns whether a fault mode needs answers of this module.
pub(super) const fn is_needed(fault_mode: FaultMode) -> bool {
    matches!(
        fault_mode,
        FaultMode::EndlessHead
            | FaultMode::EndlessBody
            | FaultMode::EndlessRejection
            | FaultMode::LateCopies
            | FaultMode::LateRejections
            | FaultMode::RepeatedRejections
            | FaultMode::Unframed
            | FaultMode::UnframedTruncatedAt(_)
            | FaultMode::ErrorAt(_)
            | FaultMode::PlainText
            | FaultMode::Garbage
            | FaultMode::StalledAt(_)
            | FaultMode::PausedAt(_)
            | FaultMode::Written(_)
    )
}

/// Reads the head of a request without a body.
pub(super) async fn read_head(stream: &mut TcpStream) -> io::Result<Head> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") && bytes.len() < MAX_HEAD_BYTES {
        bytes.push(stream.read_u8().await?);
    }
    let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    let header = |name: &str| {
        let mut lines = text.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    };
    let line = text.lines().next().unwrap_or_default().to_owned();
    let last_event = header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    Ok(Head { line, id: header("request-id").unwrap_or_default(), last_event })
}

/// Writes the answer of a fault mode, until it ends or the caller closes.
pub(super) async fn answer(
    stream: &mut TcpStream,
    head: &Head,
    fault_mode: FaultMode,
) -> io::Result<()> {
    match fault_mode {
        FaultMode::EndlessHead => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nx-padding: ").await?;
            write_endlessly(stream).await
        }
        FaultMode::EndlessRejection => {
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nrequest-id: {}\r\nnot-executed: 1\r\ncontent-length: 1000000\r\n\r\n",
                head.id
            );
            stream.write_all(text.as_bytes()).await?;
            stall(stream).await
        }
        FaultMode::EndlessBody => {
            write_success(stream, head).await?;
            write_endlessly(stream).await
        }
        FaultMode::ErrorAt(event) => {
            write_success(stream, head).await?;
            write_events(stream, head.last_event + 1..event).await?;
            stream.write_all(ERROR.as_bytes()).await
        }
        FaultMode::PlainText => {
            write_success(stream, head).await?;
            stream.write_all(b"the engine has failed\n\n").await
        }
        FaultMode::Written(written) => write_written(stream, head, written).await,
        FaultMode::Garbage => stream.write_all(b"\x16\x03\x01 no response\r\n\r\n").await,
        FaultMode::StalledAt(event) => {
            write_success(stream, head).await?;
            write_events(stream, head.last_event + 1..event).await?;
            stall(stream).await
        }
        FaultMode::PausedAt(event) => {
            write_success(stream, head).await?;
            write_events(stream, head.last_event + 1..event).await?;
            time::sleep(PAUSE).await;
            write_events(stream, event..STREAM_EVENTS + 1).await
        }
        FaultMode::UnframedTruncatedAt(event) => {
            write_success(stream, head).await?;
            write_events(stream, head.last_event + 1..event).await?;
            let half = if event == 0 { 0 } else { event_text(event).len() / 2 };
            stream.write_all(&event_text(event).as_bytes()[..half]).await
        }
        _ => {
            write_success(stream, head).await?;
            write_events(stream, head.last_event + 1..STREAM_EVENTS + 1).await
        }
    }
}

/// Returns the rejection of a request.
pub(super) fn rejection(head: &Head) -> String {
    let Head { id, .. } = head;
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nrequest-id: {id}\r\nnot-executed: 1\r\ncontent-length: 4\r\n\r\nbusy"
    )
}

/// Returns a complete answer to a request, whose body is the id of the request.
pub(super) fn plain_answer(head: &Head) -> String {
    let Head { id, .. } = head;
    let length = id.len();
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: seal\r\ncontent-length: {length}\r\n\r\n{id}"
    )
}

/// Writes the head of a success that ends with its connection.
async fn write_success(stream: &mut TcpStream, head: &Head) -> io::Result<()> {
    let id = &head.id;
    let text = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: seal\r\n\r\n");
    stream.write_all(text.as_bytes()).await
}

async fn write_events(stream: &mut TcpStream, events: std::ops::Range<u32>) -> io::Result<()> {
    for event in events {
        stream.write_all(event_text(event).as_bytes()).await?;
    }
    Ok(())
}

async fn write_endlessly(stream: &mut TcpStream) -> io::Result<()> {
    let chunk = vec![b'x'; CHUNK_BYTES];
    loop {
        stream.write_all(&chunk).await?;
    }
}

async fn write_written(stream: &mut TcpStream, head: &Head, written: Written) -> io::Result<()> {
    let begin = written.begin.replace("{id}", &head.id);
    stream.write_all(begin.as_bytes()).await?;
    if written.repeated.is_empty() {
        return Ok(());
    }
    let times = CHUNK_BYTES.div_ceil(written.repeated.len());
    let repeated = written.repeated.replace("{id}", &head.id).repeat(times);
    loop {
        stream.write_all(repeated.as_bytes()).await?;
    }
}

/// Ends the connection after an answer.
pub(super) async fn end(stream: &mut TcpStream, end: End) -> io::Result<()> {
    match end {
        End::Close => stream.shutdown().await,
        End::Reset => {
            time::sleep(RESET_DELAY).await;
            SockRef::from(&*stream).set_linger(Some(Duration::ZERO))
        }
        End::ResetAtOnce => SockRef::from(&*stream).set_linger(Some(Duration::ZERO)),
        End::Hold => pending().await,
    }
}

async fn stall(stream: &mut TcpStream) -> io::Result<()> {
    loop {
        stream.write_all(b"x").await?;
        time::sleep(STALL_INTERVAL).await;
    }
}
