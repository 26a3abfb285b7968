//! One connection of an outgoing link: frames, membership messages and the watch over silence.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use base::Name;
use quinn::Connection;
use quinn::RecvStream;
use quinn::SendStream;
use strum::Display;
use tokio::sync::Notify;
use tokio::sync::mpsc::Receiver;
use tokio::time::Instant;
use tokio::time::sleep;

use super::Inbox;
use super::Probe;
use crate::core::Core;
use crate::core::lock;
use crate::counters::Meter;
use crate::hello;
use crate::hello::Hello;
use crate::lane::Outbox;

/// Time from one look at a busy connection to the next.
const WATCH_PERIOD: Duration = Duration::from_millis(100);
/// Time from one look at a quiet connection to the next.
const QUIET_PERIOD: Duration = Duration::from_millis(500);
/// Looks without a received packet, while one is due, after which a connection is silent.
const SILENT_LOOKS: u32 = 12;
/// Looks without a received packet after which a link that carries frames sends a keep-alive.
const KEEP_ALIVE_LOOKS: u32 = 9;
/// Time after the last frame for which a link is kept alive.
const ACTIVE_TIME: Duration = Duration::from_secs(10);
/// Connections younger than this are not replaced on request.
const RENEW_AGE: Duration = Duration::from_millis(200);

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum End {
    /// The mesh stops.
    Stopped,
    /// The peer no longer answers while frames flow.
    Silent,
    /// The peer has closed, or the link was idle for long.
    Closed,
    /// A new connection was asked for.
    Renewed,
}

/// What was sent on a connection.
#[derive(Debug, Clone, Copy, Default)]
struct Use {
    /// Whether a packet is due from the peer.
    is_due: bool,
    /// When the last frame was sent.
    framed: Option<Instant>,
}

/// The frames of a link.
struct Queue<'a> {
    first: &'a mut Option<Vec<u8>>,
    frames: &'a mut Receiver<Vec<u8>>,
    outbox: &'a Mutex<Outbox>,
}

impl Use {
    fn is_active(&self) -> bool {
        self.framed.is_some_and(|at| at.elapsed() < ACTIVE_TIME)
    }
}

/// Runs a connection until it ends.
pub(super) async fn run(
    core: &Arc<Core>,
    peer: &Name,
    inbox: &mut Inbox,
    connection: &Connection,
) -> End {
    let usage = Mutex::new(Use::default());
    let mut meter = Meter::default();
    let Inbox { frames, probes, frame, probe, outbox } = inbox;
    let queue = Queue { first: frame, frames, outbox };
    let end = tokio::select! {
        () = core.stop.cancelled() => End::Stopped,
        _ = send_frames(core, connection, queue, &usage) => End::Closed,
        end = send_probes(connection, probe, probes, &usage) => end,
        end = receive(core, peer, connection) => end,
        end = watch(core, connection, &mut meter, &usage) => end,
    };
    meter.update(connection, &core.live);
    let is_active = lock(&usage).is_active();
    if end == End::Closed && is_active { End::Silent } else { end }
}

/// Says who this router is, goes on where the last connection has ended, then sends frames.
async fn send_frames(
    core: &Core,
    connection: &Connection,
    queue: Queue<'_>,
    usage: &Mutex<Use>,
) -> Option<()> {
    let lane = lock(queue.outbox).id;
    let hello =
        core.with(|swim| Hello { record: swim.record().clone(), version: swim.version(), lane });
    let mut stream = connection.open_uni().await.ok()?;
    stream.write_all(&hello::encode(&hello)).await.ok()?;
    let mut answers = connection.accept_uni().await.ok()?;
    let welcome = hello::decode(&mut answers).await?;
    let resume = lock(queue.outbox).resume(welcome);
    core.live.frames_dropped.fetch_add(resume.dropped, Relaxed);
    stream.write_all(&hello::encode(&resume.first)).await.ok()?;
    for frame in resume.frames {
        write(&mut stream, &frame, usage).await?;
    }
    let room = Notify::new();
    let outbox = queue.outbox;
    tokio::select! {
        none = take_confirmations(&mut answers, outbox, &room) => none,
        none = send_queue(core, &mut stream, queue, &room, usage) => none,
    }
}

async fn send_queue(
    core: &Core,
    stream: &mut SendStream,
    queue: Queue<'_>,
    room: &Notify,
    usage: &Mutex<Use>,
) -> Option<()> {
    loop {
        while lock(queue.outbox).is_full() {
            room.notified().await;
        }
        let frame = match queue.first.take() {
            Some(frame) => frame,
            None => queue.frames.recv().await?,
        };
        lock(queue.outbox).push(frame.clone());
        core.live.frames_sent.fetch_add(1, Relaxed);
        write(stream, &frame, usage).await?;
    }
}

async fn take_confirmations(
    answers: &mut RecvStream,
    outbox: &Mutex<Outbox>,
    room: &Notify,
) -> Option<()> {
    loop {
        let received = hello::decode(answers).await?;
        lock(outbox).confirm(received);
        room.notify_one();
    }
}

async fn write(stream: &mut SendStream, frame: &[u8], usage: &Mutex<Use>) -> Option<()> {
    *lock(usage) = Use { is_due: true, framed: Some(Instant::now()) };
    stream.write_all(&hello::delimited(frame)).await.ok()
}

async fn send_probes(
    connection: &Connection,
    first: &mut Option<Probe>,
    probes: &mut Receiver<Probe>,
    usage: &Mutex<Use>,
) -> End {
    let opened = Instant::now();
    loop {
        let next = match first.take() {
            Some(probe) => Some(probe),
            None => probes.recv().await,
        };
        match next {
            None => return End::Stopped,
            Some(Probe::Renew) if opened.elapsed() >= RENEW_AGE => return End::Renewed,
            Some(Probe::Renew) => {}
            Some(Probe::Send(message)) => {
                lock(usage).is_due = true;
                let _lost = connection.send_datagram(message.into());
            }
        }
    }
}

async fn receive(core: &Arc<Core>, peer: &Name, connection: &Connection) -> End {
    while let Ok(bytes) = connection.read_datagram().await {
        for message in core.receive(peer, &bytes) {
            let _lost = connection.send_datagram(message.encode().into());
        }
    }
    End::Closed
}

/// Counts looks, not time, so that a paused process does not take its own pause for silence of the peer.
async fn watch(core: &Core, connection: &Connection, meter: &mut Meter, usage: &Mutex<Use>) -> End {
    let mut received = 0;
    let mut looks = 0;
    loop {
        let now = *lock(usage);
        let is_busy = now.is_due || now.is_active();
        sleep(if is_busy { WATCH_PERIOD } else { QUIET_PERIOD }).await;
        let count = meter.update(connection, &core.live);
        if count != received {
            received = count;
            looks = 0;
            lock(usage).is_due = false;
            continue;
        }
        looks = if is_busy { looks + 1 } else { 0 };
        if now.is_due && looks >= SILENT_LOOKS {
            return End::Silent;
        }
        if now.is_active() && !now.is_due && looks >= KEEP_ALIVE_LOOKS {
            lock(usage).is_due = true;
            let _lost = connection.send_datagram(Vec::new().into());
        }
    }
}
