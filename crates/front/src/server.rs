//! The accept loop of a router, with a graceful shutdown that interrupts no call.

use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use gotham::router::Router;
use gotham::service::call_handler;
use gotham::state::State;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Context;
use crate::handler;

/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Bytes read beyond the header limit of the settings, so that a larger head is refused with a reason.
const HEAD_MARGIN_BYTES: usize = 64 << 10;

/// The error that prevents a server from starting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The address could not be bound.
    Bind(SocketAddr),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Bind(address) => write!(f, "cannot listen on {address}"),
        }
    }
}

impl std::error::Error for Error {}

/// A listening server.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
}

impl Server {
    /// Binds the address that callers connect to.
    ///
    /// # Errors
    /// Returns [`Error::Bind`] when the address is in use or not local.
    pub async fn bind(address: SocketAddr) -> Result<Self, Report<Error>> {
        let listener = TcpListener::bind(address).await.change_context(Error::Bind(address))?;
        let address = listener.local_addr().change_context(Error::Bind(address))?;
        Ok(Self { listener, address })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves connections until `stop` is cancelled, then completes the open ones and returns.
    pub async fn run(self, context: Arc<Context>, stop: CancellationToken) {
        let router = handler::routes(Arc::clone(&context));
        let connections = TaskTracker::new();
        let permits = Arc::new(Semaphore::new(context.settings.limits.connections));
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = accept(&self.listener, &permits) => accepted,
            };
            let Ok((stream, peer, permit)) = accepted else {
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let serving = serve(stream, peer, router.clone(), Arc::clone(&context), stop.clone());
            connections.spawn(async move {
                serving.await;
                drop(permit);
            });
        }
        drop(self.listener);
        connections.close();
        connections.wait().await;
    }
}

/// An accepted connection, the address of its peer, and its permit under the connection limit.
type Accepted = (TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit);

async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> io::Result<Accepted> {
    let permit = Arc::clone(permits).acquire_owned().await.map_err(io::Error::other)?;
    let (stream, peer) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, peer, permit))
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    router: Router,
    context: Arc<Context>,
    stop: CancellationToken,
) {
    let limits = &context.settings.limits;
    let service = service_fn(move |request: Request<Incoming>| {
        let state = State::from_request(request, peer);
        call_handler(router.clone(), AssertUnwindSafe(state))
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.header_bytes + HEAD_MARGIN_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!("front: connection of {peer} ended: {error}");
    }
}
