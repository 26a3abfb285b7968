//! An HTTP server whose connections can be stalled or reset and which can refuse new ones for a time.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::connection::Connection;
use crate::connection::FaultyStream;
use crate::reply::Reply;

/// The length of the queue of connections that are not accepted yet.
const ACCEPT_BACKLOG: i32 = 1024;

/// One request and the connection on which it arrived.
#[derive(Debug)]
pub struct Call {
    /// The request.
    pub request: Request<Incoming>,
    /// The connection.
    pub connection: Arc<Connection>,
}

/// The open connections of a server and its counters.
#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<IndexMap<u64, Arc<Connection>>>,
    last: AtomicU64,
    raw_bytes: Arc<AtomicU64>,
    raw_connections: AtomicU64,
    outage: Mutex<Option<Duration>>,
    outage_started: Notify,
}

impl Connections {
    /// Returns the number of bytes read on all connections, except those of control calls and load reports.
    pub fn raw_bytes(&self) -> u64 {
        self.raw_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of accepted connections, except those that began with a control call or load report.
    pub fn raw_connections(&self) -> u64 {
        self.raw_connections.load(Ordering::Relaxed)
    }

    /// Stalls all open connections permanently, except those of control calls.
    pub fn stall(&self) {
        self.data_connections().iter().for_each(|connection| connection.stall());
    }

    /// Resets all open connections, except those of control calls, and refuses new ones for a time.
    pub fn start_outage(&self, duration: Duration) {
        *self.outage.lock().unwrap_or_else(PoisonError::into_inner) = Some(duration);
        self.reset();
        self.outage_started.notify_one();
    }

    fn reset(&self) {
        self.data_connections().iter().for_each(|connection| connection.reset());
    }

    /// Returns the connections that do not carry control calls; faults apply to these.
    fn data_connections(&self) -> Vec<Arc<Connection>> {
        let connections = self.open();
        connections.values().filter(|connection| !connection.is_control()).cloned().collect()
    }

    fn open(&self) -> MutexGuard<'_, IndexMap<u64, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_in_outage(&self) -> bool {
        self.outage.lock().unwrap_or_else(PoisonError::into_inner).is_some()
    }

    fn add(&self) -> (u64, Arc<Connection>) {
        let id = self.last.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection::default());
        self.raw_connections.fetch_add(1, Ordering::Relaxed);
        self.open().insert(id, Arc::clone(&connection));
        (id, connection)
    }

    /// Attributes the bytes read so far to a request and subtracts them from the count unless the request is counted.
    fn attribute_bytes(&self, connection: &Connection, is_counted: bool) {
        let bytes = connection.take_unattributed_bytes();
        if !is_counted {
            self.raw_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
    }
}

/// Binds a listener, also to an address that was in use until recently (`SO_REUSEADDR`).
///
/// # Errors
/// Returns the error of the operating system.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    listen(&bind_socket(address)?)
}

fn bind_socket(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn listen(socket: &Socket) -> io::Result<TcpListener> {
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.try_clone()?.into())
}

/// Serves requests until the listener fails.
///
/// # Errors
/// Returns the error of the operating system.
pub async fn run<F, R>(
    connections: Arc<Connections>,
    mut listener: TcpListener,
    handle: F,
) -> io::Result<()>
where
    F: Fn(Call) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let address = listener.local_addr()?;
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let (id, connection) = connections.add();
                if connections.is_in_outage() {
                    connection.reset();
                }
                tasks
                    .spawn(serve(Arc::clone(&connections), id, connection, stream, handle.clone()));
            }
            () = connections.outage_started.notified() => {
                drop(listener);
                listener = reopen(&connections, address).await?;
            }
            Some(_) = tasks.join_next() => {}
        }
    }
}

/// Waits until the outage is over and listens again; the address stays bound meanwhile, without a listener.
async fn reopen(connections: &Connections, address: SocketAddr) -> io::Result<TcpListener> {
    let socket = bind_socket(address)?;
    connections.reset();
    let duration = *connections.outage.lock().unwrap_or_else(PoisonError::into_inner);
    tokio::time::sleep(duration.unwrap_or_default()).await;
    *connections.outage.lock().unwrap_or_else(PoisonError::into_inner) = None;
    listen(&socket)
}

async fn serve<F, R>(
    connections: Arc<Connections>,
    id: u64,
    connection: Arc<Connection>,
    stream: TcpStream,
    handle: F,
) where
    F: Fn(Call) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let stream =
        FaultyStream::new(stream, Arc::clone(&connection), Arc::clone(&connections.raw_bytes));
    let is_first = AtomicBool::new(true);
    let service = service_fn(|request| {
        let first = is_first.swap(false, Ordering::Relaxed);
        let call = Call { request, connection: Arc::clone(&connection) };
        answer(Arc::clone(&connections), call, first, handle.clone())
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // `biased`: a connection that is closed before its first request gets no answer.
    tokio::select! {
        biased;
        () = connection.closed() => {}
        _ = serving => {}
    }
    connections.open().swap_remove(&id);
}

async fn answer<F, R>(connections: Arc<Connections>, call: Call, is_first: bool, handle: F) -> Reply
where
    F: Fn(Call) -> R,
    R: Future<Output = Reply>,
{
    let path = call.request.uri().path();
    let is_control = path.starts_with("/control");
    let is_counted = !is_control && path != "/load";
    let connection = Arc::clone(&call.connection);
    if is_control {
        connection.mark_control();
    }
    if is_first && !is_counted {
        connections.raw_connections.fetch_sub(1, Ordering::Relaxed);
    }
    connections.attribute_bytes(&connection, is_counted);
    let reply = handle(call).await;
    connections.attribute_bytes(&connection, is_counted);
    reply
}
