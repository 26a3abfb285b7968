//! Stand-ins for the review's scripts: the platform's store, runners and clients, and the start of routers.
//!
//! Only the standard library is used. The stand-ins run in the script's process; routers run as separate processes.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|e| abort(&format!("record: {e}")));
        thread::spawn(|| {
            thread::sleep(LONGEST);
            abort("it takes too long")
        });
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn at(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn write(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {}", self.at(), line.as_ref());
    }
}

/// The routers that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The longest time that a script may take.
const LONGEST: Duration = Duration::from_secs(105);

/// Ends the script as one that could not run, with all routers that it has started.
pub fn abort(text: &str) -> ! {
    eprintln!("could not run: {text}");
    for pid in STARTED.lock().map(|pids| pids.clone()).unwrap_or_default() {
        let _ = Command::new("kill").arg("-KILL").arg(pid.to_string()).status();
    }
    std::process::exit(2)
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line, in parts.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.get(1).map_or("", |p| p.split('?').next().unwrap_or(""))
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.first.get(1)?.split_once('?')?.1.to_owned();
        let found = query.split('&').find_map(|p| p.split_once('=').filter(|(n, _)| *n == name));
        found.map(|(_, v)| unescape(v))
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked"))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            if let Ok(b) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(b);
                i += 3;
                continue;
            }
        }
        out.push(bytes[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut head = Head::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    head.first = line.trim_end().splitn(3, ' ').map(str::to_owned).collect();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Some(head);
        }
        let (name, value) = text.split_once(':')?;
        head.headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

pub fn read_body(reader: &mut impl BufRead, head: &Head) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
        return Some(body);
    }
    let length = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0usize);
    body.resize(length, 0);
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Reads a chunk: `Some(None)` at the end, `None` if the channel breaks.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    Some((length > 0).then_some(chunk))
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
}

pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
    pub address: SocketAddr,
    /// The time that an answer takes.
    answer: Mutex<Duration>,
    /// Decides on an append of a caller: how long it is held back, and whether it is answered.
    on_append: Mutex<Option<Box<dyn Fn(&str, &[u8]) -> Option<Duration> + Send>>>,
    record: Record,
    /// The era, which the header `Store-Era` states; it rises by one when the store comes back from an older copy.
    era: AtomicU64,
    is_away: std::sync::atomic::AtomicBool,
}

/// A copy of the store: the number of records of each topic.
pub struct Copy(BTreeMap<String, usize>);

impl Store {
    /// Starts a store: linearizable, 4 ms an answer, at most `max_kb` (1,024) a read.
    pub fn start(record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| abort(&e.to_string()));
        let store = Arc::new(Self {
            topics: Mutex::default(),
            changed: Condvar::new(),
            address: listener.local_addr().unwrap(),
            answer: Mutex::new(ms(4)),
            on_append: Mutex::new(None),
            record: record.clone(),
            era: AtomicU64::new(0),
            is_away: std::sync::atomic::AtomicBool::new(false),
        });
        let own = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = Arc::clone(&own);
                thread::spawn(move || own.serve(stream));
            }
        });
        store
    }

    /// Holds back appends of callers: `decide` returns how long an append that gets no answer is held back.
    pub fn lose_appends(&self, decide: impl Fn(&str, &[u8]) -> Option<Duration> + Send + 'static) {
        *self.on_append.lock().unwrap() = Some(Box::new(decide));
    }

    pub fn serve_all_appends(&self) {
        *self.on_append.lock().unwrap() = None;
    }

    /// Takes a copy.
    pub fn copy(&self) -> Copy {
        let topics = self.topics.lock().unwrap();
        Copy(topics.iter().map(|(name, topic)| (name.clone(), topic.records.len())).collect())
    }

    /// Is away for a moment and comes back from a copy: what was written since is gone.
    pub fn restore(&self, copy: &Copy, away: Duration) {
        self.is_away.store(true, Ordering::SeqCst);
        thread::sleep(away);
        {
            let mut topics = self.topics.lock().unwrap();
            for (name, topic) in topics.iter_mut() {
                topic.records.truncate(copy.0.get(name).copied().unwrap_or(0));
            }
            self.era.fetch_add(1, Ordering::SeqCst);
            self.changed.notify_all();
        }
        self.is_away.store(false, Ordering::SeqCst);
    }

    /// Writes a record as the operator or a runner does; the return is the confirmation.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).unwrap()];
        record.extend(key.as_bytes());
        record.extend(value);
        assert!(record.len() <= 262_144, "record_bytes");
        self.append(topic, vec![record]);
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len();
        topic.records.extend(records);
        let end = topic.records.len();
        self.changed.notify_all();
        (offset, end)
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let topics = self.topics.lock().unwrap();
        let found = topics.get(topic)?.records.iter().rev().find(|r| split(r).0 == key)?;
        Some(split(found).1.to_vec()).filter(|value| !value.is_empty())
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_body(&mut reader, &head) else { return };
            let pause = *self.answer.lock().unwrap();
            thread::sleep(pause);
            let answer = if self.is_away.load(Ordering::SeqCst) {
                Some((503, Vec::new()))
            } else {
                self.call(&head, &body)
            };
            let Some((status, body)) = answer else {
                // The answer is lost: the channel returns nothing further.
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return;
            };
            // read_mb_per_s is 80.
            thread::sleep(Duration::from_nanos(body.len() as u64 * 1_000 / 80));
            let era = self.era.load(Ordering::SeqCst);
            let head = format!("HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n", body.len());
            let sent = writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(&body));
            if sent.is_err() {
                return;
            }
        }
    }

    fn call(self: &Arc<Self>, head: &Head, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let topic = head.query("topic").unwrap_or_default();
        Some(match (head.first[0].as_str(), head.path()) {
            ("POST", "/log-append") => {
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return Some((403, Vec::new()));
                }
                let records = records(body);
                let held = {
                    let decide = self.on_append.lock().unwrap();
                    decide.as_ref().and_then(|decide| decide(&topic, body))
                };
                if let Some(held) = held {
                    let own = Arc::clone(self);
                    own.record.write(format!("store: an append to {topic} gets no answer, done {} ms later", held.as_millis()));
                    thread::spawn(move || {
                        thread::sleep(held);
                        own.append(&topic, records);
                        own.record.write(format!("store: the late append to {topic} is done"));
                    });
                    return None;
                }
                let (offset, end) = self.append(&topic, records);
                (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
            }
            ("GET", "/log-read") => self.read(&topic, head),
            ("GET", "/log-newest") => self.newest_page(&topic, head),
            _ => (404, Vec::new()),
        })
    }

    fn read(&self, topic: &str, head: &Head) -> (u16, Vec<u8>) {
        let number = |name: &str| head.query(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let most = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + ms(number("wait_ms").unwrap_or(0).min(30_000));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], |t| &t.records[..]);
            let left = until.saturating_duration_since(Instant::now());
            if from > records.len() {
                return (410, b"{\"first\":0}".to_vec());
            }
            if from < records.len() || left.is_zero() {
                let mut out = Vec::new();
                out.extend((records.len() as u64).to_be_bytes());
                out.extend(0u64.to_be_bytes());
                for (count, record) in records.iter().skip(from).enumerate() {
                    if count > 0 && out.len() + record.len() + 4 > most {
                        break;
                    }
                    out.extend((record.len() as u32).to_be_bytes());
                    out.extend(record);
                }
                return (200, out);
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest_page(&self, topic: &str, head: &Head) -> (u16, Vec<u8>) {
        let after = head.query("after").unwrap_or_default();
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], |t| &t.records[..]);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = split(record);
            if value.is_empty() {
                newest.remove(key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let mut items = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (key, (offset, value)) in newest.iter().filter(|(key, _)| **key > after.as_str()) {
            if items.len() == 500 || (bytes > 0 && bytes + value.len() > 1_000_000) {
                has_more = true;
                break;
            }
            bytes += value.len();
            items.push(format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value)));
        }
        let (items, end) = (items.join(","), records.len());
        (200, format!("{{\"items\":[{items}],\"has_more\":{has_more},\"end\":{end}}}").into_bytes())
    }
}

fn split(record: &[u8]) -> (&str, &[u8]) {
    let length = usize::from(record[0]);
    (std::str::from_utf8(&record[1..1 + length]).unwrap_or(""), &record[1 + length..])
}

fn records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
        records.push(body[4..4 + length].to_vec());
        body = &body[4 + length..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

// ---------------------------------------------------------------- runners

/// A request at a runner.
pub struct Arrival {
    pub head: Head,
    pub body: Vec<u8>,
    pub stream: TcpStream,
    pub id: String,
    /// The number of the request on its channel, from 1.
    pub number: u64,
    is_reset: bool,
}

impl Arrival {
    /// Answers whole, with the runner's seal.
    pub fn answer(&mut self, status: u16, body: &[u8]) -> bool {
        let head = format!(
            "HTTP/1.1 {status} X\r\nRequest-Id: {}\r\nResponse-Seal: s.{}\r\nContent-Length: {}\r\n\r\n",
            self.id, self.id, body.len()
        );
        self.send(head.as_bytes()) && self.send(body)
    }

    /// States that the request has not run, since the runner is full.
    pub fn reject(&mut self) -> bool {
        let head = format!(
            "HTTP/1.1 503 X\r\nRequest-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            self.id
        );
        self.send(head.as_bytes())
    }

    /// Begins a stream of events.
    pub fn begin_stream(&mut self) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: s.{}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id, self.id
        );
        self.send(head.as_bytes())
    }

    pub fn event(&mut self, number: u64) -> bool {
        let event = format!("id: {number}\ndata: piece {number} of {}\n\n", self.id);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        self.send(chunk.as_bytes())
    }

    pub fn end_stream(&mut self) -> bool {
        self.send(b"0\r\n\r\n")
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Resets the channel.
    pub fn reset(&mut self) {
        use std::os::fd::AsRawFd;
        #[repr(C)]
        struct Linger {
            on: i32,
            seconds: i32,
        }
        unsafe extern "C" {
            fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
        }
        // SO_LINGER with no time: the close that follows is a reset.
        let linger = Linger { on: 1, seconds: 0 };
        unsafe { setsockopt(self.stream.as_raw_fd(), 1, 13, &linger, 8) };
        self.is_reset = true;
    }

    /// Whether the caller has closed the channel.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0; 1];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(n) => n == 0,
            Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    born: u128,
    seq: AtomicU64,
    warm_at: Instant,
    pub is_registered: Mutex<bool>,
}

impl Runner {
    /// Starts a runner that checks in with the store every 1.2 s; `handle` answers its requests, one a channel.
    pub fn start(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        slots: u32,
        handle: impl Fn(&mut Arrival) + Send + Sync + 'static,
    ) -> Arc<Self> {
        Self::start_cold(store, id, service, slots, 0, handle)
    }

    /// Starts a runner that is cold for a time.
    pub fn start_cold(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        slots: u32,
        cold_ms: u64,
        handle: impl Fn(&mut Arrival) + Send + Sync + 'static,
    ) -> Arc<Self> {
        let warm_at = Instant::now() + ms(cold_ms);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| abort(&e.to_string()));
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            zone: "derby".to_owned(),
            slots,
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis(),
            seq: AtomicU64::new(0),
            warm_at,
            is_registered: Mutex::new(true),
        });
        let handle = Arc::new(handle);
        let own = Arc::clone(&runner);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, handle) = (Arc::clone(&own), Arc::clone(&handle));
                thread::spawn(move || own.serve(stream, &*handle));
            }
        });
        let (own, store) = (Arc::clone(&runner), Arc::clone(store));
        thread::spawn(move || loop {
            own.check_in(&store);
            thread::sleep(ms(1_200));
        });
        runner
    }

    pub fn check_in(&self, store: &Store) {
        if !*self.is_registered.lock().unwrap() {
            return;
        }
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"cold_left_ms\":{},\"born\":{},\"seq\":{seq}}}",
            self.service, self.address, self.zone, self.slots,
            self.warm_at.saturating_duration_since(Instant::now()).as_millis(), self.born
        );
        store.put("keyed.servers", &self.id, entry.as_bytes());
    }

    fn serve(&self, stream: TcpStream, handle: &dyn Fn(&mut Arrival)) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut number = 0;
        while let Some(head) = read_head(&mut reader) {
            number += 1;
            let Some(body) = read_body(&mut reader, &head) else { return };
            let id = head.get("request-id").unwrap_or("").to_owned();
            let expected = head.get("expect-instance").unwrap_or(&self.id).to_owned();
            let mut arrival = Arrival { head, body, stream: stream.try_clone().unwrap(), id, number, is_reset: false };
            if expected != self.id {
                let head = format!("HTTP/1.1 421 X\r\nRequest-Id: {}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", arrival.id, self.id);
                arrival.send(head.as_bytes());
                continue;
            }
            handle(&mut arrival);
            if arrival.is_reset {
                return;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }
}

// ---------------------------------------------------------------- routers

pub struct Router {
    child: Child,
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

static FOLDERS: AtomicU64 = AtomicU64::new(0);

fn folder() -> PathBuf {
    let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
    let name = format!("aspenline-review-{}-{number}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&path).unwrap_or_else(|e| abort(&e.to_string()));
    path
}

fn free_port() -> SocketAddr {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| abort(&e.to_string()));
        let address = tcp.local_addr().unwrap();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Router {
    /// Starts a router with the command of the deploy file and settings as its template makes them.
    pub fn start(store: &Store, name: &str) -> Self {
        Self::start_at(store.address, name)
    }

    /// Starts a router that reaches the store at an address.
    pub fn start_at(store: SocketAddr, name: &str) -> Self {
        let [callers, ready, directory, metrics, peers] = std::array::from_fn(|_| free_port());
        let settings = format!(
            r#"{{"name":"{name}","zone":"derby","listen":{{"callers":"{callers}","ready":"{ready}","directory":"{directory}","metrics":"{metrics}"}},"peers":"{peers}","store":"{}","share":0.25,"grace_s":8,"bounds":{{"cold_factor":1.5,"cold_constant":5,"retry_ratio":0.2,"retry_constant":58,"retry_window_s":10,"revocation_ms":5000,"leaving_ms":2000}}}}"#,
            store
        );
        let folder = folder();
        let path = folder.join("settings.json");
        std::fs::write(&path, settings).unwrap_or_else(|e| abort(&e.to_string()));
        let log = folder.join("log");
        let child = Self::spawn(&path, &log);
        Self { child, name: name.to_owned(), callers, ready, directory, settings: path, log }
    }

    fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
        let output = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new("target/release/aspenline")
            .arg("platform")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("ASPENLINE_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn();
        let child = child.unwrap_or_else(|e| abort(&format!("router: {e}")));
        STARTED.lock().unwrap().push(child.id());
        child
    }

    /// Starts the process again at the same addresses, after it has ended.
    pub fn restart(&mut self) {
        self.child = Self::spawn(&self.settings, &self.log);
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").arg(format!("-{name}")).arg(pid).status();
    }

    /// Waits for the process to end; returns whether it did.
    pub fn wait(&mut self, most: Duration) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if self.has_ended() {
                return true;
            }
            thread::sleep(ms(10));
        }
        false
    }

    pub fn has_ended(&mut self) -> bool {
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            let own = self.child.id();
            STARTED.lock().unwrap().retain(|pid| *pid != own);
        }
        has_ended
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + ms(15_000);
        while Instant::now() < until {
            if let Some(reply) = get(self.ready, "/ready") {
                if reply.head.status() == 200 {
                    return;
                }
            }
            thread::sleep(ms(50));
        }
        abort(&format!("{} isn't ready; its log is {}", self.name, self.log()))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the lines of the log with a text.
    pub fn lines(&self, text: &str) -> Vec<String> {
        self.log().lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let own = self.child.id();
        STARTED.lock().unwrap().retain(|pid| *pid != own);
        if let Some(folder) = self.settings.parent() {
            if std::env::var("KEEP").is_err() {
                let _ = std::fs::remove_dir_all(folder);
            } else {
                eprintln!("log of {}: {}", self.name, self.log.display());
            }
        }
    }
}

// ---------------------------------------------------------------- clients

pub struct Reply {
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub is_whole: bool,
}

pub fn get(address: SocketAddr, path: &str) -> Option<Reply> {
    call(address, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"), b"", ms(2_000))
}

/// Sends a request on a new channel and reads its answer; `None` if there is none.
pub fn call(address: SocketAddr, head: &str, body: &[u8], most: Duration) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(most)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    if !head.is_chunked() {
        let body = read_body(&mut reader, &head);
        let is_whole = body.is_some();
        return Some(Reply { head, body: body.unwrap_or_default(), is_whole });
    }
    let mut body = Vec::new();
    let is_whole = loop {
        match read_chunk(&mut reader) {
            Some(Some(chunk)) => body.extend(chunk),
            Some(None) => break true,
            None => break false,
        }
    };
    Some(Reply { head, body, is_whole })
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// Returns a new request id.
pub fn new_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), IDS.fetch_add(1, Ordering::SeqCst))
}

pub const HOST: &str = "ficu95.example";

/// Ends the script with the verdict; `routers` are dropped, so that their processes end.
pub fn finish(record: &Record, broken: Option<String>, routers: Vec<Router>) -> ! {
    drop(routers);
    match broken {
        Some(text) => {
            record.write(format!("BROKEN: {text}"));
            println!("rule broken: {text}");
            std::process::exit(1)
        }
        None => {
            record.write("the rule held");
            println!("the rule held");
            std::process::exit(0)
        }
    }
}

// ---------------------------------------------------------------- a way that can be cut

/// A way to an address that can be cut in silence: nothing passes then, in neither direction.
pub struct Way {
    pub address: SocketAddr,
    is_cut: Arc<std::sync::atomic::AtomicBool>,
}

impl Way {
    pub fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| abort(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let is_cut = Arc::new(std::sync::atomic::AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let cut = Arc::clone(&cut);
                thread::spawn(move || {
                    while cut.load(Ordering::SeqCst) {
                        thread::sleep(ms(2));
                    }
                    let Ok(far) = TcpStream::connect(target) else { return };
                    let back = (far.try_clone().unwrap(), near.try_clone().unwrap());
                    let other = Arc::clone(&cut);
                    thread::spawn(move || pump(back.0, back.1, &other));
                    pump(near, far, &cut);
                });
            }
        });
        Self { address, is_cut }
    }

    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &std::sync::atomic::AtomicBool) {
    let _ = to.set_nodelay(true);
    let mut buffer = vec![0; 64 << 10];
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        while cut.load(Ordering::SeqCst) {
            thread::sleep(ms(2));
        }
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
