//! One connection of an outgoing link: frames, membership messages and the detection of unresponsive peers.

use std::collections::VecDeque;
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

use super::Command;
use super::Item;
use super::Pending;
use crate::core::Core;
use crate::core::lock;
use crate::counters::Meter;
use crate::handshake;
use crate::handshake::Hello;
use crate::session::Outbox;

/// Interval between checks of a busy connection.
const BUSY_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Interval between checks of an idle connection.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Checks without a received packet, while one is due, after which a peer is unresponsive.
const UNRESPONSIVE_CHECKS: u32 = 12;
/// Checks without a received packet after which a link in use sends a keep-alive.
const KEEP_ALIVE_CHECKS: u32 = 9;
/// Time after the last frame for which a link is kept alive.
const KEEP_ALIVE_TIME: Duration = Duration::from_secs(10);
/// Age from which a connection is replaced on request.
const RECONNECT_AGE: Duration = Duration::from_millis(200);

/// The reason why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum End {
    /// The mesh is stopping.
    Stopped,
    /// No packet arrived in time although one was due, or the connection closed while the link was in use.
    #[strum(serialize = "silent")]
    Unresponsive,
    /// The peer closed the connection, or it was idle for too long.
    Closed,
    /// A new connection was requested.
    #[strum(serialize = "renewed")]
    Reconnect,
}

/// The use of a connection, which decides how it is checked.
#[derive(Debug, Clone, Copy, Default)]
struct Activity {
    /// Whether a packet is due from the peer.
    is_due: bool,
    /// When the last frame was sent.
    last_frame: Option<Instant>,
    /// The process that was heard on the connection.
    incarnation: Option<u64>,
}

/// The frames of a link.
struct Queue<'a> {
    peer: &'a Name,
    first: &'a mut VecDeque<Vec<u8>>,
    frames: &'a mut Receiver<Item>,
    outbox: &'a Mutex<Outbox>,
}

impl Queue<'_> {
    /// Returns whether the connection is known to be one to the current process of the peer.
    fn is_current(&self, core: &Core, activity: &Mutex<Activity>) -> bool {
        let heard = lock(activity).incarnation;
        heard.is_some() && heard == core.incarnation(self.peer)
    }
}

impl Activity {
    fn is_active(&self) -> bool {
        self.last_frame.is_some_and(|at| at.elapsed() < KEEP_ALIVE_TIME)
    }
}

/// Runs a connection until it ends.
pub(super) async fn run(
    core: &Arc<Core>,
    peer: &Name,
    pending: &mut Pending,
    connection: &Connection,
) -> End {
    let activity = Mutex::new(Activity::default());
    let mut meter = Meter::default();
    let Pending { frames, commands, next_frames, next_command, outbox } = pending;
    let queue = Queue { peer, first: next_frames, frames, outbox };
    let end = tokio::select! {
        () = core.stop.cancelled() => End::Stopped,
        end = send_frames(core, connection, queue, &activity) => end.unwrap_or(End::Closed),
        end = send_messages(connection, next_command, commands, &activity) => end,
        end = receive(core, peer, connection, &activity) => end,
        end = monitor(core, connection, &mut meter, &activity) => end,
    };
    meter.update(connection, &core.counters);
    let is_active = lock(&activity).is_active();
    if end == End::Closed && is_active { End::Unresponsive } else { end }
}

/// Sends the first message, resumes the session where the last connection ended, then sends frames. Returns `None` when
/// the connection ends.
async fn send_frames(
    core: &Core,
    connection: &Connection,
    queue: Queue<'_>,
    activity: &Mutex<Activity>,
) -> Option<End> {
    let session = lock(queue.outbox).id;
    let hello = core.with_swim(|swim| Hello {
        record: swim.record().clone(),
        version: swim.version(),
        session,
    });
    let mut stream = connection.open_uni().await.ok()?;
    stream.write_all(&handshake::encode(&hello)).await.ok()?;
    let mut replies = connection.accept_uni().await.ok()?;
    let ack = handshake::decode(&mut replies).await?;
    let resume = lock(queue.outbox).resume(ack);
    core.counters.frames_dropped.fetch_add(resume.dropped, Relaxed);
    stream.write_all(&handshake::encode(&resume.first)).await.ok()?;
    for frame in resume.frames {
        write(&mut stream, &frame, activity).await?;
    }
    let capacity = Notify::new();
    let outbox = queue.outbox;
    tokio::select! {
        () = receive_confirmations(&mut replies, outbox, &capacity) => None,
        ended = send_queue(core, &mut stream, queue, &capacity, activity) => ended,
    }
}

async fn send_queue(
    core: &Core,
    stream: &mut SendStream,
    queue: Queue<'_>,
    capacity: &Notify,
    activity: &Mutex<Activity>,
) -> Option<End> {
    loop {
        while lock(queue.outbox).is_full() {
            capacity.notified().await;
        }
        let frame = match queue.first.pop_front() {
            Some(frame) => frame,
            None => match queue.frames.recv().await? {
                Item::Frame(frame) => frame,
                Item::Renew if queue.is_current(core, activity) => continue,
                Item::Renew => return Some(End::Reconnect),
            },
        };
        lock(queue.outbox).push(frame.clone());
        core.counters.frames_sent.fetch_add(1, Relaxed);
        write(stream, &frame, activity).await?;
    }
}

async fn receive_confirmations(
    replies: &mut RecvStream,
    outbox: &Mutex<Outbox>,
    capacity: &Notify,
) {
    while let Some(received) = handshake::decode(replies).await {
        lock(outbox).confirm(received);
        capacity.notify_one();
    }
}

async fn write(stream: &mut SendStream, frame: &[u8], activity: &Mutex<Activity>) -> Option<()> {
    {
        let mut activity = lock(activity);
        activity.is_due = true;
        activity.last_frame = Some(Instant::now());
    }
    stream.write_all(&handshake::delimited(frame)).await.ok()
}

async fn send_messages(
    connection: &Connection,
    first: &mut Option<Command>,
    commands: &mut Receiver<Command>,
    activity: &Mutex<Activity>,
) -> End {
    let opened = Instant::now();
    loop {
        let next = match first.take() {
            Some(command) => Some(command),
            None => commands.recv().await,
        };
        match next {
            None => return End::Stopped,
            Some(Command::Reconnect) if opened.elapsed() >= RECONNECT_AGE => return End::Reconnect,
            Some(Command::Reconnect) => {}
            Some(Command::Send(message)) => {
                lock(activity).is_due = true;
                let _lost = connection.send_datagram(message.into());
            }
        }
    }
}

async fn receive(
    core: &Arc<Core>,
    peer: &Name,
    connection: &Connection,
    activity: &Mutex<Activity>,
) -> End {
    while let Ok(bytes) = connection.read_datagram().await {
        let Some((incarnation, replies)) = core.receive(peer, &bytes) else { continue };
        lock(activity).incarnation = Some(incarnation);
        for message in replies {
            let _lost = connection.send_datagram(message.encode().into());
        }
    }
    End::Closed
}

/// Detects an unresponsive peer and sends keep-alives. It counts checks instead of time, so that a pause of this
/// process does not look like an unresponsive peer.
async fn monitor(
    core: &Core,
    connection: &Connection,
    meter: &mut Meter,
    activity: &Mutex<Activity>,
) -> End {
    let mut received = 0;
    let mut checks = 0;
    loop {
        let current = *lock(activity);
        let is_busy = current.is_due || current.is_active();
        sleep(if is_busy { BUSY_CHECK_PERIOD } else { IDLE_CHECK_PERIOD }).await;
        let count = meter.update(connection, &core.counters);
        if count != received {
            received = count;
            checks = 0;
            lock(activity).is_due = false;
            continue;
        }
        checks = if is_busy { checks + 1 } else { 0 };
        if current.is_due && checks >= UNRESPONSIVE_CHECKS {
            return End::Unresponsive;
        }
        if current.is_active() && !current.is_due && checks >= KEEP_ALIVE_CHECKS {
            lock(activity).is_due = true;
            let _lost = connection.send_datagram(Vec::new().into());
        }
    }
}
