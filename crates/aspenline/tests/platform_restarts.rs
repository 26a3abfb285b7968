//! Promises that a router keeps although its process is killed and started again.

#[path = "common/router.rs"]
mod router;

use std::time::Duration;
use std::time::Instant;

use fake::endpoint::Endpoint;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time;

use crate::router::Platform;
use crate::router::Router;
use crate::router::WAIT_TIMEOUT;
use crate::router::configuration;
use crate::router::get;
use crate::router::try_call;

/// The requests that all routers may send to the cold runner in one second: 16 x 1.5 + 5.
const COLD_LIMIT: usize = 29;
/// The time for which the runner stays cold.
const COLD: Duration = Duration::from_secs(60);
/// The window of the limit.
const WINDOW: Duration = Duration::from_secs(1);
/// The time from the first request to the kill, in which the first process uses its share.
const PRESSED_FOR: Duration = Duration::from_millis(150);
/// Callers that try again and again.
const CALLERS: usize = 32;

/// Publishes the record of a runner that is cold.
fn list_cold(platform: &Platform, runner: &Endpoint) {
    let record = runner.record("ledger", "ready", 1);
    let mut record: Value = serde_json::from_slice(&record).expect("a record");
    record["cold_left_ms"] = json!(COLD.as_millis());
    platform.store.put("keyed.servers", runner.id(), record.to_string().as_bytes());
}

/// Returns the most times in any window of the limit.
fn most_in_a_window(times: &[Instant]) -> usize {
    let windows = times
        .iter()
        .map(|from| times.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count());
    windows.max().unwrap_or_default()
}

/// Sends requests of many callers to a router for a time.
async fn press(router: &Router, time: Duration) {
    let (address, until) = (router.callers, Instant::now() + time);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(async move {
            let mut turn = 0;
            while Instant::now() < until {
                let id = format!("c{number}-{turn}");
                drop(time::timeout(WINDOW, try_call(address, get("/safe/", &id))).await);
                time::sleep(Duration::from_millis(20)).await;
                turn += 1;
            }
        });
    }
    while callers.join_next().await.is_some() {}
}

/// Guards against a process that uses the share of a cold runner that the process before it has used in the same second.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_is_killed_and_started_again_keeps_the_limit_of_a_cold_runner() {
    let platform = Platform::start("cold-restart").await;
    let mut configured = configuration(1);
    configured["services"][0]["cold_start_s"] = json!(COLD.as_secs());
    configured["services"][0]["cold_per_s"] = json!(16.0);
    platform.configure(&configured);
    let runner = Endpoint::start("ledger-0").await.expect("a runner");
    list_cold(&platform, &runner);
    let first = platform.router("router-1").await;
    first.wait_for_runners(1).await;
    let start = Instant::now();
    while runner.execution_count() == 0 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the cold runner is not used");
        drop(try_call(first.callers, get("/safe/", "r-1")).await);
    }
    press(&first, PRESSED_FOR).await;
    drop(first);
    let second = platform.router("router-1").await;
    press(&second, 4 * WINDOW).await;
    let times: Vec<Instant> = runner.requests().iter().map(|request| request.at).collect();
    let most = most_in_a_window(&times);
    assert!(most <= COLD_LIMIT, "{most} requests in a second, {} in all", times.len());
    assert!(second.count("sent") > 0, "the cold runner is not used any more");
}
