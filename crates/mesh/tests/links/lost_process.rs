//! Frames for a router whose earlier process was never known when the link to it was opened.

use std::time::Duration;

use base::Name;
use mesh::Candidate;
use mesh::Event;
use mesh::Identity;
use mesh::State;
use mesh::issue;
use mesh::issue::Authority;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::Frame;

use crate::common::Router;
use crate::common::candidate;
use crate::common::loopback;
use crate::common::start;
use crate::common::start_at;
use crate::common::state;
use crate::common::until;
use crate::relay::Relay;

/// The time within which a frame must arrive.
const FRAME_TIMEOUT: Duration = Duration::from_secs(20);

fn identity(authority: &Authority, name: &str) -> Identity {
    issue::member(authority, &Name::new(name)).expect("an identity")
}

/// Sends one frame when the sender sees the receiver, and waits until it arrives.
async fn assert_arrives(sender: &Router, receiver: &mut Router, incarnation: u64) {
    until("the sender sees the new process", || {
        let members = sender.mesh.members();
        members.iter().any(|member| {
            member.name == receiver.name
                && member.state == State::Alive
                && member.incarnation >= incarnation
        })
    })
    .await;
    sender.mesh.send(&receiver.name, Frame::ConfigPull { version: 7 });
    loop {
        let event = timeout(FRAME_TIMEOUT, receiver.events.recv()).await.expect("a frame in time");
        if let Event::Frame { frame, .. } = event.expect("the mesh is running") {
            assert_eq!(frame, Frame::ConfigPull { version: 7 });
            return;
        }
    }
}

fn incarnation(viewer: &Router, name: &Name) -> u64 {
    let members = viewer.mesh.members();
    members
        .iter()
        .find(|member| member.name == *name)
        .map(|member| member.incarnation)
        .expect("a member")
}

// A frame that waited beside a failing connection to the ended process was dropped with that connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frame_for_a_router_that_became_known_during_a_failing_connection_arrives() {
    let fleet = issue::authority("fleet").expect("an authority");
    let r1 = start("r1", identity(&fleet, "r1")).await;
    let ended = UdpSocket::bind(("127.0.0.1", 0)).await.expect("a socket");
    let listed = Candidate {
        name: Name::new("r2"),
        address: ended.local_addr().expect("an address"),
        ..candidate(&r1)
    };
    r1.mesh.set_candidates(vec![candidate(&r1), listed]);
    until("r1 connects to the ended process", || r1.mesh.counters().connects > 0).await;
    let mut r2 = start("r2", identity(&fleet, "r2")).await;
    let list = vec![candidate(&r1), candidate(&r2)];
    r1.mesh.set_candidates(list.clone());
    r2.mesh.set_candidates(list);
    assert_arrives(&r1, &mut r2, 0).await;
    r1.mesh.shutdown().await;
    r2.mesh.shutdown().await;
}

// A frame that was written to the silent connection to the ended process was dropped with that process's frames.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frame_for_a_router_that_restarts_before_it_was_sent_anything_arrives() {
    let fleet = issue::authority("fleet").expect("an authority");
    let r1 = start("r1", identity(&fleet, "r1")).await;
    let r2 = start("r2", identity(&fleet, "r2")).await;
    let relay = Relay::start(r2.mesh.local_address()).await;
    let listed = Candidate { address: relay.address(), ..candidate(&r2) };
    r1.mesh.set_candidates(vec![candidate(&r1), listed]);
    until("r1 sees r2", || state(&r1, "r2") == Some(State::Alive)).await;
    let before = incarnation(&r1, &r2.name);
    relay.drop_flows();
    drop(r2);
    sleep(Duration::from_millis(5)).await;
    let mut restarted = start_at("r2", identity(&fleet, "r2"), loopback()).await;
    let list = vec![candidate(&r1), candidate(&restarted)];
    r1.mesh.set_candidates(list.clone());
    restarted.mesh.set_candidates(list);
    assert_arrives(&r1, &mut restarted, before + 1).await;
    r1.mesh.shutdown().await;
    restarted.mesh.shutdown().await;
    relay.stop().await;
}
