//! Accepting of connections, and graceful shutdown that lets requests complete.

use std::convert::Infallible;
use std::error::Error as StdError;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

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
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task;
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
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
        Ok(Self { listener: socket.listen(waiting)?, idle })
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
        B: Body<Data = Bytes> + 'static,
        B::Error: Into<Box<dyn StdError + Send + Sync>>,
    {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        let connection =
                            connection(stream, Rc::clone(&handler), self.idle, stop.clone());
                        connections.spawn_local(connection);
                        task::yield_now().await;
                    }
                    Err(error) => {
                        log::warn!("failed to accept a connection: {error}");
                        time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                Some(_) = connections.join_next() => (),
                () = stop.cancelled() => break,
            }
        }
        // Connections that wait in the kernel would be reset with the listener.
        while let Some(Ok((stream, _))) = task::unconstrained(self.listener.accept()).now_or_never()
        {
            connections.spawn_local(connection(
                stream,
                Rc::clone(&handler),
                self.idle,
                stop.clone(),
            ));
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }
}

async fn connection<B>(
    stream: TcpStream,
    handler: Handler<B>,
    idle: Duration,
    stop: CancellationToken,
) where
    B: Body<Data = Bytes> + 'static,
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
    let service = service_fn(move |request| {
        requested.cancel();
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let ended = tokio::select! {
        ended = &mut serving => ended,
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
