//! Which peers are accepted on links, and the order of frames.

use std::time::Duration;

use base::Name;
use mesh::Candidate;
use mesh::Event;
use mesh::Identity;
use mesh::Register;
use mesh::State;
use mesh::issue;
use mesh::issue::Authority;
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

/// The time within which an expected frame must arrive.
const FRAME_TIMEOUT: Duration = Duration::from_secs(20);

fn authority(name: &str) -> Authority {
    issue::authority(name).expect("an authority")
}

fn identity(authority: &Authority, name: &str) -> Identity {
    issue::member(authority, &Name::new(name)).expect("an identity")
}

fn frame(version: u64) -> Frame {
    Frame::ConfigPull { version }
}

/// Sets all routers as the candidates of each.
fn set_candidates(routers: &[&Router]) {
    let list: Vec<Candidate> = routers.iter().map(|router| candidate(router)).collect();
    for router in routers {
        router.mesh.set_candidates(list.clone());
    }
}

/// Returns the next frame, skipping other events.
async fn next_frame(router: &mut Router) -> (Name, Frame) {
    loop {
        let event = timeout(FRAME_TIMEOUT, router.events.recv()).await.expect("a frame in time");
        match event.expect("the mesh is running") {
            Event::Frame { from, frame } => return (from, frame),
            Event::Members(_) | Event::Register(_) => {}
        }
    }
}

/// Returns whether a frame of that sender is among the events that have arrived.
fn has_frame_of(router: &mut Router, sender: &str) -> bool {
    let mut found = false;
    while let Ok(event) = router.events.try_recv() {
        found |= matches!(event, Event::Frame { from, .. } if from.as_str() == sender);
    }
    found
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frames_arrive_in_order() {
    let fleet = authority("fleet");
    let r1 = start("r1", identity(&fleet, "r1")).await;
    let mut r2 = start("r2", identity(&fleet, "r2")).await;
    set_candidates(&[&r1, &r2]);
    for version in 0..1_000 {
        r1.mesh.send(&r2.name, frame(version));
    }
    let mut received = Vec::new();
    while received.len() < 1_000 {
        received.push(next_frame(&mut r2).await);
    }
    let sent: Vec<(Name, Frame)> =
        (0..1_000).map(|version| (r1.name.clone(), frame(version))).collect();
    assert_eq!(received, sent);
    r1.mesh.shutdown().await;
    r2.mesh.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frames_of_an_untrusted_peer_are_not_delivered() {
    let fleet = authority("fleet");
    let other = authority("other");
    let mut r1 = start("r1", identity(&fleet, "r1")).await;
    let mut untrusted_identity = identity(&other, "r2");
    untrusted_identity.trust_pem.push(fleet.certificate_pem.clone());
    let untrusted = start("r2", untrusted_identity).await;
    set_candidates(&[&r1, &untrusted]);
    until("the untrusted router has connected twice", || {
        untrusted.mesh.send(&r1.name, frame(1));
        untrusted.mesh.counters().connects > 1
    })
    .await;
    sleep(Duration::from_millis(300)).await;
    assert!(!has_frame_of(&mut r1, "r2"));
    assert_eq!(state(&r1, "r2"), None);
    untrusted.mesh.shutdown().await;
    r1.mesh.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frames_of_a_peer_under_another_name_are_not_delivered() {
    let fleet = authority("fleet");
    let mut r1 = start("r1", identity(&fleet, "r1")).await;
    let r3 = start("r3", identity(&fleet, "r3")).await;
    let mut misnamed = candidate(&r3);
    misnamed.name = Name::new("r2");
    r1.mesh.set_candidates(vec![candidate(&r1), misnamed]);
    r3.mesh.set_candidates(vec![candidate(&r1)]);
    until("both have connected twice", || {
        r1.mesh.send(&Name::new("r2"), frame(1));
        r3.mesh.send(&r1.name, frame(2));
        r1.mesh.counters().connects > 1 && r3.mesh.counters().connects > 1
    })
    .await;
    sleep(Duration::from_millis(300)).await;
    assert!(!has_frame_of(&mut r1, "r3"));
    assert_eq!(state(&r1, "r2"), None);
    assert_eq!(state(&r1, "r3"), None);
    r1.mesh.shutdown().await;
    r3.mesh.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_trusted_authorities_allow_rotation() {
    let old = authority("old");
    let new = authority("new");
    let both = [old.certificate_pem.clone(), new.certificate_pem.clone()];
    let mut first = identity(&old, "r1");
    first.trust_pem = both.to_vec();
    let mut second = identity(&new, "r2");
    second.trust_pem = both.to_vec();
    let mut r1 = start("r1", first).await;
    let mut r2 = start("r2", second).await;
    set_candidates(&[&r1, &r2]);
    r1.mesh.send(&r2.name, frame(1));
    r2.mesh.send(&r1.name, frame(2));
    assert_eq!(next_frame(&mut r2).await, (r1.name.clone(), frame(1)));
    assert_eq!(next_frame(&mut r1).await, (r2.name.clone(), frame(2)));
    r1.mesh.shutdown().await;
    r2.mesh.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn members_find_each_other_and_share_registers() {
    let fleet = authority("fleet");
    let r1 = start("r1", identity(&fleet, "r1")).await;
    let r2 = start("r2", identity(&fleet, "r2")).await;
    let r3 = start("r3", identity(&fleet, "r3")).await;
    set_candidates(&[&r1, &r2, &r3]);
    let routers = [&r1, &r2, &r3];
    until("all see all", || {
        routers.iter().all(|viewer| {
            ["r1", "r2", "r3"].iter().all(|name| state(viewer, name) == Some(State::Alive))
        })
    })
    .await;
    let register = Register {
        key: "zone/a".into(),
        counter: 1,
        wins_ties: true,
        value: b"out".to_vec(),
        by: "operator".into(),
    };
    r1.mesh.publish(register.clone());
    until("all have the register", || {
        routers.iter().all(|router| router.mesh.registers() == [register.clone()])
    })
    .await;
    r3.mesh.shutdown().await;
    until("r3 has left", || state(&r1, "r3") == Some(State::Left)).await;
    r1.mesh.shutdown().await;
    r2.mesh.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_that_restarts_empty_is_a_new_member() {
    let fleet = authority("fleet");
    let r1 = start("r1", identity(&fleet, "r1")).await;
    let r2 = start("r2", identity(&fleet, "r2")).await;
    set_candidates(&[&r1, &r2]);
    until("r1 sees r2", || state(&r1, "r2") == Some(State::Alive)).await;
    let incarnation = |viewer: &Router| {
        let members = viewer.mesh.members();
        members.iter().find(|member| member.name.as_str() == "r2").map(|member| member.incarnation)
    };
    let before = incarnation(&r1);
    drop(r2);
    sleep(Duration::from_millis(5)).await;
    let mut restarted = start_at("r2", identity(&fleet, "r2"), loopback()).await;
    set_candidates(&[&r1, &restarted]);
    until("r1 sees the new process", || {
        state(&r1, "r2") == Some(State::Alive) && incarnation(&r1) > before
    })
    .await;
    r1.mesh.send(&restarted.name, frame(7));
    assert_eq!(next_frame(&mut restarted).await, (r1.name.clone(), frame(7)));
    r1.mesh.shutdown().await;
    restarted.mesh.shutdown().await;
}
