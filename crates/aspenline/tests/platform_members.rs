//! Several routers: directory, zones, strangers and termination.

#[path = "common/router.rs"]
mod router;

use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use fake::endpoint::STREAM_EVENTS;
use fake::endpoint::event_text;
use http::StatusCode;
use rustix::process::Signal;
use tokio::time;

use crate::router::HOST;
use crate::router::Platform;
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

#[tokio::test]
async fn the_directory_lists_both_routers_until_one_leaves() {
    let platform = Platform::start("directory").await;
    platform.configure(&configuration(1));
    let first = platform.router("router-1").await;
    let mut second = platform.router("router-2").await;
    let listed_addresses = async |router: &router::Router| {
        let path = format!("/resolve?name={HOST}&region=north&zone=north");
        let answer = call(router.directory, get(&path, "r-1")).await;
        let answer: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let addresses = answer["addresses"].as_array().cloned().unwrap_or_default();
        let mut addresses: Vec<String> =
            addresses.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect();
        addresses.sort();
        addresses
    };
    let mut both = vec![first.callers.to_string(), second.callers.to_string()];
    both.sort();
    let start = Instant::now();
    while listed_addresses(&first).await != both || listed_addresses(&second).await != both {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the directories do not list both routers");
        time::sleep(Duration::from_millis(50)).await;
    }
    second.signal(Signal::TERM);
    let start = Instant::now();
    while listed_addresses(&first).await.len() != 1 {
        assert!(start.elapsed() < Duration::from_secs(1), "a leaving router is still listed");
        time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(second.wait_for_exit().await, Some(0));
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
    let identity = || platform.store.newest("keyed.routers", "router-1");
    wait_for(identity).await;
    router.signal(Signal::TERM);
    wait_for(|| router.first_line("leaving")).await;
    time::sleep(Duration::from_millis(300)).await;
    assert!(identity().is_some(), "withdrawn while callers are still served");
    assert_eq!(router.wait_for_exit().await, Some(0));
    assert!(identity().is_none(), "not withdrawn at the end");
}
