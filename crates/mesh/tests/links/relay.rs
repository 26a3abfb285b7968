//! A datagram relay that tracks flows by their source, as a NAT does, and can drop the state of all flows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

const DATAGRAM_LIMIT: usize = 2_048;

/// A tracked flow. Datagrams of a dropped flow are discarded.
#[derive(Clone)]
struct Flow {
    upstream: Arc<UdpSocket>,
    dropped: CancellationToken,
}

struct Table {
    socket: UdpSocket,
    target: SocketAddr,
    flows: Mutex<IndexMap<SocketAddr, Flow>>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

/// The relay.
pub(crate) struct Relay {
    table: Arc<Table>,
}

impl Relay {
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).await.expect("a socket");
        let flows = Mutex::default();
        let tasks = TaskTracker::new();
        let stop = CancellationToken::new();
        let table = Arc::new(Table { socket, target, flows, tasks, stop });
        table.tasks.spawn(forward(Arc::clone(&table)));
        Self { table }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.table.socket.local_addr().expect("a bound socket")
    }

    /// Drops the state of all flows. Datagrams of their sources are discarded from now on.
    pub(crate) fn drop_flows(&self) {
        self.table.flows().values().for_each(|flow| flow.dropped.cancel());
    }

    pub(crate) async fn stop(self) {
        self.table.stop.cancel();
        self.table.tasks.close();
        self.table.tasks.wait().await;
    }
}

impl Table {
    fn flows(&self) -> MutexGuard<'_, IndexMap<SocketAddr, Flow>> {
        self.flows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn forward(table: Arc<Table>) {
    let mut buffer = [0; DATAGRAM_LIMIT];
    loop {
        let (size, source) = tokio::select! {
            () = table.stop.cancelled() => return,
            received = table.socket.recv_from(&mut buffer) => match received {
                Ok(received) => received,
                Err(_) => continue,
            },
        };
        let flow = flow(&table, source).await;
        if !flow.dropped.is_cancelled() {
            let _lost = flow.upstream.send(&buffer[..size]).await;
        }
    }
}

async fn flow(table: &Arc<Table>, source: SocketAddr) -> Flow {
    if let Some(flow) = table.flows().get(&source) {
        return flow.clone();
    }
    let upstream = UdpSocket::bind(("127.0.0.1", 0)).await.expect("a socket");
    upstream.connect(table.target).await.expect("a target");
    let dropped = table.stop.child_token();
    let flow = Flow { upstream: Arc::new(upstream), dropped };
    table.flows().insert(source, flow.clone());
    table.tasks.spawn(forward_replies(Arc::clone(table), source, flow.clone()));
    flow
}

async fn forward_replies(table: Arc<Table>, source: SocketAddr, flow: Flow) {
    let mut buffer = [0; DATAGRAM_LIMIT];
    loop {
        let received = tokio::select! {
            () = flow.dropped.cancelled() => return,
            received = flow.upstream.recv(&mut buffer) => received,
        };
        if let Ok(size) = received {
            let _lost = table.socket.send_to(&buffer[..size], source).await;
        }
    }
}
