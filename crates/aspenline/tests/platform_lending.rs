//! Places at engines that routers lend each other, against fakes of the store and the engines.

#[path = "common/router.rs"]
mod router;

use std::time::Duration;

use fake::endpoint::Endpoint;
use fake::endpoint::FaultMode;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time;

use crate::router::Platform;
use crate::router::Router;
use crate::router::configuration;
use crate::router::request_with_key;
use crate::router::wait_for;

/// The routers.
const ROUTERS: usize = 4;
/// The engines, each of which may run 16 requests.
const ENGINES: usize = 2;
/// The time after which the places of a router that was killed are used by others, with a margin.
const SILENCE: Duration = Duration::from_secs(3);

/// Returns a configuration in which `engines` is a service of model engines.
fn engine_configuration() -> Value {
    let mut configuration = configuration(1);
    configuration["services"][1]["engine"] =
        json!({ "slots": 16, "kv_capacity": 1_000_000, "stride": 1 });
    configuration
}

/// Starts routers that know each other and the engines, which pause in each answer.
async fn start(platform: &Platform) -> (Vec<Router>, Vec<Endpoint>) {
    platform.configure(&engine_configuration());
    let engines = platform.runners("engines", ENGINES).await;
    for engine in &engines {
        engine.set_fault_mode(FaultMode::PausedAt(1));
    }
    let mut routers = Vec::new();
    for number in 0..ROUTERS {
        routers.push(platform.router(&format!("router-{number}")).await);
    }
    for router in &routers {
        router.wait_for_runners(ENGINES).await;
        wait_for(|| (router.count("router_alive") >= ROUTERS - 1).then_some(())).await;
    }
    (routers, engines)
}

/// Sends a number of requests at once to a router and returns how many are served.
async fn served_of_burst(router: &Router, requests: usize) -> usize {
    let mut calls = JoinSet::new();
    for number in 0..requests {
        let request = request_with_key("POST", "/once/stream/", &format!("burst-{number}"));
        calls.spawn(router::call(router.callers, request));
    }
    let answers = calls.join_all().await;
    answers.iter().filter(|answer| answer.status == StatusCode::OK).count()
}

/// Guards against refusals at a router that is suddenly flooded, beside places that idle routers hold.
#[tokio::test]
async fn a_burst_at_one_router_uses_the_places_of_idle_ones() {
    let platform = Platform::start("lending-burst").await;
    let (routers, _engines) = start(&platform).await;
    assert_eq!(served_of_burst(&routers[0], 28).await, 28);
    assert!(routers[0].first_line("places_borrowed").is_some());
}

/// Guards against places of a killed router that stand empty: of 32, each of the two others keeps one, and fractions.
#[tokio::test]
async fn a_burst_uses_the_places_of_a_router_that_was_killed() {
    let platform = Platform::start("lending-killed").await;
    let (mut routers, _engines) = start(&platform).await;
    drop(routers.pop());
    time::sleep(SILENCE).await;
    assert_eq!(served_of_burst(&routers[0], 28).await, 28);
}
