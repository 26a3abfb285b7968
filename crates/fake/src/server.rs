//! An HTTP server whose connections can be stalled or reset, and which can refuse new ones for a time.

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
use crate::connection::Gate;
use crate::reply::Reply;

/// Length of the queue of connections that aren't accepted yet.
const ACCEPT_BACKLOG: i32 = 1024;

/// One request with the connection on which it came.
#[derive(Debug)]
pub struct Call {
    /// The request.
    pub request: Request<Incoming>,
    /// The connection.
    pub connection: Arc<Connection>,
}

/// All connections of a server.
#[derive(Debug, Default)]
pub struct Hub {
    connections: Mutex<IndexMap<u64, Arc<Connection>>>,
    last: AtomicU64,
    raw_bytes: Arc<AtomicU64>,
    raw_connections: AtomicU64,
    fall: Mutex<Option<Duration>>,
    fallen: Notify,
}

impl Hub {
    /// Returns the bytes read on all connections, without those of control calls and load reports.
    pub fn raw_bytes(&self) -> u64 {
        self.raw_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of connections accepted, without those that began with a control call or load report.
    pub fn raw_connections(&self) -> u64 {
        self.raw_connections.load(Ordering::Relaxed)
    }

    /// Stalls all present connections for good.
    pub fn stall(&self) {
        self.spared().iter().for_each(|connection| connection.stall());
    }

    /// Resets all present connections and refuses new ones for a time.
    pub fn fall(&self, duration: Duration) {
        *self.fall.lock().unwrap_or_else(PoisonError::into_inner) = Some(duration);
        self.reset();
        self.fallen.notify_one();
    }

    fn reset(&self) {
        self.spared().iter().for_each(|connection| connection.reset());
    }

    /// Returns all connections that don't carry control calls.
    fn spared(&self) -> Vec<Arc<Connection>> {
        let connections = self.connections();
        connections.values().filter(|connection| !connection.is_control()).cloned().collect()
    }

    fn connections(&self) -> MutexGuard<'_, IndexMap<u64, Arc<Connection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_falling(&self) -> bool {
        self.fall.lock().unwrap_or_else(PoisonError::into_inner).is_some()
    }

    fn add(&self) -> (u64, Arc<Connection>) {
        let id = self.last.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection::default());
        self.raw_connections.fetch_add(1, Ordering::Relaxed);
        self.connections().insert(id, Arc::clone(&connection));
        (id, connection)
    }

    /// Attributes the bytes read so far to a request and leaves them out of the count if it is no ordinary one.
    fn attribute(&self, connection: &Connection, is_ordinary: bool) {
        let bytes = connection.take_bytes();
        if !is_ordinary {
            self.raw_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
    }
}

/// Binds a listener that may take an address which was in use a moment ago.
///
/// # Errors
/// Returns the error of the operating system.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    listen(&reserve(address)?)
}

fn reserve(address: SocketAddr) -> io::Result<Socket> {
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

/// Serves requests until the listener breaks.
///
/// # Errors
/// Returns the error of the operating system.
pub async fn run<F, R>(hub: Arc<Hub>, mut listener: TcpListener, handle: F) -> io::Result<()>
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
                let (id, connection) = hub.add();
                if hub.is_falling() {
                    connection.reset();
                }
                tasks.spawn(serve(Arc::clone(&hub), id, connection, stream, handle.clone()));
            }
            () = hub.fallen.notified() => {
                drop(listener);
                listener = reopen(&hub, address).await?;
            }
            Some(_) = tasks.join_next() => {}
        }
    }
}

/// Waits until the fall is over and listens again; the address stays taken meanwhile.
async fn reopen(hub: &Hub, address: SocketAddr) -> io::Result<TcpListener> {
    let socket = reserve(address)?;
    hub.reset();
    let duration = *hub.fall.lock().unwrap_or_else(PoisonError::into_inner);
    tokio::time::sleep(duration.unwrap_or_default()).await;
    *hub.fall.lock().unwrap_or_else(PoisonError::into_inner) = None;
    listen(&socket)
}

async fn serve<F, R>(
    hub: Arc<Hub>,
    id: u64,
    connection: Arc<Connection>,
    stream: TcpStream,
    handle: F,
) where
    F: Fn(Call) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let gate = Gate::new(stream, Arc::clone(&connection), Arc::clone(&hub.raw_bytes));
    let is_first = AtomicBool::new(true);
    let service = service_fn(|request| {
        let first = is_first.swap(false, Ordering::Relaxed);
        let call = Call { request, connection: Arc::clone(&connection) };
        answer(Arc::clone(&hub), call, first, handle.clone())
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(gate), service);
    // A connection that is closed before its first request gets no answer.
    tokio::select! {
        biased;
        () = connection.closed() => {}
        _ = serving => {}
    }
    hub.connections().swap_remove(&id);
}

async fn answer<F, R>(hub: Arc<Hub>, call: Call, is_first: bool, handle: F) -> Reply
where
    F: Fn(Call) -> R,
    R: Future<Output = Reply>,
{
    let path = call.request.uri().path();
    let is_control = path.starts_with("/control");
    let is_ordinary = !is_control && path != "/load";
    let connection = Arc::clone(&call.connection);
    if is_control {
        connection.mark_control();
    }
    if is_first && !is_ordinary {
        hub.raw_connections.fetch_sub(1, Ordering::Relaxed);
    }
    hub.attribute(&connection, is_ordinary);
    let reply = handle(call).await;
    hub.attribute(&connection, is_ordinary);
    reply
}
