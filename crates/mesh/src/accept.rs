//! Incoming links. A peer is accepted only when its certificate is trusted and carries its name.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use base::Name;
use quinn::Connection;
use quinn::Endpoint;
use quinn::Incoming;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::VarInt;
use rustls::pki_types::CertificateDer;
use tokio::sync::Mutex;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use wire::Frame;

use crate::Event;
use crate::core::Core;
use crate::core::lock;
use crate::counters::Meter;
use crate::handshake;
use crate::handshake::Hello;
use crate::identity::carries_name;
use crate::session::Inbox;

/// Time for a peer to complete the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which received frames are confirmed.
const CONFIRM_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of open incoming connections.
const CONNECTION_LIMIT: usize = 2_048;
/// Interval at which the traffic counters of a connection are updated.
const METER_PERIOD: Duration = Duration::from_millis(500);
/// Time for the last packets to leave at shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// The close code for a peer that is refused.
const REFUSED: VarInt = VarInt::from_u32(1);

/// A peer that has completed the handshake.
struct Peer {
    name: Name,
    session: u64,
    stream: RecvStream,
}

/// Accepts links until the mesh stops.
pub(crate) async fn run(core: Arc<Core>, endpoint: Endpoint) {
    loop {
        tokio::select! {
            () = core.stop.cancelled() => break,
            incoming = endpoint.accept() => match incoming {
                Some(incoming) if endpoint.open_connections() > CONNECTION_LIMIT => incoming.refuse(),
                Some(incoming) => {
                    core.tasks.spawn(handle_incoming(Arc::clone(&core), incoming));
                }
                None => break,
            },
        }
    }
    endpoint.close(VarInt::from_u32(0), b"");
    let _late = timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await;
}

async fn handle_incoming(core: Arc<Core>, incoming: Incoming) {
    let address = incoming.remote_address();
    let connection = match timeout(HANDSHAKE_TIMEOUT, incoming).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            log::warn!("mesh: refused a link from {address}: {error}");
            return;
        }
        Err(_) => return,
    };
    let accepted = tokio::select! {
        () = core.stop.cancelled() => None,
        accepted = timeout(HANDSHAKE_TIMEOUT, handshake(&core, &connection)) => accepted.ok().flatten(),
    };
    match accepted {
        Some(peer) => {
            receive(&core, peer, &connection).await;
            connection.close(VarInt::from_u32(0), b"");
        }
        None => {
            log::warn!("mesh: refused a link from {address}");
            connection.close(REFUSED, b"");
        }
    }
}

/// Reads the name of the peer, and returns the peer when its certificate carries that name.
async fn handshake(core: &Arc<Core>, connection: &Connection) -> Option<Peer> {
    let mut stream = connection.accept_uni().await.ok()?;
    let mut hello: Hello = handshake::decode(&mut stream).await?;
    let name = hello.record.name.clone();
    if !certificate_carries(connection, &name) {
        log::warn!(
            "mesh: refused a peer that identifies as {name}: its certificate does not carry the name"
        );
        return None;
    }
    if hello.record.address.ip().is_unspecified() {
        hello.record.address.set_ip(connection.remote_address().ip());
    }
    if !core.accept(&hello) {
        log::warn!(
            "mesh: refused router {name}: not on the instance list, or an earlier process of it"
        );
        return None;
    }
    Some(Peer { name, session: hello.session, stream })
}

fn certificate_carries(connection: &Connection, name: &Name) -> bool {
    let Some(identity) = connection.peer_identity() else { return false };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else { return false };
    chain.first().is_some_and(|certificate| carries_name(certificate, name))
}

/// Receives from a peer until its link ends or is replaced by a newer link of the same peer.
async fn receive(core: &Arc<Core>, peer: Peer, connection: &Connection) {
    let name = peer.name.clone();
    let (replaced, session) = replace_previous(core, &name);
    core.counters.incoming.fetch_add(1, Relaxed);
    let mut meter = Meter::default();
    tokio::select! {
        () = core.stop.cancelled() => {}
        () = replaced.cancelled() => {}
        _ = read_frames(core, peer, connection, &session) => {}
        () = read_datagrams(core, &name, connection) => {}
        () = update_counters(core, connection, &mut meter) => {}
    }
    meter.update(connection, &core.counters);
    core.counters.incoming.fetch_sub(1, Relaxed);
}

/// Ends the previous connection of a peer and returns the cancellation token and session of the new one.
fn replace_previous(core: &Core, peer: &Name) -> (CancellationToken, Arc<Mutex<Inbox>>) {
    let mut incoming = lock(&core.incoming);
    let entry = incoming.entry(peer.clone()).or_default();
    entry.replaced.cancel();
    entry.replaced = CancellationToken::new();
    (entry.replaced.clone(), Arc::clone(&entry.session))
}

/// Reads frames, continuing where the last connection of the peer ended.
async fn read_frames(
    core: &Core,
    mut peer: Peer,
    connection: &Connection,
    session: &Mutex<Inbox>,
) -> Option<()> {
    let mut session = session.lock().await;
    let mut replies = connection.open_uni().await.ok()?;
    let ack = session.begin(peer.session);
    replies.write_all(&handshake::encode(&ack)).await.ok()?;
    session.received = handshake::decode(&mut peer.stream).await?;
    let received = AtomicU64::new(session.received);
    tokio::select! {
        _ = confirm(&mut replies, &received) => None,
        done = deliver(core, &mut peer, &mut session, &received) => done,
    }
}

/// Passes received frames to the owner of the mesh as events.
async fn deliver(
    core: &Core,
    peer: &mut Peer,
    session: &mut Inbox,
    received: &AtomicU64,
) -> Option<()> {
    while let Some(bytes) = handshake::read(&mut peer.stream, wire::FRAME_LIMIT).await.ok()? {
        let Ok(frame) = Frame::decode(&bytes) else {
            log::warn!("mesh: closed the link of {}, which sent a malformed frame", peer.name);
            return None;
        };
        let event = Event::Frame { from: peer.name.clone(), frame };
        core.events.send(event).await.ok()?;
        session.received += 1;
        received.store(session.received, Relaxed);
        core.counters.frames_received.fetch_add(1, Relaxed);
    }
    None
}

/// Reports the number of received frames to the peer at intervals.
async fn confirm(replies: &mut SendStream, received: &AtomicU64) -> Option<()> {
    let mut confirmed = received.load(Relaxed);
    loop {
        sleep(CONFIRM_PERIOD).await;
        let now = received.load(Relaxed);
        if now != confirmed {
            replies.write_all(&handshake::encode(&now)).await.ok()?;
            confirmed = now;
        }
    }
}

async fn read_datagrams(core: &Arc<Core>, peer: &Name, connection: &Connection) {
    while let Ok(bytes) = connection.read_datagram().await {
        let Some((_, replies)) = core.receive(peer, &bytes) else { continue };
        for message in replies {
            let _lost = connection.send_datagram(message.encode().into());
        }
    }
}

async fn update_counters(core: &Core, connection: &Connection, meter: &mut Meter) {
    loop {
        sleep(METER_PERIOD).await;
        meter.update(connection, &core.counters);
    }
}
