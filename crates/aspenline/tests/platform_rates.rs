//! Runners that state the rate of requests that they take from all routers, against fakes of the store and the runners.

#[path = "common/router.rs"]
mod router;

use std::time::Duration;
use std::time::Instant;

use fake::endpoint::Endpoint;
use http::StatusCode;
use tokio::task::JoinSet;
use tokio::time;

use crate::router::Answer;
use crate::router::Platform;
use crate::router::Router;
use crate::router::configuration;
use crate::router::get;
use crate::router::wait_for;

/// The name of the header in which a runner states its limit.
const LIMIT: &str = "server-limit";
/// The window of the target.
const WINDOW: Duration = Duration::from_secs(4);
/// The time after which all routers keep to a limit.
const CONTACT: Duration = Duration::from_secs(3);
/// The interval between two requests at each router of a flood.
const CALL_INTERVAL: Duration = Duration::from_millis(25);

/// Returns the most requests that a runner may get in a window by the target.
fn allowed(per_second: f64) -> usize {
    (1.5 * per_second * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns the most requests that a runner got in any window that begins at `from` or later.
fn most_in_window(runner: &Endpoint, from: Instant) -> usize {
    let times: Vec<Instant> = runner.requests().iter().map(|request| request.at).collect();
    let starts = times.iter().filter(|start| **start >= from);
    let counts = starts
        .map(|start| times.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count());
    counts.max().unwrap_or_default()
}

/// Starts routers that know each other and a number of runners of the ledger.
async fn start(
    platform: &Platform,
    routers: usize,
    runners: usize,
) -> (Vec<Router>, Vec<Endpoint>) {
    platform.configure(&configuration(1));
    let endpoints = platform.runners("ledger", runners).await;
    let mut started = Vec::new();
    for number in 0..routers {
        started.push(platform.router(&format!("router-{number}")).await);
    }
    for router in &started {
        router.wait_for_runners(runners).await;
        wait_for(|| (router.count("router_alive") >= routers - 1).then_some(())).await;
    }
    (started, endpoints)
}

/// Sends requests to routers at an interval each, for a time, and returns the answers.
async fn flood(routers: &[&Router], prefix: &str, duration: Duration) -> Vec<Answer> {
    let start = Instant::now();
    let mut calls = JoinSet::new();
    let mut number = 0;
    while start.elapsed() < duration {
        for router in routers {
            number += 1;
            let request = get("/safe/", &format!("{prefix}-{number}"));
            calls.spawn(router::call(router.callers, request));
        }
        time::sleep(CALL_INTERVAL).await;
    }
    calls.join_all().await
}

/// Guards against routers that each keep a limit by themselves, or not at all (issue 58).
#[tokio::test]
async fn a_runner_gets_no_more_than_the_rate_that_it_states_from_all_routers() {
    let platform = Platform::start("rates").await;
    let (routers, runners) = start(&platform, 3, 1).await;
    runners[0].set_added_headers(&[(LIMIT, "8.0")]);
    let routers: Vec<&Router> = routers.iter().collect();
    let begin = Instant::now();
    let answers = flood(&routers, "flood", CONTACT + WINDOW + Duration::from_secs(2)).await;
    let most = most_in_window(&runners[0], begin + CONTACT);
    assert!(most <= allowed(8.0), "{most} requests in 4 s, {} allowed", allowed(8.0));
    let at_least = (0.8 * 8.0 * WINDOW.as_secs_f64()) as usize;
    assert!(most >= at_least, "{most} requests in 4 s while others waited, {at_least} owed");
    let refused = answers.iter().filter(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.clone().count() > 0, "nothing was refused");
    for answer in refused {
        assert!(
            answer.headers.contains_key("retry-after"),
            "a refusal states no time to come back"
        );
    }
}
