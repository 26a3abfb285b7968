//! A fault-injecting proxy: many links in one process, each of which can be cut, delayed and stalled.

mod link;
mod tcp;
mod udp;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::Method;
use http::StatusCode;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::proxy::link::Link;
use crate::reply;
use crate::reply::Answer;
use crate::reply::Reply;
use crate::server;
use crate::server::Call;
use crate::server::Connections;

pub use link::Change;
pub use link::Kind;
pub use link::Traffic;

/// The maximum number of new links that wait for their task.
const MAX_PENDING_LINKS: usize = 64;

/// The request to create a link.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct NewLink {
    /// The name of the link.
    pub name: String,
    /// The transport protocol of the link.
    pub kind: Kind,
    /// The address that the link forwards to.
    pub target: SocketAddr,
}

/// A new link with its bound socket.
enum BoundLink {
    Tcp(TcpListener, Arc<Link>),
    Udp(tokio::net::UdpSocket, Arc<Link>),
}

struct Proxy {
    links: Mutex<IndexMap<String, Arc<Link>>>,
    bound_links: mpsc::Sender<BoundLink>,
}

/// Serves the control interface and all links until the listener fails.
///
/// # Errors
/// Returns the error of the operating system.
pub async fn run(listener: TcpListener) -> io::Result<()> {
    let (bound_links, queue) = mpsc::channel(MAX_PENDING_LINKS);
    let proxy = Arc::new(Proxy { links: Mutex::new(IndexMap::new()), bound_links });
    let handle = move |call| {
        let proxy = Arc::clone(&proxy);
        async move { proxy.answer(call).await }
    };
    tokio::select! {
        served = server::run(Arc::new(Connections::default()), listener, handle) => served,
        () = run_links(queue) => Ok(()),
    }
}

/// Runs a task for each link that is received.
async fn run_links(mut queue: mpsc::Receiver<BoundLink>) {
    let mut tasks = JoinSet::new();
    while let Some(bound) = queue.recv().await {
        match bound {
            BoundLink::Tcp(listener, link) => tasks.spawn(tcp::run(listener, link)),
            BoundLink::Udp(socket, link) => tasks.spawn(udp::run(socket, link)),
        };
    }
}

impl Proxy {
    fn links(&self) -> MutexGuard<'_, IndexMap<String, Arc<Link>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, call: Call) -> Reply {
        let (parts, body) = call.request.into_parts();
        let bytes = reply::read_body(body).await?;
        let path = parts.uri.path().strip_prefix("/control/links");
        let name = path.map(|path| path.trim_start_matches('/'));
        match (&parts.method, name) {
            (&Method::POST, Some("")) => Ok(self.create(&bytes).await),
            (&Method::PUT, Some("")) => {
                let prefix = reply::query::<String>(&parts.uri, "prefix").unwrap_or_default();
                Ok(self.change(&bytes, |name| name.starts_with(&prefix)))
            }
            (&Method::PUT, Some(wanted)) => Ok(self.change(&bytes, |name| name == wanted)),
            (&Method::GET, Some("")) => {
                let links = self.links();
                let traffic: Vec<Traffic> = links.values().map(|link| link.traffic()).collect();
                Ok(reply::json(StatusCode::OK, &json!({ "links": traffic })))
            }
            _ => Ok(reply::empty(StatusCode::NOT_FOUND)),
        }
    }

    fn change<F: Fn(&str) -> bool>(&self, bytes: &[u8], is_wanted: F) -> Answer {
        let change: Change = match reply::parse(bytes) {
            Ok(change) => change,
            Err(answer) => return answer,
        };
        let links = self.links();
        let wanted = links.iter().filter(|(name, _)| is_wanted(name));
        let changed = wanted.map(|(_, link)| link.apply(change)).count();
        reply::json(StatusCode::OK, &json!({ "changed": changed }))
    }

    async fn create(&self, bytes: &[u8]) -> Answer {
        let request: NewLink = match reply::parse(bytes) {
            Ok(request) => request,
            Err(answer) => return answer,
        };
        match self.start(request).await {
            Ok(address) => reply::json(StatusCode::OK, &json!({ "listen": address.to_string() })),
            Err(error) => {
                let detail = json!({ "detail": error.to_string() });
                reply::json(StatusCode::INTERNAL_SERVER_ERROR, &detail)
            }
        }
    }

    async fn start(&self, request: NewLink) -> io::Result<SocketAddr> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let link = Arc::new(Link::new(&request.name, request.kind, request.target));
        let (address, bound) = match request.kind {
            Kind::Tcp => {
                let listener = server::bind(any)?;
                (listener.local_addr()?, BoundLink::Tcp(listener, Arc::clone(&link)))
            }
            Kind::Udp => {
                let socket = tokio::net::UdpSocket::bind(any).await?;
                (socket.local_addr()?, BoundLink::Udp(socket, Arc::clone(&link)))
            }
        };
        self.links().insert(request.name, link);
        self.bound_links.send(bound).await.map_err(io::Error::other)?;
        Ok(address)
    }
}
