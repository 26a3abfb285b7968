//! Stand-ins and helpers of the cases 6 to 10: the platform's store, runners, routers as processes, and clients.
//!
//! Only the standard library is used. Every address is a loopback address. Each process that is started is ended by its
//! own id when its handle is dropped.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// The exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// The exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Interval between two check-ins of a runner.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The lines of the record that are kept.
const MAX_LINES: usize = 4_000;

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// What was sent, answered and run, in the order in which it was seen.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<(Vec<String>, usize)>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    /// Returns the seconds since the start of the case.
    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.now_s(), text.as_ref());
        let mut lines = self.lines.lock().unwrap();
        if lines.0.len() < MAX_LINES {
            lines.0.push(line);
        } else {
            lines.1 += 1;
        }
    }

    /// Writes the record to `record.txt` in the folder of the case.
    pub fn write(&self, folder: &str, verdict: &str) {
        let lines = self.lines.lock().unwrap();
        let mut text = lines.0.join("\n");
        if lines.1 > 0 {
            text += &format!("\n({} more lines)", lines.1);
        }
        text += &format!("\n{verdict}\n");
        if let Err(error) = fs::write(format!("{folder}/record.txt"), text) {
            eprintln!("the record can't be written: {error}");
        }
        println!("{verdict}");
    }
}

/// The head and body of an HTTP/1.1 message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, v)| &**v)
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.get(1).map_or("", |word| word)
    }
}

/// Why no message was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// The channel was closed before the first byte.
    Closed,
    /// The channel was reset before the first byte.
    Reset,
    /// The channel ended inside the message.
    Partial,
    /// Nothing more came in time.
    Timeout,
}

/// A channel with the bytes that were read beyond the last message.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    /// Returns whether the peer has closed the channel, without waiting.
    pub fn is_closed(&mut self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let mut byte = [0; 1];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    fn fill(&mut self) -> Result<bool, ReadError> {
        let mut bytes = [0; 16_384];
        match self.stream.read(&mut bytes) {
            Ok(0) => Ok(false),
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(true)
            }
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Err(ReadError::Timeout),
                _ if self.buffer.is_empty() => Err(ReadError::Reset),
                _ => Err(ReadError::Partial),
            },
        }
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> Result<Message, ReadError> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let first = lines.next().unwrap_or_default().split(' ').map(str::to_owned);
                let mut message = Message { first: first.collect(), ..Message::default() };
                for line in lines {
                    if let Some((name, value)) = line.split_once(':') {
                        message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
                    }
                }
                return Ok(message);
            }
            if !self.fill()? {
                let is_empty = self.buffer.is_empty();
                return Err(if is_empty { ReadError::Closed } else { ReadError::Partial });
            }
        }
    }

    fn take(&mut self, count: usize) -> Result<Vec<u8>, ReadError> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(ReadError::Partial);
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn take_line(&mut self) -> Result<String, ReadError> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(ReadError::Partial);
            }
        }
    }

    /// Reads a whole message, whose body has a length or comes in chunks.
    pub fn read(&mut self) -> Result<Message, ReadError> {
        let mut message = self.read_head()?;
        if message.header("transfer-encoding").is_some() {
            loop {
                let line = self.take_line()?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| ReadError::Partial)?;
                let chunk = self.take(size + 2)?;
                if size == 0 {
                    return Ok(message);
                }
                message.body.extend_from_slice(&chunk[..size]);
            }
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        message.body = self.take(length.unwrap_or(0))?;
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// Returns the bytes of a response.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = std::mem::take(&mut bytes).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0u32, |number, byte| (number << 8) | u32::from(*byte))
            << (8 * (3 - group.len()));
        for position in 0..4 {
            if position > group.len() {
                text.push('=');
            } else {
                text.push(char::from(DIGITS[(number >> (18 - 6 * position)) as usize & 63]));
            }
        }
    }
    text
}

/// The platform's store: keyed topics with one partition, as the page describes them.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<HashMap<String, Vec<Vec<u8>>>>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let store = Self { address: listener.local_addr()?, topics: Arc::default() };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(Channel::new(stream)));
            }
        });
        Ok(store)
    }

    /// Appends a record that sets a key; without a value, the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.topics.0.lock().unwrap().entry(topic.to_owned()).or_default().push(record);
        self.topics.1.notify_all();
    }

    /// Writes a configuration, as the operator does.
    pub fn configure(&self, configuration: &str) {
        self.put("keyed.op", "config", configuration.as_bytes());
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(request) = channel.read() {
            let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
            let query: HashMap<&str, &str> =
                query.split('&').filter_map(|part| part.split_once('=')).collect();
            let topic = query.get("topic").copied().unwrap_or_default();
            let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
            let answer = match path {
                "/log-append" => self.append(topic, number("at"), &request.body),
                "/log-read" => self.read(topic, number("from"), number("wait_ms")),
                "/log-newest" => self.newest(topic, query.get("after").copied()),
                _ => response("404 Not Found", "", b""),
            };
            if channel.write(&answer).is_err() {
                return;
            }
        }
    }

    fn append(&self, topic: &str, at: Option<u64>, body: &[u8]) -> Vec<u8> {
        let mut topics = self.topics.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        if at.is_some_and(|at| at != offset as u64) {
            let body = format!("{{\"end\":{offset}}}");
            return response("412 Precondition Failed", "", body.as_bytes());
        }
        let mut rest = body;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + length {
                return response("400 Bad Request", "", b"");
            }
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let body = format!("{{\"offset\":{offset},\"end\":{}}}", records.len());
        self.topics.1.notify_all();
        response("200 OK", "Content-Type: application/json\r\n", body.as_bytes())
    }

    fn read(&self, topic: &str, from: Option<u64>, wait_ms: Option<u64>) -> Vec<u8> {
        let from = from.unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            let records = topics.entry(topic.to_owned()).or_default();
            if from > records.len() {
                return response("410 Gone", "", b"{\"first\":0}");
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut page = (records.len() as u64).to_be_bytes().to_vec();
                page.extend_from_slice(&0u64.to_be_bytes());
                for record in &records[from..] {
                    if page.len() + record.len() > 1 << 20 {
                        break;
                    }
                    page.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    page.extend_from_slice(record);
                }
                return response("200 OK", "", &page);
            }
            topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> Vec<u8> {
        let topics = self.topics.0.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], |records| records);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            newest.insert(key, (offset, &record[1 + length..]));
        }
        newest.retain(|key, (_, value)| {
            !value.is_empty() && after.is_none_or(|after| key.as_str() > after)
        });
        let items: Vec<String> = newest
            .iter()
            .take(500)
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{},\"end\":{}}}",
            items.join(","),
            newest.len() > 500,
            records.len()
        );
        response("200 OK", "Content-Type: application/json\r\n", body.as_bytes())
    }
}

/// A request as a runner has received it.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub runner: String,
    pub at_s: f64,
    pub request: Message,
}

impl Arrival {
    pub fn id(&self) -> &str {
        self.request.header("request-id").unwrap_or_default()
    }
}

/// What a runner does with a request.
pub enum Reaction {
    /// It runs the request for a time and answers with status 200.
    Answer { work: Duration, body: Vec<u8> },
    /// It begins to run the request and crashes; it is back after a time.
    Crash { down: Duration },
}

type React = Arc<dyn Fn(&Message) -> Reaction + Send + Sync>;

/// A runner that follows the page: it checks in, echoes ids and seals its answers.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<RunnerState>,
}

struct RunnerState {
    service: String,
    zone: String,
    slots: u32,
    store: Store,
    record: Record,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    react: React,
    /// The number of starts; a channel of an earlier start is dead.
    starts: AtomicU64,
    is_up: AtomicBool,
    born: AtomicU64,
    /// The milliseconds after a start for which the runner says that it is cold.
    cold_ms: u64,
    sequence: AtomicU64,
    running: AtomicU64,
    channels: Mutex<Vec<TcpStream>>,
}

impl Runner {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        store: &Store,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        react: impl Fn(&Message) -> Reaction + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_cold(id, service, zone, slots, store, record, arrivals, 0, react)
    }

    /// Starts a runner that says for a time that it is cold.
    #[allow(clippy::too_many_arguments)]
    pub fn start_cold(
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        store: &Store,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        cold_ms: u64,
        react: impl Fn(&Message) -> Reaction + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(RunnerState {
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            store: store.clone(),
            record: record.clone(),
            arrivals: Arc::clone(arrivals),
            react: Arc::new(react),
            starts: AtomicU64::new(1),
            is_up: AtomicBool::new(true),
            born: AtomicU64::new(unix_ms()),
            cold_ms,
            sequence: AtomicU64::new(0),
            running: AtomicU64::new(0),
            channels: Mutex::default(),
        });
        let runner = Self { id: id.to_owned(), address, shared };
        runner.check_in();
        let accepting = runner.clone();
        thread::spawn(move || accepting.accept(&listener));
        let beating = runner.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.shared.is_up.load(Ordering::SeqCst) {
                    beating.check_in();
                }
            }
        });
        Ok(runner)
    }

    /// Writes the runner's entry into the store.
    fn check_in(&self) {
        let state = &self.shared;
        let sequence = state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let born = state.born.load(Ordering::SeqCst);
        let cold_left = (born + state.cold_ms).saturating_sub(unix_ms());
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_left_ms\":{cold_left},\"seq\":{sequence},\"born\":{born}}}",
            state.service,
            self.address,
            state.zone,
            state.slots,
        );
        state.store.put("keyed.servers", &self.id, entry.as_bytes());
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if !self.shared.is_up.load(Ordering::SeqCst) {
                // The process is gone: the channel is reset at once.
                reset(&stream);
                continue;
            }
            if let Ok(copy) = stream.try_clone() {
                self.shared.channels.lock().unwrap().push(copy);
            }
            let runner = self.clone();
            let _ = thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || runner.serve(Channel::new(stream)));
        }
    }

    fn serve(&self, mut channel: Channel) {
        let state = &self.shared;
        let start = state.starts.load(Ordering::SeqCst);
        while let Ok(request) = channel.read() {
            if state.starts.load(Ordering::SeqCst) != start || !state.is_up.load(Ordering::SeqCst) {
                return;
            }
            let id = request.header("request-id").unwrap_or_default().to_owned();
            let echo = format!("Request-Id: {id}\r\n");
            let expected = request.header("expect-instance").is_none_or(|name| name == self.id);
            if !expected {
                let headers = format!("{echo}Instance-Id: {}\r\n", self.id);
                if channel.write(&response("421 Misdirected Request", &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            let at_s = state.record.now_s();
            state.arrivals.lock().unwrap().push(Arrival {
                runner: self.id.clone(),
                at_s,
                request: request.clone(),
            });
            match (state.react)(&request) {
                Reaction::Answer { work, body } => {
                    let running = state.running.fetch_add(1, Ordering::SeqCst) + 1;
                    thread::sleep(work);
                    state.running.fetch_sub(1, Ordering::SeqCst);
                    let is_same = state.starts.load(Ordering::SeqCst) == start;
                    if !is_same || !state.is_up.load(Ordering::SeqCst) {
                        return;
                    }
                    let load = format!("Runner-Load: {running},0,{}\r\n", state.slots);
                    let seal = format!("Response-Seal: {}.{id}\r\n", self.id);
                    let answer = response("200 OK", &format!("{echo}{seal}{load}"), &body);
                    if channel.write(&answer).is_err() {
                        return;
                    }
                }
                Reaction::Crash { down } => {
                    self.crash(down);
                    return;
                }
            }
        }
    }

    /// Ends all channels and refuses new ones until the runner has started again.
    fn crash(&self, down: Duration) {
        let state = &self.shared;
        if !state.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        state.record.line(format!("runner {} crashes", self.id));
        for stream in state.channels.lock().unwrap().drain(..) {
            reset(&stream);
        }
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            let state = &runner.shared;
            state.starts.fetch_add(1, Ordering::SeqCst);
            state.born.store(unix_ms(), Ordering::SeqCst);
            state.sequence.store(0, Ordering::SeqCst);
            state.is_up.store(true, Ordering::SeqCst);
            runner.check_in();
            state.record.line(format!("runner {} is back", runner.id));
        });
    }
}

fn reset(stream: &TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// The settings of a router that differ between cases; the others are those of the sheet.
pub struct Settings {
    pub name: String,
    pub zone: String,
    pub memory_mb: u32,
    pub max_descriptors: u32,
}

/// A router, started with the command of the deploy file; it is killed when dropped.
pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

/// Lets the kernel send a signal to a process when the one that has started it ends, also if that one is killed.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: std::ffi::c_ulong = 9;

unsafe extern "C" {
    fn prctl(option: i32, signal: std::ffi::c_ulong) -> i32;
}

/// Returns a loopback address with a port that is free now.
fn free_address() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok(SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), listener.local_addr()?.port()))
}

impl Router {
    /// Starts a router; files are written to `folder`, a temporary one.
    pub fn start(folder: &std::path::Path, store: &Store, settings: &Settings) -> io::Result<Self> {
        let [callers, ready, directory, metrics, peers] = [
            free_address()?,
            free_address()?,
            free_address()?,
            free_address()?,
            free_address()?,
        ];
        let Settings { name, zone, memory_mb, max_descriptors } = settings;
        let text = format!(
            "{{\"name\":\"{name}\",\"zone\":\"{zone}\",\"listen\":{{\"callers\":\"{callers}\",\
             \"ready\":\"{ready}\",\"directory\":\"{directory}\",\"metrics\":\"{metrics}\"}},\
             \"peers\":\"{peers}\",\"store\":\"{}\",\"share\":0.25,\"grace_s\":8,\
             \"memory_mb\":{memory_mb},\"max_descriptors\":{max_descriptors},\"bounds\":{{\
             \"cold_factor\":1.5,\"cold_constant\":5,\"retry_ratio\":0.2,\"retry_constant\":58,\
             \"retry_window_s\":10,\"revocation_ms\":5000,\"leaving_ms\":2000,\
             \"expose_share\":null,\"expose_slack\":null,\"rollback_ms\":null}}}}",
            store.address
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, text)?;
        let log = folder.join(format!("{name}.log"));
        let child = Self::spawn(&path, &log)?;
        let router = Self {
            name: name.clone(),
            callers,
            ready,
            directory,
            child,
            settings: path,
            log,
        };
        Ok(router)
    }

    fn spawn(settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
        let output = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new("target/release/aspenline");
        command
            .arg("platform")
            .env("ASPENLINE_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output);
        // SAFETY: between fork and exec, the closure makes one system call and allocates nothing.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        command.spawn()
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process, as `SIGKILL` does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = Self::spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until `GET /ready` gives 200.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut channel) = Channel::connect(self.ready, Duration::from_millis(500)) else {
            return false;
        };
        let _ = channel.stream.set_read_timeout(Some(Duration::from_millis(500)));
        channel.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n").is_ok()
            && channel.read().is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns a figure of `/proc/PID/status` in KiB.
    pub fn memory_kib(&self, field: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let text = text.unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(field));
        let word = line.and_then(|line| line.split_whitespace().next());
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns the lines of the log that hold a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder, which is removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("aspenline-{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Sends a request on a channel and reads the answer.
pub fn exchange(
    channel: &mut Channel,
    request: &[u8],
    timeout: Duration,
) -> Result<Message, ReadError> {
    let _ = channel.stream.set_read_timeout(Some(timeout));
    if channel.write(request).is_err() {
        return Err(ReadError::Reset);
    }
    channel.read()
}
