//! A path that drops the state of an old flow while new flows work.

use std::time::Duration;

use base::Name;
use mesh::Event;
use mesh::State;
use mesh::issue;
use tokio::time::sleep;
use wire::Frame;

use crate::common::Router;
use crate::common::candidate;
use crate::common::start;
use crate::common::state;
use crate::common::until;
use crate::relay::Relay;

/// The version in the frames that are sent at the end until one arrives.
const LAST: u64 = 1_000;

/// Appends the versions of the frames that have arrived.
fn versions(router: &mut Router, received: &mut Vec<u64>) {
    while let Ok(event) = router.events.try_recv() {
        if let Event::Frame { frame: Frame::ConfigPull { version }, .. } = event {
            received.push(version);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frames_continue_over_a_new_flow_without_repetition_or_uncounted_loss() {
    let fleet = issue::authority("fleet").expect("an authority");
    let keys = ["r1", "r2"].map(|name| issue::member(&fleet, &Name::new(name)).expect("keys"));
    let [first, second] = keys;
    let r1 = start("r1", first).await;
    let mut r2 = start("r2", second).await;
    let relay = Relay::start(r2.mesh.local_address()).await;
    let mut listed = candidate(&r2);
    listed.address = relay.address();
    let list = vec![candidate(&r1), listed];
    r1.mesh.set_candidates(list.clone());
    r2.mesh.set_candidates(list);
    until("r1 sees r2", || state(&r1, "r2") == Some(State::Alive)).await;
    for version in 0..300 {
        r1.mesh.send(&r2.name, Frame::ConfigPull { version });
        if version == 100 || version == 200 {
            relay.drop_flows();
        }
        sleep(Duration::from_millis(5)).await;
    }
    let mut received = Vec::new();
    for _ in 0..3_000 {
        r1.mesh.send(&r2.name, Frame::ConfigPull { version: LAST });
        versions(&mut r2, &mut received);
        if received.contains(&LAST) {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert!(received.contains(&LAST), "no frame arrives over a new flow");
    received.retain(|version| *version != LAST);
    assert!(received.is_sorted_by(|one, other| one < other), "out of order: {received:?}");
    let missing = 300 - received.len() as u64;
    let dropped = r1.mesh.counters().frames_dropped;
    assert!(missing <= dropped, "{missing} frames are missing and {dropped} counted as dropped");
    r1.mesh.shutdown().await;
    r2.mesh.shutdown().await;
    relay.stop().await;
}
