//! One connection of an outgoing link: frames, membership messages and the watch over silence.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use base::Name;
use quinn::Connection;
use quinn::SendStream;
use strum::Display;
use tokio::sync::mpsc::Receiver;
use tokio::time::Instant;
use tokio::time::sleep;

use super::Inbox;
use super::Probe;
use crate::core::Core;
use crate::core::lock;
use crate::counters::Meter;
use crate::hello::Hello;
use crate::hello::delimited;

/// Time from one look at a busy connection to the next.
const WATCH_PERIOD: Duration = Duration::from_millis(100);
/// Time from one look at a quiet connection to the next.
const QUIET_PERIOD: Duration = Duration::from_millis(500);
/// Looks without a received packet, while one is due, after which a connection is silent.
const SILENT_LOOKS: u32 = 12;
/// Looks without a received packet after which a link that carries frames sends a keep-alive.
const KEEP_ALIVE_LOOKS: u32 = 3;
/// Time after the last frame for which a link is kept alive.
const ACTIVE_TIME: Duration = Duration::from_secs(10);
/// Age below which a connection is not replaced on request.
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
    let Inbox { frames, probes, frame, probe } = inbox;
    let end = tokio::select! {
        () = core.stop.cancelled() => End::Stopped,
        end = send_frames(core, connection, frame, frames, &usage) => end,
        end = send_probes(connection, probe, probes, &usage) => end,
        end = receive(core, peer, connection) => end,
        end = watch(core, connection, &mut meter, &usage) => end,
    };
    meter.update(connection, &core.live);
    let is_active = lock(&usage).is_active();
    if end == End::Closed && is_active { End::Silent } else { end }
}

async fn send_frames(
    core: &Core,
    connection: &Connection,
    first: &mut Option<Vec<u8>>,
    frames: &mut Receiver<Vec<u8>>,
    usage: &Mutex<Use>,
) -> End {
    let Some(mut stream) = introduce(core, connection).await else { return End::Closed };
    loop {
        let next = match first.take() {
            Some(frame) => Some(frame),
            None => frames.recv().await,
        };
        let Some(frame) = next else { return End::Stopped };
        {
            let mut usage = lock(usage);
            usage.is_due = true;
            usage.framed = Some(Instant::now());
        }
        if stream.write_all(&delimited(&frame)).await.is_err() {
            return End::Closed;
        }
        core.live.frames_sent.fetch_add(1, Relaxed);
    }
}

/// Opens the stream and says who this router is.
async fn introduce(core: &Core, connection: &Connection) -> Option<SendStream> {
    let hello = core.with(|swim| Hello { record: swim.record().clone(), age: swim.age() });
    let bytes = postcard::to_stdvec(&hello).ok()?;
    let mut stream = connection.open_uni().await.ok()?;
    stream.write_all(&delimited(&bytes)).await.ok()?;
    Some(stream)
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
