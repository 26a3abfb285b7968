//! The outgoing link to one peer. It connects when there is something to send, and reconnects when the peer is
//! unresponsive.

mod connection;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use base::Name;
use quinn::Connection;
use quinn::Endpoint;
use quinn::VarInt;
use rand::Rng;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;
use tokio::time::timeout;

use self::connection::End;
use crate::core::Core;
use crate::core::lock;
use crate::session::Outbox;

/// Maximum number of queued frames for one peer.
const FRAME_QUEUE_LIMIT: usize = 1_024;
/// Maximum number of queued membership messages for one peer.
const MESSAGE_QUEUE_LIMIT: usize = 64;
/// Time for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum delay after a failed connection.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay after a failed connection.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Time for the last packets to leave at shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// A membership message, or a request for a new connection.
#[derive(Debug)]
enum Command {
    Send(Vec<u8>),
    Reconnect,
}

/// A frame, or the point in the queue from which frames are for a process that became known after the link was opened.
#[derive(Debug)]
enum Item {
    Frame(Vec<u8>),
    Renew,
}

/// The sending side of a link.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    frames: Sender<Item>,
    commands: Sender<Command>,
}

impl Handle {
    /// Queues a frame, and returns whether the queue had capacity for it.
    pub(crate) fn send_frame(&self, frame: Vec<u8>) -> bool {
        self.frames.try_send(Item::Frame(frame)).is_ok()
    }

    /// Requests that frames queued later are sent on a connection opened from now on, and returns whether the queue
    /// had capacity for the request.
    ///
    /// It is for a link that may have been opened to an earlier process than the one which has become known.
    pub(crate) fn renew(&self) -> bool {
        self.frames.try_send(Item::Renew).is_ok()
    }

    /// Queues a membership message. It is dropped when the queue is full.
    pub(crate) fn send_message(&self, message: Vec<u8>) {
        let _lost = self.commands.try_send(Command::Send(message));
    }

    /// Requests a new connection, which is opened before anything queued later is sent.
    pub(crate) fn reconnect(&self) {
        let _lost = self.commands.try_send(Command::Reconnect);
    }
}

impl Item {
    fn into_frame(self) -> Option<Vec<u8>> {
        match self {
            Self::Frame(frame) => Some(frame),
            Self::Renew => None,
        }
    }
}

/// The frames and commands that wait to be sent.
#[derive(Debug)]
struct Pending {
    frames: Receiver<Item>,
    commands: Receiver<Command>,
    /// The frames that are sent before those in the queue.
    next_frames: VecDeque<Vec<u8>>,
    next_command: Option<Command>,
    outbox: Mutex<Outbox>,
}

impl Pending {
    /// Waits for something to send, and returns false when the queues are closed.
    async fn wait(&mut self) -> bool {
        while self.next_frames.is_empty() && self.next_command.is_none() {
            tokio::select! {
                Some(item) = self.frames.recv() => self.next_frames.extend(item.into_frame()),
                Some(command) = self.commands.recv() => self.next_command = Some(command),
                else => return false,
            }
        }
        true
    }

    /// Returns whether another link has taken the place of this one.
    fn is_replaced(&self) -> bool {
        self.commands.is_closed()
    }

    /// Drops everything but the frames for a process that has become known since, and returns the number of dropped
    /// frames.
    fn clear(&mut self) -> u64 {
        let mut dropped = lock(&self.outbox).clear();
        let mut is_renewed = false;
        while let Ok(item) = self.frames.try_recv() {
            match item {
                Item::Frame(frame) => self.next_frames.push_back(frame),
                Item::Renew => {
                    is_renewed = true;
                    dropped += self.drop_next_frames();
                }
            }
        }
        if !is_renewed {
            dropped += self.drop_next_frames();
        }
        self.next_command = None;
        while self.commands.try_recv().is_ok() {}
        dropped
    }

    fn drop_next_frames(&mut self) -> u64 {
        self.next_frames.drain(..).count() as u64
    }
}

/// An open connection with its own socket.
struct Transport {
    endpoint: Endpoint,
    connection: Connection,
}

/// Starts the link to a peer.
pub(crate) fn open(core: &Arc<Core>, peer: &Name) -> Handle {
    let (frame_sender, frames) = mpsc::channel(FRAME_QUEUE_LIMIT);
    let (command_sender, commands) = mpsc::channel(MESSAGE_QUEUE_LIMIT);
    let outbox = Mutex::new(Outbox::new(rand::random()));
    let next_frames = VecDeque::new();
    let pending = Pending { frames, commands, next_frames, next_command: None, outbox };
    core.tasks.spawn(run(Arc::clone(core), peer.clone(), pending));
    Handle { frames: frame_sender, commands: command_sender }
}

async fn run(core: Arc<Core>, peer: Name, mut pending: Pending) {
    let mut failures = 0;
    let mut reconnects_at_once = false;
    loop {
        if !reconnects_at_once && !wait_to_send(&core, &mut pending).await {
            return;
        }
        let transport = tokio::select! {
            () = core.stop.cancelled() => return,
            transport = connect(&core, &peer) => transport,
        };
        if pending.is_replaced() {
            return;
        }
        let Some(transport) = transport else {
            reconnects_at_once = false;
            failures += 1;
            if !back_off(&core, &mut pending, failures).await {
                return;
            }
            continue;
        };
        failures = 0;
        let end = run_connection(&core, &peer, &mut pending, transport).await;
        log::debug!("mesh: link to {peer} ended: {end}");
        if end == End::Stopped {
            return;
        }
        reconnects_at_once = end == End::Unresponsive;
    }
}

async fn wait_to_send(core: &Core, pending: &mut Pending) -> bool {
    tokio::select! {
        () = core.stop.cancelled() => false,
        has_more = pending.wait() => has_more,
    }
}

/// Waits after a failed connection, and drops everything that is queued by then.
async fn back_off(core: &Core, pending: &mut Pending, failures: u32) -> bool {
    let max_delay = MIN_BACKOFF.saturating_mul(1 << failures.min(5)).min(MAX_BACKOFF);
    let delay = max_delay.mul_f64(rand::rng().random_range(0.5..1.0));
    let is_running = tokio::select! {
        () = core.stop.cancelled() => false,
        () = sleep(delay) => true,
    };
    core.counters.frames_dropped.fetch_add(pending.clear(), Relaxed);
    is_running
}

/// Opens a connection from a new socket, which also works when a NAT or firewall on the path has lost the state of the
/// previous flow.
async fn connect(core: &Core, peer: &Name) -> Option<Transport> {
    let address = core.address(peer)?;
    let mut local = core.settings.listen;
    local.set_port(0);
    let endpoint = Endpoint::client(local).ok()?;
    core.counters.connects.fetch_add(1, Relaxed);
    let connecting = endpoint.connect_with(core.client.clone(), address, peer.as_str()).ok()?;
    match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(connection)) => Some(Transport { endpoint, connection }),
        Ok(Err(error)) => {
            log::debug!("mesh: cannot open a link to {peer}: {error}");
            None
        }
        Err(_) => None,
    }
}

/// Sends on one connection until it ends.
async fn run_connection(
    core: &Arc<Core>,
    peer: &Name,
    pending: &mut Pending,
    transport: Transport,
) -> End {
    core.counters.links.fetch_add(1, Relaxed);
    let end = connection::run(core, peer, pending, &transport.connection).await;
    core.counters.links.fetch_sub(1, Relaxed);
    transport.connection.close(VarInt::from_u32(0), b"");
    if end == End::Stopped {
        let _late = timeout(CLOSE_TIMEOUT, transport.endpoint.wait_idle()).await;
    }
    end
}
