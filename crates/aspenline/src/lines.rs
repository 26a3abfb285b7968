//! Log lines on standard output, written by a separate thread so that a slow reader delays no request.

use std::fmt;
use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use log::LevelFilter;
use log::Record;
use log4rs::append::Append;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Root;

use crate::failure::Failure;

/// The maximum number of queued lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;
/// The maximum time for which written lines are buffered.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// The log target of lines that are JSON objects already.
const STRUCTURED_TARGET: &str = "event";
/// The name of the appender.
const APPENDER: &str = "lines";

/// A message to the writer thread.
enum Message {
    /// A line to write.
    Line(String),
    /// The process ends, and so does the thread.
    Stop,
}

/// An appender that queues lines for the writer thread without blocking.
struct Lines {
    sender: SyncSender<Message>,
    dropped: AtomicU64,
}

/// A handle of the writer thread.
#[derive(Debug)]
pub(crate) struct Writer {
    sender: SyncSender<Message>,
    thread: JoinHandle<()>,
}

impl fmt::Debug for Lines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lines").field("dropped", &self.dropped).finish_non_exhaustive()
    }
}

impl Append for Lines {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let line = format_record(record);
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let notice = format!("{{\"event\":\"lines_dropped\",\"left_out\":{dropped}}}");
            if self.sender.try_send(Message::Line(notice)).is_err() {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
        if self.sender.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

impl Writer {
    /// Writes all queued lines and ends the thread.
    pub(crate) fn finish(self) {
        if self.sender.send(Message::Stop).is_ok() {
            drop(self.thread.join());
        }
    }
}

/// Starts the writer thread and installs the logger.
pub(crate) fn start() -> Result<Writer, Failure> {
    let failed = |error: String| Failure::Failed(format!("can't set up the log: {error}"));
    let (sender, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
    let thread = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver))
        .map_err(|error| failed(error.to_string()))?;
    let lines = Lines { sender: sender.clone(), dropped: AtomicU64::new(0) };
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(lines)))
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Info))
        .map_err(|error| failed(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| failed(error.to_string()))?;
    Ok(Writer { sender, thread })
}

fn format_record(record: &Record<'_>) -> String {
    if record.target() == STRUCTURED_TARGET {
        return record.args().to_string();
    }
    let text = serde_json::Value::String(record.args().to_string());
    format!("{{\"event\":\"message\",\"level\":\"{}\",\"text\":{text}}}", record.level())
}

/// Writes lines in batches until the process ends or standard output is closed.
fn write_lines(receiver: &Receiver<Message>) {
    let mut output = io::BufWriter::new(io::stdout());
    let mut is_flushed = true;
    loop {
        let message = if is_flushed {
            receiver.recv().map_err(|_| RecvTimeoutError::Disconnected)
        } else {
            receiver.recv_timeout(FLUSH_INTERVAL)
        };
        let written = match message {
            Ok(Message::Line(line)) => {
                is_flushed = false;
                writeln!(output, "{line}")
            }
            Err(RecvTimeoutError::Timeout) => {
                is_flushed = true;
                output.flush()
            }
            Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => break,
        };
        if written.is_err() {
            break;
        }
    }
    drop(output.flush());
}
