//! Incoming links: only a peer with a trusted certificate that carries its name is heard.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use base::Name;
use quinn::Connection;
use quinn::Endpoint;
use quinn::Incoming;
use quinn::RecvStream;
use quinn::VarInt;
use rustls::pki_types::CertificateDer;
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

/// Time for a peer to prove who it is.
const GREET_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest first message, in bytes.
const HELLO_LIMIT: usize = 4_096;
/// Incoming connections that may be open at the same time.
const CONNECTION_LIMIT: usize = 2_048;
/// Time from one count of the traffic to the next.
const METER_PERIOD: Duration = Duration::from_millis(500);
/// Time for the last packets at the end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// The close code for a peer that is not heard.
const REFUSED: VarInt = VarInt::from_u32(1);

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
        Some((peer, stream)) => hear(&core, &peer, &connection, stream).await,
        None => log::warn!("mesh: refused a link from {address}"),
    }
    connection.close(REFUSED, b"");
}

/// Reads who the peer is and returns its name and stream when its certificate bears it out.
async fn greet(core: &Arc<Core>, connection: &Connection) -> Option<(Name, RecvStream)> {
    let mut stream = connection.accept_uni().await.ok()?;
    let bytes = hello::read(&mut stream, HELLO_LIMIT).await.ok()??;
    let mut hello: Hello = postcard::from_bytes(&bytes).ok()?;
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
    Some((name, stream))
}

fn proves(connection: &Connection, name: &Name) -> bool {
    let Some(identity) = connection.peer_identity() else { return false };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else { return false };
    chain.first().is_some_and(|certificate| carries_name(certificate, name))
}

/// Hears a peer until its link ends or a newer one of the same peer takes its place.
async fn hear(core: &Arc<Core>, peer: &Name, connection: &Connection, stream: RecvStream) {
    let replaced = CancellationToken::new();
    let older = lock(&core.incoming).insert(peer.clone(), replaced.clone());
    if let Some(older) = older {
        older.cancel();
    }
    core.live.incoming.fetch_add(1, Relaxed);
    let mut meter = Meter::default();
    tokio::select! {
        () = core.stop.cancelled() => {}
        () = replaced.cancelled() => {}
        () = read_frames(core, peer, stream) => {}
        () = read_datagrams(core, peer, connection) => {}
        () = count(core, connection, &mut meter) => {}
    }
    meter.update(connection, &core.live);
    core.live.incoming.fetch_sub(1, Relaxed);
}

async fn read_frames(core: &Core, peer: &Name, mut stream: RecvStream) {
    while let Ok(Some(bytes)) = hello::read(&mut stream, wire::FRAME_LIMIT).await {
        let Ok(frame) = Frame::decode(&bytes) else {
            log::warn!("mesh: closed the link of {peer}, which sent no frame");
            return;
        };
        core.live.frames_received.fetch_add(1, Relaxed);
        let event = Event::Frame { from: peer.clone(), frame };
        if core.events.send(event).await.is_err() {
            return;
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
