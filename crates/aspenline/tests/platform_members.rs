//! Several routers: directory, zones, strangers and termination.

#[path = "common/router.rs"]
mod router;

use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use fake::endpoint::STREAM_EVENTS;
use fake::endpoint::event_text;
use fake::store::FaultMode;
use http::StatusCode;
use rustix::process::Signal;
use tokio::time;

use crate::router::HOST;
use crate::router::Platform;
use crate::router::Router;
use crate::router::WAIT_TIMEOUT;
use crate::router::call;
use crate::router::configuration;
use crate::router::get;
use crate::router::request_with_key;
use crate::router::wait_for;

/// Returns the text of a complete stream.
fn complete_stream() -> String {
    (1..=STREAM_EVENTS).map(event_text).collect()
}

/// Returns the addresses that the directory of a router lists.
async fn listed_addresses(router: &Router) -> Vec<String> {
    let path = format!("/resolve?name={HOST}&region=north&zone=north");
    let answer = call(router.directory, get(&path, "r-1")).await;
    let answer: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let addresses = answer["addresses"].as_array().cloned().unwrap_or_default();
    let mut addresses: Vec<String> =
        addresses.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect();
    addresses.sort();
    addresses
}

/// Waits until the directories of two routers list both.
async fn wait_until_both_are_listed(first: &Router, second: &Router) {
    let mut both = vec![first.callers.to_string(), second.callers.to_string()];
    both.sort();
    let start = Instant::now();
    while listed_addresses(first).await != both || listed_addresses(second).await != both {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the directories do not list both routers");
        time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn the_directory_lists_both_routers_until_one_leaves() {
    let platform = Platform::start("directory").await;
    platform.configure(&configuration(1));
    let first = platform.router("router-1").await;
    let mut second = platform.router("router-2").await;
    wait_until_both_are_listed(&first, &second).await;
    second.signal(Signal::TERM);
    let start = Instant::now();
    while listed_addresses(&first).await.len() != 1 {
        assert!(start.elapsed() < Duration::from_secs(1), "a leaving router is still listed");
        time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(second.wait_for_exit().await, Some(0));
}

/// Checks that two routers still list each other once the store has done its late writes.
async fn assert_late_writes_change_nothing(platform: &Platform, first: &Router, second: &Router) {
    wait_until_both_are_listed(first, second).await;
    assert!(!platform.store.has_done_late_appends(), "the late write was done too early");
    wait_for(|| platform.store.has_done_late_appends().then_some(())).await;
    // A router that is not heard any more stays listed for 1.5 s.
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(2) {
        assert_eq!(listed_addresses(first).await.len(), 2, "after {:?}", start.elapsed());
        time::sleep(Duration::from_millis(50)).await;
    }
    let identities = platform.store.count_keys("keyed.routers", "router-2/");
    assert_eq!(identities, 1, "the record of the ended process is still there");
}

/// Guards against the late withdrawal of an ended process removing its successor from the fleet.
#[tokio::test]
async fn a_late_withdrawal_of_an_ended_process_does_not_remove_its_successor() {
    let platform = Platform::start("late-withdrawal").await;
    platform.configure(&configuration(1));
    let first = platform.router("router-1").await;
    let mut ended = platform.router("router-2").await;
    wait_until_both_are_listed(&first, &ended).await;
    platform.store.delay_next_append(Duration::from_secs(4));
    ended.signal(Signal::TERM);
    assert_eq!(ended.wait_for_exit().await, Some(0));
    let second = platform.router("router-2").await;
    assert_late_writes_change_nothing(&platform, &first, &second).await;
}

/// Guards against the late identity of a killed process replacing that of its successor.
#[tokio::test]
async fn a_late_identity_of_a_killed_process_does_not_replace_that_of_its_successor() {
    let platform = Platform::start("late-identity").await;
    platform.configure(&configuration(1));
    let first = platform.router("router-1").await;
    wait_for(|| first.first_line("identity_published")).await;
    platform.store.delay_next_append(Duration::from_secs(4));
    drop(platform.router("router-2").await);
    let second = platform.router("router-2").await;
    assert_late_writes_change_nothing(&platform, &first, &second).await;
}

#[tokio::test]
async fn a_router_that_is_told_to_terminate_finishes_its_streams() {
    let platform = Platform::start("ending").await;
    platform.configure(&configuration(1));
    let _engines = platform.runners("engines", 1).await;
    let mut router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    let callers = router.callers;
    let stream = call(callers, request_with_key("POST", "/once/stream/", "r-1"));
    let signal = async {
        time::sleep(Duration::from_millis(60)).await;
        router.signal(Signal::TERM);
    };
    let (answer, ()) = tokio::join!(stream, signal);
    assert!(answer.is_complete);
    assert_eq!(answer.body, complete_stream());
    assert_eq!(call(router.ready, get("/ready", "r-2")).await.status.as_u16(), 503);
    assert_eq!(router.wait_for_exit().await, Some(0));
    assert!(router.first_line("stopped").is_some());
}

#[tokio::test]
async fn datagrams_of_unknown_senders_are_ignored() {
    let platform = Platform::start("strangers").await;
    platform.configure(&configuration(1));
    let _ledger = platform.runners("ledger", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for length in [0, 1, 16, 24, 200, 1_400] {
        unknown_sender.send_to(&vec![7; length], router.peers).expect("sent");
    }
    assert_eq!(router.call(get("/safe/", "r-1")).await.status, StatusCode::OK);
    assert_eq!(router.count("router_alive"), 0);
}

#[tokio::test]
async fn routers_of_different_zones_learn_of_each_other_through_the_sums_of_their_zones() {
    let platform = Platform::start("zones").await;
    platform.configure(&configuration(1));
    let _runners = platform.runners("engines", 1).await;
    let mut routers = Vec::new();
    for (name, zone) in [("n-1", "north"), ("n-2", "north"), ("s-1", "south"), ("s-2", "south")] {
        routers.push(platform.router_in(name, zone).await);
    }
    for router in &routers {
        router.wait_for_runners(1).await;
    }
    for router in &routers {
        let mut named = 0;
        let start = Instant::now();
        while named < routers.len() && start.elapsed() < WAIT_TIMEOUT {
            let answer = call(router.directory, get("/resolve", "r-1")).await;
            let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            named = body["addresses"].as_array().map_or(0, Vec::len);
            time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(named, routers.len());
    }
    let aggregators = routers.iter().filter(|router| router.count("aggregator") > 0).count();
    assert!(aggregators >= 2, "{aggregators}");
}

/// Guards against routers that divide common limits without a router that still sends requests.
#[tokio::test]
async fn a_router_that_is_leaving_keeps_its_identity_until_it_has_ended() {
    let platform = Platform::start("leaving-identity").await;
    platform.configure(&configuration(1));
    let mut router = platform.router("router-1").await;
    let identities = || platform.store.count_keys("keyed.routers", "router-1/");
    wait_for(|| (identities() == 1).then_some(())).await;
    router.signal(Signal::TERM);
    wait_for(|| router.first_line("leaving")).await;
    time::sleep(Duration::from_millis(300)).await;
    assert_eq!(identities(), 1, "withdrawn while callers are still served");
    assert_eq!(router.wait_for_exit().await, Some(0));
    assert_eq!(identities(), 0, "not withdrawn at the end");
}

/// Guards against routers that have started while the store was away and stay unknown to those that wait for an answer of a
/// call that the store has lost (issue 60).
#[tokio::test]
async fn a_router_that_starts_while_the_store_is_away_is_known_to_all_soon_after_its_return() {
    let contact = Duration::from_secs(3);
    let platform = Platform::start("members-store-away").await;
    platform.configure(&configuration(1));
    let first = platform.router("router-1").await;
    let second = platform.router("router-2").await;
    wait_until_both_are_listed(&first, &second).await;
    platform.store.set_fault_mode(FaultMode::Unresponsive);
    // The reads that wait for a record end, and the next ones get no answer.
    platform.store.put("keyed.routers", "other", b"{}");
    drop(second);
    let second = platform.router("router-2").await;
    time::sleep(Duration::from_millis(1_500)).await;
    platform.store.set_fault_mode(FaultMode::Normal);
    let returned_at = Instant::now();
    wait_until_both_are_listed(&first, &second).await;
    assert!(returned_at.elapsed() < contact, "after {:?}", returned_at.elapsed());
}
