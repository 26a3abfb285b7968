//! Incoming links: only a peer with a trusted certificate that carries its name is heard.

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
use crate::hello;
use crate::hello::Hello;
use crate::identity::carries_name;
use crate::lane::Lane;

/// Time for a peer to prove who it is.
const GREET_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from one confirmation of received frames to the next.
const CONFIRM_PERIOD: Duration = Duration::from_secs(1);
/// Incoming connections that may be open at the same time.
const CONNECTION_LIMIT: usize = 2_048;
/// Time from one count of the traffic to the next.
const METER_PERIOD: Duration = Duration::from_millis(500);
/// Time for the last packets at the end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// The close code for a peer that is not heard.
const REFUSED: VarInt = VarInt::from_u32(1);

/// A peer that has proved who it is.
struct Guest {
    name: Name,
    lane: u64,
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
                    core.tasks.spawn(serve(Arc::clone(&core), incoming));
                }
                None => break,
            },
        }
    }
    endpoint.close(VarInt::from_u32(0), b"");
    let _late = timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await;
}

async fn serve(core: Arc<Core>, incoming: Incoming) {
    let address = incoming.remote_address();
    let connection = match timeout(GREET_TIMEOUT, incoming).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            log::warn!("mesh: refused a link from {address}: {error}");
            return;
        }
        Err(_) => return,
    };
    let greeted = tokio::select! {
        () = core.stop.cancelled() => None,
        greeted = timeout(GREET_TIMEOUT, greet(&core, &connection)) => greeted.ok().flatten(),
    };
    match greeted {
        Some(guest) => {
            hear(&core, guest, &connection).await;
            connection.close(VarInt::from_u32(0), b"");
        }
        None => {
            log::warn!("mesh: refused a link from {address}");
            connection.close(REFUSED, b"");
        }
    }
}

/// Reads who the peer is and returns it when its certificate bears it out.
async fn greet(core: &Arc<Core>, connection: &Connection) -> Option<Guest> {
    let mut stream = connection.accept_uni().await.ok()?;
    let mut hello: Hello = hello::decode(&mut stream).await?;
    let name = hello.record.name.clone();
    if !proves(connection, &name) {
        log::warn!("mesh: a peer says that it is {name}, but its certificate does not");
        return None;
    }
    if hello.record.address.ip().is_unspecified() {
        hello.record.address.set_ip(connection.remote_address().ip());
    }
    if !core.greet(&hello) {
        log::warn!("mesh: router {name} is not on the instance list, or an older process of it");
        return None;
    }
    Some(Guest { name, lane: hello.lane, stream })
}

fn proves(connection: &Connection, name: &Name) -> bool {
    let Some(identity) = connection.peer_identity() else { return false };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else { return false };
    chain.first().is_some_and(|certificate| carries_name(certificate, name))
}

/// Hears a peer until its link ends or a newer one of the same peer takes its place.
async fn hear(core: &Arc<Core>, guest: Guest, connection: &Connection) {
    let peer = guest.name.clone();
    let (replaced, lane) = replace(core, &peer);
    core.live.incoming.fetch_add(1, Relaxed);
    let mut meter = Meter::default();
    tokio::select! {
        () = core.stop.cancelled() => {}
        () = replaced.cancelled() => {}
        _ = read_frames(core, guest, connection, &lane) => {}
        () = read_datagrams(core, &peer, connection) => {}
        () = count(core, connection, &mut meter) => {}
    }
    meter.update(connection, &core.live);
    core.live.incoming.fetch_sub(1, Relaxed);
}

/// Ends the older connection of a peer.
fn replace(core: &Core, peer: &Name) -> (CancellationToken, Arc<Mutex<Lane>>) {
    let mut incoming = lock(&core.incoming);
    let entry = incoming.entry(peer.clone()).or_default();
    entry.replaced.cancel();
    entry.replaced = CancellationToken::new();
    (entry.replaced.clone(), Arc::clone(&entry.lane))
}

/// Reads frames from where the last connection of the peer has ended.
async fn read_frames(
    core: &Core,
    mut guest: Guest,
    connection: &Connection,
    lane: &Mutex<Lane>,
) -> Option<()> {
    let mut lane = lane.lock().await;
    let mut answers = connection.open_uni().await.ok()?;
    let welcome = lane.welcome(guest.lane);
    answers.write_all(&hello::encode(&welcome)).await.ok()?;
    lane.received = hello::decode(&mut guest.stream).await?;
    let received = AtomicU64::new(lane.received);
    tokio::select! {
        _ = confirm(&mut answers, &received) => None,
        done = deliver(core, &mut guest, &mut lane, &received) => done,
    }
}

/// Hands frames to the owner of the mesh.
async fn deliver(
    core: &Core,
    guest: &mut Guest,
    lane: &mut Lane,
    received: &AtomicU64,
) -> Option<()> {
    while let Some(bytes) = hello::read(&mut guest.stream, wire::FRAME_LIMIT).await.ok()? {
        let Ok(frame) = Frame::decode(&bytes) else {
            log::warn!("mesh: closed the link of {}, which sent no frame", guest.name);
            return None;
        };
        let event = Event::Frame { from: guest.name.clone(), frame };
        core.events.send(event).await.ok()?;
        lane.received += 1;
        received.store(lane.received, Relaxed);
        core.live.frames_received.fetch_add(1, Relaxed);
    }
    None
}

/// Tells the peer from time to time how many frames have arrived.
async fn confirm(answers: &mut SendStream, received: &AtomicU64) -> Option<()> {
    let mut told = received.load(Relaxed);
    loop {
        sleep(CONFIRM_PERIOD).await;
        let now = received.load(Relaxed);
        if now != told {
            answers.write_all(&hello::encode(&now)).await.ok()?;
            told = now;
        }
    }
}

async fn read_datagrams(core: &Arc<Core>, peer: &Name, connection: &Connection) {
    while let Ok(bytes) = connection.read_datagram().await {
        for message in core.receive(peer, &bytes) {
            let _lost = connection.send_datagram(message.encode().into());
        }
    }
}

async fn count(core: &Core, connection: &Connection, meter: &mut Meter) {
    loop {
        sleep(METER_PERIOD).await;
        meter.update(connection, &core.live);
    }
}
