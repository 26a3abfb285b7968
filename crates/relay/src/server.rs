//! Accepting of connections, and graceful shutdown that lets requests complete.

use std::cmp::Reverse;
use std::convert::Infallible;
use std::error::Error as StdError;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use budget::Budget;
use bytes::Bytes;
use futures_util::FutureExt;
use http::Request;
use http::Response;
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use indexmap::IndexMap;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task;
use tokio::task::JoinError;
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::Client;
use crate::client::Tracked;
use crate::client::Watched;

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay until a listener with the maximum number of connections looks again for one that it may close.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a connection that has just been accepted may take to send its first request when the listener stops.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The future of a response.
pub(crate) type ResponseFuture<B> = Pin<Box<dyn Future<Output = Response<B>>>>;

/// A function that answers requests.
pub type Handler<B> = Rc<dyn Fn(Request<Incoming>) -> ResponseFuture<B>>;

/// A listener on a bound address.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    idle: Duration,
    max_connections: usize,
    budget: Option<Budget>,
}

/// The open connections of a listener, by the tasks that serve them.
#[derive(Debug, Default)]
struct Connections {
    tasks: JoinSet<()>,
    clients: IndexMap<task::Id, Arc<Client>>,
}

impl Listener {
    /// Binds an address. At most `waiting` connections wait to be accepted, and connections that are idle for longer
    /// than `idle` are closed.
    ///
    /// # Errors
    /// Returns the error of the system if the address can't be bound.
    pub fn bind(address: SocketAddr, waiting: u32, idle: Duration) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(waiting)?;
        Ok(Self { listener, idle, max_connections: usize::MAX, budget: None })
    }

    /// Limits the number of connections. Beyond them, idle ones are closed, or new ones wait in the kernel.
    #[must_use]
    pub const fn max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Counts what clients do not read towards a budget.
    #[must_use]
    pub fn budget(mut self, budget: Budget) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Returns the bound address.
    ///
    /// # Errors
    /// Returns the error of the system if the address can't be read.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is cancelled, then waits for each connection to complete its request.
    ///
    /// After each accepted connection, it yields to all tasks that are ready to run. A busy process thus accepts no
    /// more connections than it serves, and the others wait in the kernel, whose queue is bounded.
    pub async fn serve<B>(self, handler: Handler<B>, stop: CancellationToken)
    where
        B: Body<Data = Bytes> + Unpin + 'static,
        B::Error: Into<Box<dyn StdError + Send + Sync>>,
    {
        let mut connections = Connections::default();
        loop {
            connections.remove_ended();
            let is_full = connections.clients.len() >= self.max_connections;
            if is_full {
                connections.make_room(self.budget.as_ref());
            }
            tokio::select! {
                accepted = self.listener.accept(), if !is_full => match accepted {
                    Ok((stream, address)) => {
                        let client = Client::new(address, self.budget.clone());
                        let (handler, idle) = (Rc::clone(&handler), self.idle);
                        connections.spawn(stream, client, handler, idle, stop.clone());
                        task::yield_now().await;
                    }
                    Err(error) => {
                        log::warn!("failed to accept a connection: {error}");
                        time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                () = connections.join_next(), if !connections.clients.is_empty() => (),
                () = time::sleep(FULL_RETRY_DELAY), if is_full => (),
                () = stop.cancelled() => break,
            }
        }
        // Connections that wait in the kernel would be reset with the listener.
        while let Some(Ok((stream, address))) =
            task::unconstrained(self.listener.accept()).now_or_never()
        {
            let client = Client::new(address, self.budget.clone());
            connections.spawn(stream, client, Rc::clone(&handler), self.idle, stop.clone());
        }
        drop(self.listener);
        while connections.tasks.join_next().await.is_some() {}
    }
}

impl Connections {
    /// Begins to serve a connection.
    fn spawn<B>(
        &mut self,
        stream: TcpStream,
        client: Arc<Client>,
        handler: Handler<B>,
        idle: Duration,
        stop: CancellationToken,
    ) where
        B: Body<Data = Bytes> + Unpin + 'static,
        B::Error: Into<Box<dyn StdError + Send + Sync>>,
    {
        let serving = connection(stream, Arc::clone(&client), handler, idle, stop);
        let id = self.tasks.spawn_local(serving).id();
        self.clients.insert(id, client);
    }

    /// Waits until a connection has ended.
    async fn join_next(&mut self) {
        let ended = self.tasks.join_next_with_id().await;
        self.remove(ended);
    }

    /// Removes all connections that have ended; those that wait to be joined must not count as open.
    fn remove_ended(&mut self) {
        while let Some(ended) = self.tasks.try_join_next_with_id() {
            self.remove(Some(ended));
        }
    }

    fn remove(&mut self, ended: Option<Result<(task::Id, ()), JoinError>>) {
        match ended {
            Some(Ok((id, ()))) => drop(self.clients.swap_remove(&id)),
            Some(Err(error)) => drop(self.clients.swap_remove(&error.id())),
            None => (),
        }
    }

    /// Closes an idle connection, or else one that makes no progress.
    ///
    /// Of the idle ones, it is one of the address with the most connections, the one that has been idle for the longest
    /// time.
    fn make_room(&self, budget: Option<&Budget>) {
        let mut counts = IndexMap::<u64, usize>::new();
        for client in self.clients.values() {
            *counts.entry(client.owner()).or_default() += 1;
        }
        let idle = self.clients.values().filter_map(|client| Some((client.idle_since()?, client)));
        let first = idle
            .min_by_key(|(since, client)| (Reverse(counts.get(&client.owner()).copied()), *since));
        let closed = first.map(|(_, client)| client.close());
        let Some(budget) = budget else { return };
        match closed {
            Some(()) => budget.record_closed(),
            None => budget.evict_stalled(),
        }
    }
}

async fn connection<B>(
    stream: TcpStream,
    client: Arc<Client>,
    handler: Handler<B>,
    idle: Duration,
    stop: CancellationToken,
) where
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    let stream = match register_anew(stream) {
        Ok(stream) => stream,
        Err(error) => {
            log::warn!("failed to register a connection: {error}");
            return;
        }
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY on a connection: {error}");
    }
    let has_request = CancellationToken::new();
    let requested = has_request.clone();
    let served = Arc::clone(&client);
    let service = service_fn(move |mut request: Request<Incoming>| {
        requested.cancel();
        served.begin();
        request.extensions_mut().insert(Arc::clone(&served));
        let (answer, client) = (handler(request), Arc::clone(&served));
        async move { Ok::<_, Infallible>(answer.await.map(|body| Tracked::new(body, client))) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(Watched::new(stream, Arc::clone(&client))), service);
    let mut serving = pin!(serving);
    let ended = tokio::select! {
        ended = &mut serving => ended,
        () = client.closed() => return,
        () = stopped_after_first_request(&stop, &has_request) => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = ended {
        log::debug!("a connection ended with an error: {error}");
    }
}

/// Registers an accepted connection again, so that it is read only after its first event.
///
/// That event also says whether the caller has closed the connection. Without it, the request of a caller that left
/// while its connection waited to be accepted would be passed on.
fn register_anew(stream: TcpStream) -> io::Result<TcpStream> {
    TcpStream::from_std(stream.into_std()?)
}

/// Waits until the listener stops and a connection has had its first request, which a shutdown would otherwise drop.
async fn stopped_after_first_request(stop: &CancellationToken, has_request: &CancellationToken) {
    stop.cancelled().await;
    // Without a request in time, there is none to drop.
    drop(time::timeout(FIRST_REQUEST_TIMEOUT, has_request.cancelled()).await);
}
