//! Memory and descriptors of a router whose clients hold incomplete bodies, unread answers or idle connections.
//!
//! Each test opens a fixed number of clients that stay, and checks only what does not depend on speed: the process lives,
//! its memory and descriptors stay under the limits of its settings, and ordinary requests are answered.

#[path = "common/router.rs"]
mod router;

use std::future::Future;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fake::endpoint::Endpoint;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time;

use crate::router::HOST;
use crate::router::Platform;
use crate::router::Router;
use crate::router::configuration;

/// The memory of the instance in the settings, in MiB.
const MEMORY_MB: u64 = 64;
/// The file descriptors of the instance in the settings, where a test lowers no further.
const MAX_DESCRIPTORS: usize = 512;
/// The file descriptors of the instance that is given very many connections.
const FEW_DESCRIPTORS: usize = 200;
/// Maximum size of a body in the configuration, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// What the clients leave out of the end of their bodies, in bytes.
const MISSING_BYTES: usize = 64 << 10;
/// The number of clients that hold bodies: together, their bodies exceed the memory of the instance.
const CLIENTS: usize = 96;
/// The number of clients that send chunks of one byte; the cost of each is several times its bytes.
const TINY_CHUNK_CLIENTS: usize = 48;
/// The number of chunks of one byte that a client sends.
const TINY_CHUNKS: usize = 128 << 10;
/// The number of clients that do not read their answers.
const SLOW_READERS: usize = 24;
/// The size of an answer that is not read, in bytes.
const ANSWER_BYTES: usize = 4 << 20;
/// The number of connections that are opened and hardly used.
const CONNECTIONS: usize = 600;
/// The number of clients that send a long body each and keep their idle connection.
const IDLE_CLIENTS: usize = 480;
/// The size of their bodies, in bytes.
const LONG_BODY_BYTES: usize = 140_000;
/// The number of clients whose requests have heads of legal size.
const LONG_HEAD_CLIENTS: usize = 1_400;
/// The headers of such a head beside the usual ones, and the size of the value of each, in bytes.
const LONG_HEAD_HEADERS: usize = 94;
const LONG_HEAD_VALUE_BYTES: usize = 156;
/// The memory of the smallest instance, in MiB.
const SMALLEST_MB: u64 = 88;
/// The file descriptors of an instance with many clients.
const MANY_DESCRIPTORS: usize = 4_096;
/// Size of the pieces in which bodies and chunks are sent, in bytes.
const PIECE_BYTES: usize = 64 << 10;
/// How long a client may take to send what it sends before the checks begin without it.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(6);
/// How long the router may take to read what the kernel holds of sent bodies, before the checks or the next bytes.
const READ_TIME: Duration = Duration::from_secs(3);
/// The time for which a slow reader waits for the first byte of its answer.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(2);
/// The time for which a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Lets one test run at a time, so that the figures of one process are not those of a busy machine.
static ALONE: Mutex<()> = Mutex::const_new(());

/// A router with limits on an otherwise idle platform.
struct Site {
    _platform: Platform,
    _runners: Vec<Endpoint>,
    router: Router,
    memory_mb: u64,
    max_descriptors: usize,
}

/// The connections that are held against the router, until they are dropped.
struct Crowd {
    _clients: JoinSet<()>,
}

fn limited_configuration(body_bytes: usize) -> Value {
    let mut configuration = configuration(1);
    configuration["limits"]["max_body_bytes"] = json!(body_bytes);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(20_000);
    }
    configuration
}

impl Site {
    async fn start(test: &str, max_descriptors: usize) -> Self {
        Self::start_with(test, MEMORY_MB, max_descriptors, MAX_BODY_BYTES).await
    }

    async fn start_with(
        test: &str,
        memory_mb: u64,
        max_descriptors: usize,
        body_bytes: usize,
    ) -> Self {
        let platform = Platform::start(test).await;
        platform.configure(&limited_configuration(body_bytes));
        let runners = platform.runners("ledger", 2).await;
        for runner in &runners {
            runner.set_answer_bytes(ANSWER_BYTES);
        }
        let mut settings = platform.settings("router-1");
        settings["memory_mb"] = json!(memory_mb);
        settings["max_descriptors"] = json!(max_descriptors);
        let router = platform.router_with("router-1", &settings).await;
        router.wait_for_runners(2).await;
        Self { _platform: platform, _runners: runners, router, memory_mb, max_descriptors }
    }

    /// Checks that the process is within its limits and answers an ordinary request.
    async fn check(&mut self, when: &str) {
        let status = self.send(when, 1 << 10).await;
        let memory = self.router.peak_memory_kib();
        let descriptors = self.router.open_descriptors();
        println!("{when}: {memory} KiB, {descriptors} descriptors, status {status}");
        assert!(self.router.is_running(), "{when}: the process has exited");
        assert!(memory < self.memory_mb << 10, "{when}: {memory} KiB");
        assert!(descriptors < self.max_descriptors, "{when}: {descriptors} descriptors");
        assert_eq!(status, StatusCode::OK, "{when}");
    }

    /// Checks the process beside a crowd and after it.
    async fn check_with(&mut self, crowd: Crowd) {
        self.check("beside the crowd").await;
        drop(crowd);
        self.check("after the crowd").await;
    }

    async fn send(&self, id: &str, bytes: usize) -> StatusCode {
        let request = Request::post("/unsafe/x")
            .header("host", HOST)
            .header("request-id", id.replace(' ', "-"))
            .header("deadline-ms", "20000")
            .body(Full::new(Bytes::from(vec![b'x'; bytes])))
            .expect("a request");
        self.router.call(request).await.status
    }
}

impl Crowd {
    /// Starts clients, each of which sends with `send` and keeps its connection afterwards.
    ///
    /// Returns when all have sent, or have been closed by the router, or are not read any further.
    async fn start<F>(
        clients: usize,
        address: SocketAddr,
        send: impl Fn(usize, TcpStream) -> F,
    ) -> Self
    where
        F: Future<Output = io::Result<TcpStream>> + Send + 'static,
    {
        let sent = Arc::new(Semaphore::new(0));
        let mut tasks = JoinSet::new();
        for number in 0..clients {
            let Some(stream) = connect(address).await else { continue };
            let sending = send(number, stream);
            let sent = Arc::clone(&sent);
            tasks.spawn(async move {
                // A client that is closed by the router has ended what it does.
                let stream = sending.await;
                sent.add_permits(1);
                pending::<()>().await;
                drop(stream);
            });
        }
        let count = u32::try_from(tasks.len()).expect("a small number");
        let all = time::timeout(SETTLE_TIMEOUT, sent.acquire_many(count)).await;
        println!("clients: {count}, all have sent: {}", all.is_ok());
        time::sleep(READ_TIME).await;
        Self { _clients: tasks }
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()
}

fn head(number: usize, framing: &str) -> String {
    format!(
        "POST /unsafe/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: c-{number}\r\n\
         deadline-ms: 20000\r\n{framing}\r\n\r\n"
    )
}

/// Returns a chunk of a chunked body.
fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Guards against incomplete bodies with a length that together exceed the memory of the instance.
#[tokio::test]
async fn bodies_that_stop_short_of_their_length_fit_the_memory() {
    let _alone = ALONE.lock().await;
    let mut site = Site::start("memory-length", MAX_DESCRIPTORS).await;
    let send = |number: usize, mut stream: TcpStream| async move {
        let framing = format!("content-length: {MAX_BODY_BYTES}");
        stream.write_all(head(number, &framing).as_bytes()).await?;
        let body = vec![b'x'; MAX_BODY_BYTES - MISSING_BYTES];
        if number.is_multiple_of(2) {
            stream.write_all(&body).await?;
        } else {
            for piece in body.chunks(PIECE_BYTES / 4) {
                stream.write_all(piece).await?;
                time::sleep(Duration::from_millis(2)).await;
            }
        }
        Ok(stream)
    };
    let crowd = Crowd::start(CLIENTS, site.router.callers, send).await;
    site.check_with(crowd).await;
}

/// Guards against chunked bodies without their last chunk that together exceed the memory of the instance.
#[tokio::test]
async fn large_chunks_without_the_last_one_fit_the_memory() {
    let _alone = ALONE.lock().await;
    let mut site = Site::start("memory-chunks", MAX_DESCRIPTORS).await;
    let send = |number: usize, mut stream: TcpStream| async move {
        stream.write_all(head(number, "transfer-encoding: chunked").as_bytes()).await?;
        for _ in 0..(MAX_BODY_BYTES - MISSING_BYTES) / PIECE_BYTES {
            stream.write_all(&chunk(PIECE_BYTES)).await?;
        }
        Ok(stream)
    };
    let crowd = Crowd::start(CLIENTS, site.router.callers, send).await;
    site.check_with(crowd).await;
}

/// Guards against chunks of one byte that are kept one by one, which costs many times their bytes.
#[tokio::test]
async fn chunks_of_one_byte_fit_the_memory() {
    let _alone = ALONE.lock().await;
    let mut site = Site::start("memory-tiny-chunks", MAX_DESCRIPTORS).await;
    let send = |number: usize, mut stream: TcpStream| async move {
        stream.write_all(head(number, "transfer-encoding: chunked").as_bytes()).await?;
        let chunks = chunk(1).repeat(1 << 10);
        for _ in 0..TINY_CHUNKS >> 10 {
            stream.write_all(&chunks).await?;
        }
        // The router takes longer to read these than other bodies.
        time::sleep(READ_TIME).await;
        Ok(stream)
    };
    let crowd = Crowd::start(TINY_CHUNK_CLIENTS, site.router.callers, send).await;
    site.check_with(crowd).await;
}

/// Guards against chunked bodies without an end, of which a little arrives now and then.
#[tokio::test]
async fn chunked_bodies_without_an_end_fit_the_memory() {
    let _alone = ALONE.lock().await;
    let mut site = Site::start("memory-endless", MAX_DESCRIPTORS).await;
    let send = |number: usize, mut stream: TcpStream| async move {
        stream.write_all(head(number, "transfer-encoding: chunked").as_bytes()).await?;
        for _ in 0..(MAX_BODY_BYTES - MISSING_BYTES) / (PIECE_BYTES / 4) {
            stream.write_all(&chunk(PIECE_BYTES / 4)).await?;
        }
        // The rest is too little to reach the limit before the checks are over.
        loop {
            stream.write_all(&chunk(16)).await?;
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    let crowd = Crowd::start(CLIENTS, site.router.callers, send).await;
    site.check_with(crowd).await;
}

/// Guards against bodies that are read although their announced length is far over the limit.
#[tokio::test]
async fn announced_bodies_far_over_the_limit_fit_the_memory() {
    let _alone = ALONE.lock().await;
    let mut site = Site::start("memory-announced", MAX_DESCRIPTORS).await;
    let send = |number: usize, mut stream: TcpStream| async move {
        let framing = format!("content-length: {}", MAX_BODY_BYTES * 64);
        stream.write_all(head(number, &framing).as_bytes()).await?;
        stream.write_all(&vec![b'x'; MAX_BODY_BYTES - MISSING_BYTES]).await?;
        Ok(stream)
    };
    let crowd = Crowd::start(CLIENTS, site.router.callers, send).await;
    site.check_with(crowd).await;
}

/// Guards against chunked bodies far over the limit that are held together up to the limit.
#[tokio::test]
async fn chunked_bodies_far_over_the_limit_fit_the_memory() {
    let _alone = ALONE.lock().await;
    let mut site = Site::start("memory-over", MAX_DESCRIPTORS).await;
    let below = Arc::new(Semaphore::new(0));
    let send = |number: usize, mut stream: TcpStream| {
        let below = Arc::clone(&below);
        async move {
            stream.write_all(head(number, "transfer-encoding: chunked").as_bytes()).await?;
            for _ in 0..(MAX_BODY_BYTES - MISSING_BYTES) / PIECE_BYTES {
                stream.write_all(&chunk(PIECE_BYTES)).await?;
            }
            // All clients hold what is below the limit before the first goes beyond it.
            below.add_permits(1);
            let all = below.acquire_many(u32::try_from(CLIENTS).expect("a small number"));
            drop(time::timeout(SETTLE_TIMEOUT / 3, all).await);
            time::sleep(READ_TIME).await;
            for _ in 0..MAX_BODY_BYTES * 8 / PIECE_BYTES {
                stream.write_all(&chunk(PIECE_BYTES)).await?;
            }
            Ok(stream)
        }
    };
    let crowd = Crowd::start(CLIENTS, site.router.callers, send).await;
    site.check_with(crowd).await;
}

/// Guards against complete answers that are held for clients which do not read them.
#[tokio::test]
async fn large_answers_that_are_not_read_fit_the_memory() {
    let _alone = ALONE.lock().await;
    let mut site = Site::start("memory-readers", MAX_DESCRIPTORS).await;
    let mut readers = JoinSet::new();
    for number in 0..SLOW_READERS {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4 << 10).expect("a buffer size");
        let mut stream = socket.connect(site.router.callers).await.expect("accepted");
        let request = head(number, "content-length: 0").replace("/x ", "/large/x ");
        stream.write_all(request.as_bytes()).await.expect("sent");
        // One answer after the other, so that the limit on incomplete answers does not refuse them.
        let mut first = [0];
        drop(time::timeout(FIRST_BYTE_TIMEOUT, stream.read(&mut first)).await);
        readers.spawn(async move {
            pending::<()>().await;
            drop(stream);
        });
    }
    site.check_with(Crowd { _clients: readers }).await;
}

/// Guards against connections without a request that take all descriptors of the process.
#[tokio::test]
async fn very_many_connections_leave_descriptors() {
    let _alone = ALONE.lock().await;
    let mut site = Site::start("memory-connections", FEW_DESCRIPTORS).await;
    let send = |number: usize, mut stream: TcpStream| async move {
        if number.is_multiple_of(2) {
            stream.write_all(b"POST /unsafe/x HTTP/1.1\r\nhost: ").await?;
        }
        Ok(stream)
    };
    let crowd = Crowd::start(CONNECTIONS, site.router.callers, send).await;
    site.check_with(crowd).await;
}

/// Guards against a limit that a single body of the largest allowed size exceeds.
#[tokio::test]
async fn a_body_of_the_full_size_is_served_without_load() {
    let _alone = ALONE.lock().await;
    let size = 4 << 20;
    let mut site = Site::start_with("memory-full-size", MEMORY_MB, MAX_DESCRIPTORS, size).await;
    for number in 0..4 {
        assert_eq!(site.send(&format!("full-{number}"), size).await, StatusCode::OK);
    }
    site.check("after large bodies").await;
}

/// Guards against connections that keep the memory of a long body while they are idle.
#[tokio::test]
async fn idle_connections_keep_no_memory_of_long_bodies() {
    let _alone = ALONE.lock().await;
    let mut site = Site::start("memory-idle", MANY_DESCRIPTORS).await;
    let mut idle = JoinSet::new();
    for number in 0..IDLE_CLIENTS {
        let mut stream = connect(site.router.callers).await.expect("accepted");
        let framing = format!("content-length: {LONG_BODY_BYTES}");
        let request = [head(number, &framing).into_bytes(), vec![b'x'; LONG_BODY_BYTES]].concat();
        stream.write_all(&request).await.expect("sent");
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.expect("an answer");
        assert_eq!(&answer, b"HTTP/1.1 200");
        idle.spawn(async move {
            pending::<()>().await;
            drop(stream);
        });
    }
    site.check_with(Crowd { _clients: idle }).await;
}

/// Guards against heads of legal size that take more memory than is counted for them.
#[tokio::test]
async fn unfinished_requests_with_long_heads_fit_the_memory() {
    let _alone = ALONE.lock().await;
    raise_descriptor_limit();
    let site = Site::start_with("memory-heads", SMALLEST_MB, MANY_DESCRIPTORS, MAX_BODY_BYTES);
    let mut site = site.await;
    let value = "v".repeat(LONG_HEAD_VALUE_BYTES);
    let headers = (0..LONG_HEAD_HEADERS).map(|header| format!("\r\nx-trace-{header:02}: {value}"));
    let framing = format!("transfer-encoding: chunked{}", headers.collect::<String>());
    let body = chunk(2 << 10);
    let crowd = Crowd::start(LONG_HEAD_CLIENTS, site.router.callers, |number, mut stream| {
        let request = [head(number, &framing).into_bytes(), body[..body.len() - 4].to_vec()];
        async move {
            stream.write_all(&request.concat()).await?;
            Ok(stream)
        }
    });
    let crowd = crowd.await;
    site.check_with(crowd).await;
}

/// Lets this process open as many descriptors as it may.
fn raise_descriptor_limit() {
    let limits = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    let raised = rustix::process::Rlimit { current: limits.maximum, ..limits };
    rustix::process::setrlimit(rustix::process::Resource::Nofile, raised).expect("the own limit");
}
