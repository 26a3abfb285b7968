//! Helpers that run the command line, and a fake router.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;

/// The operators' token in tests.
pub(crate) const TOKEN: &str = "secret";

/// The output and the exit code of a command.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct CommandResult {
    /// The exit code.
    pub(crate) code: Option<i32>,
    /// Standard output.
    pub(crate) output: String,
    /// Standard error.
    pub(crate) error: String,
}

/// Returns the command without arguments, with the operators' token in its environment.
pub(crate) fn aspenline() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_aspenline"));
    command.env("ASPENLINE_TOKEN", TOKEN);
    command
}

/// Runs the command with arguments.
pub(crate) fn run(args: &[&str]) -> CommandResult {
    run_with_input(args, "")
}

/// Runs the command with arguments and a text on standard input.
pub(crate) fn run_with_input(args: &[&str], input: &str) -> CommandResult {
    let mut command = aspenline();
    command.args(args).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the binary starts");
    let mut pipe = child.stdin.take().expect("standard input is piped");
    // A command that does not read its input may close it first.
    drop(pipe.write_all(input.as_bytes()));
    drop(pipe);
    command_result(&child.wait_with_output().expect("the binary ends"))
}

/// Converts the output of a process to a command result.
pub(crate) fn command_result(output: &Output) -> CommandResult {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    CommandResult {
        code: output.status.code(),
        output: text(&output.stdout),
        error: text(&output.stderr),
    }
}

/// Creates an empty directory with this name, or empties an existing one.
pub(crate) fn directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    if path.exists() {
        fs::remove_dir_all(&path).expect("an existing directory can be removed");
    }
    fs::create_dir_all(&path).expect("a directory can be created");
    path
}

/// Returns a path as text.
pub(crate) fn text(path: &Path) -> &str {
    path.to_str().expect("paths in tests are plain text")
}

/// A configured answer of a fake router.
struct Reply {
    request: &'static str,
    status: u16,
    body: String,
}

/// A fake of the operators' interface of a router.
pub(crate) struct FakeRouter {
    /// The address at which it listens.
    pub(crate) address: SocketAddr,
    replies: Arc<Mutex<Vec<Reply>>>,
    bodies: Arc<Mutex<Vec<String>>>,
    thread: Option<JoinHandle<()>>,
}

impl FakeRouter {
    /// Starts a fake router; a request without a configured answer or with a wrong token is refused with status 403.
    pub(crate) fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let replies = Arc::new(Mutex::new(Vec::new()));
        let bodies = Arc::new(Mutex::new(Vec::new()));
        let (answers, seen) = (Arc::clone(&replies), Arc::clone(&bodies));
        let serve = move || {
            for stream in listener.incoming().flatten() {
                if !exchange(stream, &answers, &seen) {
                    break;
                }
            }
        };
        let thread = thread::Builder::new().spawn(serve).expect("a thread starts");
        Self { address, replies, bodies, thread: Some(thread) }
    }

    /// Adds an answer to requests whose first line starts with `request`, such as `GET /operator/status`.
    pub(crate) fn reply(&self, request: &'static str, status: u16, body: &str) {
        let reply = Reply { request, status, body: body.to_owned() };
        self.replies.lock().expect("no panic").push(reply);
    }

    /// Returns the bodies that were received.
    pub(crate) fn bodies(&self) -> Vec<String> {
        self.bodies.lock().expect("no panic").clone()
    }
}

impl Drop for FakeRouter {
    fn drop(&mut self) {
        // A connection without a request ends the thread.
        drop(TcpStream::connect(self.address));
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the fake router does not panic");
        }
    }
}

fn exchange(stream: TcpStream, replies: &Mutex<Vec<Reply>>, bodies: &Mutex<Vec<String>>) -> bool {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    let mut header = String::new();
    let mut length = 0;
    let mut authorized = false;
    if reader.read_line(&mut line).unwrap_or(0) == 0 {
        return false;
    }
    while reader.read_line(&mut header).unwrap_or(0) > 2 {
        let field = header.trim().to_ascii_lowercase();
        if let Some(value) = field.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
        authorized |= field == format!("authorization: bearer {TOKEN}");
        header.clear();
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body arrives");
    if length > 0 {
        bodies.lock().expect("no panic").push(String::from_utf8(body).expect("plain text"));
    }
    let replies = replies.lock().expect("no panic");
    let found = replies.iter().find(|reply| authorized && line.starts_with(reply.request));
    let (status, body) = found.map_or((403, ""), |reply| (reply.status, reply.body.as_str()));
    let answer = format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    drop(reader.into_inner().write_all(answer.as_bytes()));
    true
}
