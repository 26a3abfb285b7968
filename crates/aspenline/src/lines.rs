//! Log lines on standard output, written by a separate thread so that a slow reader delays no request.

use std::io;
use std::io::Write;
use std::mem;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use log::LevelFilter;
use log::Record;
use log4rs::append::Append;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Root;

use crate::failure::Failure;

/// The maximum number of queued lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;
/// The interval between two writes. The thread is not woken for each line, which would cost a busy router more than the
/// line itself.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// How long the end of the process waits for its last lines to be read.
const FINISH_TIMEOUT: Duration = Duration::from_millis(300);
/// The interval at which it looks whether they have been.
const FINISH_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// The log target of lines that are JSON objects already.
const STRUCTURED_TARGET: &str = "event";
/// The name of the appender.
const APPENDER: &str = "lines";

/// The lines that wait to be written.
#[derive(Debug, Default)]
struct Queue {
    lines: Vec<String>,
    dropped: u64,
    is_closed: bool,
}

/// An appender that queues lines for the writer thread without blocking.
#[derive(Debug)]
struct Lines {
    queue: Arc<Mutex<Queue>>,
}

/// A handle of the writer thread.
#[derive(Debug)]
pub(crate) struct Writer {
    queue: Arc<Mutex<Queue>>,
    thread: JoinHandle<()>,
}

impl Append for Lines {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let line = format_record(record);
        lock(&self.queue).push(line);
        Ok(())
    }

    fn flush(&self) {}
}

impl Queue {
    fn push(&mut self, line: String) {
        if self.lines.len() < MAX_QUEUED_LINES {
            self.lines.push(line);
        } else {
            self.dropped += 1;
        }
    }

    /// Removes and returns all lines, and a notice of dropped lines.
    fn take_lines(&mut self) -> Vec<String> {
        let mut lines = mem::take(&mut self.lines);
        let dropped = mem::take(&mut self.dropped);
        if dropped > 0 {
            lines.push(format!("{{\"event\":\"lines_dropped\",\"left_out\":{dropped}}}"));
        }
        lines
    }
}

impl Writer {
    /// Writes all queued lines and ends the thread, unless nobody reads them; then the thread ends with the process.
    pub(crate) fn finish(self) {
        lock(&self.queue).is_closed = true;
        self.thread.thread().unpark();
        let deadline = Instant::now() + FINISH_TIMEOUT;
        while !self.thread.is_finished() && Instant::now() < deadline {
            thread::sleep(FINISH_CHECK_INTERVAL);
        }
        if self.thread.is_finished() {
            drop(self.thread.join());
        }
    }
}

/// Starts the writer thread and installs the logger.
pub(crate) fn start() -> Result<Writer, Failure> {
    let failed = |error: String| Failure::Failed(format!("can't set up the log: {error}"));
    let queue = Arc::new(Mutex::new(Queue::default()));
    let shared = Arc::clone(&queue);
    let thread = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&shared))
        .map_err(|error| failed(error.to_string()))?;
    let lines = Lines { queue: Arc::clone(&queue) };
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(lines)))
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Info))
        .map_err(|error| failed(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| failed(error.to_string()))?;
    Ok(Writer { queue, thread })
}

fn format_record(record: &Record<'_>) -> String {
    if record.target() == STRUCTURED_TARGET {
        return record.args().to_string();
    }
    let text = serde_json::Value::String(record.args().to_string());
    format!("{{\"event\":\"message\",\"level\":\"{}\",\"text\":{text}}}", record.level())
}

/// Writes lines in batches until the process ends or standard output is closed.
///
/// A write holds whole lines, so that one that is interrupted leaves no part of a line.
fn write_lines(queue: &Mutex<Queue>) {
    let mut output = io::BufWriter::new(io::stdout());
    loop {
        thread::park_timeout(WRITE_INTERVAL);
        let (lines, is_closed) = {
            let mut queue = lock(queue);
            (queue.take_lines(), queue.is_closed)
        };
        let written = lines.iter().try_for_each(|line| writeln!(output, "{line}"));
        let written = written.and_then(|()| output.flush());
        if is_closed || written.is_err() {
            return;
        }
    }
}

/// Locks the queue, also when it is poisoned by a panic of another holder.
fn lock(queue: &Mutex<Queue>) -> MutexGuard<'_, Queue> {
    queue.lock().unwrap_or_else(PoisonError::into_inner)
}
