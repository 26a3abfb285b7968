//! Child processes and their logs.

use std::fs;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdin;
use std::process::ChildStdout;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use rustix::process::Pid;
use rustix::process::Signal;
use serde::Deserialize;

use crate::Error;

/// The time between two checks of whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The number of bytes at the end of a log that an error report contains.
const LOG_TAIL_BYTES: usize = 2000;

/// The command line, input and log file of a process to start.
#[derive(Debug, Clone)]
pub struct Launch {
    name: String,
    binary: PathBuf,
    log: PathBuf,
    args: Vec<String>,
    input: Option<String>,
}

impl Launch {
    /// Creates a launch of a binary whose standard error is appended to a log file.
    #[must_use]
    pub fn new(name: &str, binary: PathBuf, log: PathBuf) -> Self {
        Self { name: name.to_owned(), binary, log, args: Vec::new(), input: None }
    }

    /// Adds command-line arguments.
    #[must_use]
    pub fn args<T: AsRef<str>>(mut self, args: &[T]) -> Self {
        self.args.extend(args.iter().map(|arg| arg.as_ref().to_owned()));
        self
    }

    /// Sets the complete standard input; by default, standard input stays open until the process is dropped.
    #[must_use]
    pub fn input(mut self, text: &str) -> Self {
        self.input = Some(text.to_owned());
        self
    }
}

/// The line that a process prints when it is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Ready {
    /// The address that it listens on.
    pub ready: SocketAddr,
    /// The address that it listens on for other routers, if it is a router.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
}

/// A child process; dropping it kills and reaps it.
#[derive(Debug)]
pub struct Process {
    name: String,
    log: PathBuf,
    child: Child,
    _input: Option<ChildStdin>,
    first_line: Mutex<Receiver<String>>,
    output_reader: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a process without waiting until it is ready.
    ///
    /// # Errors
    /// Returns [`Error::Start`] if it can't be started and [`Error::Directory`] if its log can't be opened.
    pub fn start(launch: &Launch) -> Result<Self, Report<Error>> {
        let failed = || Error::Start(launch.name.clone());
        let log = File::options().create(true).append(true).open(&launch.log);
        let mut child = Command::new(&launch.binary)
            .args(&launch.args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log.change_context(Error::Directory)?)
            .spawn()
            .change_context_lazy(failed)?;
        let (sender, first_line) = mpsc::sync_channel(1);
        let output = child.stdout.take().expect("standard output is piped");
        let output_reader = thread::Builder::new()
            .name(format!("{} output", launch.name))
            .spawn(move || read_output(output, &sender));
        let input = child.stdin.take();
        let mut process = Self {
            name: launch.name.clone(),
            log: launch.log.clone(),
            child,
            _input: None,
            first_line: Mutex::new(first_line),
            output_reader: Some(output_reader.change_context_lazy(failed)?),
        };
        process._input = write_input(input, launch.input.as_deref()).change_context_lazy(failed)?;
        Ok(process)
    }

    /// Waits until the process reports that it is ready.
    ///
    /// # Errors
    /// Returns [`Error::NotReady`] with the end of its log if it ends, prints another line or takes too long.
    pub fn wait_until_ready(&self, timeout: Duration) -> Result<Ready, Report<Error>> {
        let failed = || Report::new(Error::NotReady(self.name.clone())).attach(self.log_tail());
        let first_line = self.first_line.lock().unwrap_or_else(PoisonError::into_inner);
        let line = first_line.recv_timeout(timeout).map_err(|_| failed())?;
        serde_json::from_str(&line).map_err(|_| failed().attach(line))
    }

    /// Returns the name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process ID.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process is running or paused, but not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the log of the process so far.
    #[must_use]
    pub fn log(&self) -> String {
        fs::read(&self.log)
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            .unwrap_or_default()
    }

    fn log_tail(&self) -> String {
        let log = self.log();
        let start = log.len().saturating_sub(LOG_TAIL_BYTES);
        String::from_utf8_lossy(&log.as_bytes()[start..]).into_owned()
    }

    /// Kills the process (`SIGKILL`) and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses the process until it is resumed (`SIGSTOP`).
    ///
    /// # Errors
    /// Returns [`Error::Ended`] if it has ended.
    pub fn pause(&mut self) -> Result<(), Report<Error>> {
        self.signal(Signal::STOP)
    }

    /// Resumes a paused process (`SIGCONT`).
    ///
    /// # Errors
    /// Returns [`Error::Ended`] if it has ended.
    pub fn resume(&mut self) -> Result<(), Report<Error>> {
        self.signal(Signal::CONT)
    }

    /// Requests an orderly shutdown of the process (`SIGTERM`).
    ///
    /// # Errors
    /// Returns [`Error::Ended`] if it has ended.
    pub fn terminate(&mut self) -> Result<(), Report<Error>> {
        self.signal(Signal::TERM)
    }

    /// Waits until the process has ended and returns its exit status.
    ///
    /// # Errors
    /// Returns [`Error::NotEnded`] if it doesn't end before the timeout.
    pub fn wait(&mut self, timeout: Duration) -> Result<ExitStatus, Report<Error>> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(Report::new(Error::NotEnded(self.name.clone())));
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Sends a signal; the child isn't reaped yet, so its process ID can't have been reused.
    fn signal(&mut self, signal: Signal) -> Result<(), Report<Error>> {
        let ended = || Error::Ended(self.name.clone());
        if !matches!(self.child.try_wait(), Ok(None)) {
            return Err(Report::new(ended()));
        }
        rustix::process::kill_process(Pid::from_child(&self.child), signal)
            .change_context_lazy(ended)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if let Some(output_reader) = self.output_reader.take() {
            let _ = output_reader.join();
        }
    }
}

/// Writes the text to standard input and closes it, or keeps it open if there is no text.
fn write_input(
    input: Option<ChildStdin>,
    text: Option<&str>,
) -> std::io::Result<Option<ChildStdin>> {
    match (input, text) {
        (Some(mut input), Some(text)) => input.write_all(text.as_bytes()).map(|()| None),
        (input, _) => Ok(input),
    }
}

/// Sends the first line to the receiver and discards the rest, so that the process never blocks on a full pipe.
fn read_output(output: ChildStdout, first_line: &SyncSender<String>) {
    let mut output = BufReader::new(output);
    let mut line = String::new();
    while output.read_line(&mut line).is_ok_and(|count| count > 0) {
        let _ = first_line.try_send(std::mem::take(&mut line));
    }
}
