//! The outgoing link to one peer: connects when there is something to send, and anew when the path is silent.

mod session;

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

use self::session::End;
use crate::core::Core;
use crate::core::lock;
use crate::lane::Outbox;

/// Frames that wait for one peer.
const FRAME_QUEUE: usize = 1_024;
/// Membership messages that wait for one peer.
const PROBE_QUEUE: usize = 64;
/// Time for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest wait after a failed attempt.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest wait after a failed attempt.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Time for the last packets at the end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// A membership message, or the wish for a new connection.
#[derive(Debug)]
enum Probe {
    Send(Vec<u8>),
    Renew,
}

/// The sending side of a link.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    frames: Sender<Vec<u8>>,
    probes: Sender<Probe>,
}

impl Handle {
    /// Queues a frame and returns whether there was room.
    pub(crate) fn send_frame(&self, frame: Vec<u8>) -> bool {
        self.frames.try_send(frame).is_ok()
    }

    /// Queues a membership message, which is lost when there is no room.
    pub(crate) fn send_probe(&self, message: Vec<u8>) {
        let _lost = self.probes.try_send(Probe::Send(message));
    }

    /// Asks for a new connection before anything that is queued later.
    pub(crate) fn renew(&self) {
        let _lost = self.probes.try_send(Probe::Renew);
    }
}

/// What waits to be sent.
#[derive(Debug)]
struct Inbox {
    frames: Receiver<Vec<u8>>,
    probes: Receiver<Probe>,
    frame: Option<Vec<u8>>,
    probe: Option<Probe>,
    outbox: Mutex<Outbox>,
}

impl Inbox {
    /// Waits for something to send and returns false when nothing will come.
    async fn fill(&mut self) -> bool {
        if self.frame.is_some() || self.probe.is_some() {
            return true;
        }
        tokio::select! {
            Some(frame) = self.frames.recv() => self.frame = Some(frame),
            Some(probe) = self.probes.recv() => self.probe = Some(probe),
            else => return false,
        }
        true
    }

    /// Drops all that waits and returns the number of frames.
    fn clear(&mut self) -> u64 {
        let mut dropped = u64::from(self.frame.take().is_some()) + lock(&self.outbox).clear();
        while self.frames.try_recv().is_ok() {
            dropped += 1;
        }
        self.probe = None;
        while self.probes.try_recv().is_ok() {}
        dropped
    }
}

/// An open connection on its own socket.
struct Route {
    endpoint: Endpoint,
    connection: Connection,
}

/// Starts the link to a peer.
pub(crate) fn open(core: &Arc<Core>, peer: &Name) -> Handle {
    let (frame_sender, frames) = mpsc::channel(FRAME_QUEUE);
    let (probe_sender, probes) = mpsc::channel(PROBE_QUEUE);
    let outbox = Mutex::new(Outbox::new(rand::random()));
    let inbox = Inbox { frames, probes, frame: None, probe: None, outbox };
    core.tasks.spawn(run(Arc::clone(core), peer.clone(), inbox));
    Handle { frames: frame_sender, probes: probe_sender }
}

async fn run(core: Arc<Core>, peer: Name, mut inbox: Inbox) {
    let mut failures = 0;
    let mut at_once = false;
    loop {
        if !at_once && !wait(&core, &mut inbox).await {
            return;
        }
        let route = tokio::select! {
            () = core.stop.cancelled() => return,
            route = connect(&core, &peer) => route,
        };
        let Some(route) = route else {
            at_once = false;
            failures += 1;
            if !pause(&core, &mut inbox, failures).await {
                return;
            }
            continue;
        };
        failures = 0;
        let end = carry(&core, &peer, &mut inbox, route).await;
        log::debug!("mesh: link to {peer} has ended: {end}");
        if end == End::Stopped {
            return;
        }
        at_once = end == End::Silent;
    }
}

async fn wait(core: &Core, inbox: &mut Inbox) -> bool {
    tokio::select! {
        () = core.stop.cancelled() => false,
        more = inbox.fill() => more,
    }
}

/// Waits after a failed attempt; what is sent meanwhile is dropped.
async fn pause(core: &Core, inbox: &mut Inbox, failures: u32) -> bool {
    let longest = BACKOFF_MIN.saturating_mul(1 << failures.min(5)).min(BACKOFF_MAX);
    let jittered = longest.mul_f64(rand::rng().random_range(0.5..1.0));
    let open = tokio::select! {
        () = core.stop.cancelled() => false,
        () = sleep(jittered) => true,
    };
    core.live.frames_dropped.fetch_add(inbox.clear(), Relaxed);
    open
}

/// Opens a connection from a new socket, so that a path that has lost track of an old one does not matter.
async fn connect(core: &Core, peer: &Name) -> Option<Route> {
    let address = core.address(peer)?;
    let mut local = core.settings.listen;
    local.set_port(0);
    let endpoint = Endpoint::client(local).ok()?;
    core.live.connects.fetch_add(1, Relaxed);
    let connecting = endpoint.connect_with(core.client.clone(), address, peer.as_str()).ok()?;
    match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(connection)) => Some(Route { endpoint, connection }),
        Ok(Err(error)) => {
            log::debug!("mesh: cannot open a link to {peer}: {error}");
            None
        }
        Err(_) => None,
    }
}

/// Sends on one connection until it ends.
async fn carry(core: &Arc<Core>, peer: &Name, inbox: &mut Inbox, route: Route) -> End {
    core.live.links.fetch_add(1, Relaxed);
    let end = session::run(core, peer, inbox, &route.connection).await;
    core.live.links.fetch_sub(1, Relaxed);
    route.connection.close(VarInt::from_u32(0), b"");
    if end == End::Stopped {
        let _late = timeout(CLOSE_TIMEOUT, route.endpoint.wait_idle()).await;
    }
    end
}
