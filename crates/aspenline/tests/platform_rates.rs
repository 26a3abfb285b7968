//! Runners that state the rate of requests that they take from all routers, against fakes of the store and the runners.

#[path = "common/router.rs"]
mod router;

use std::time::Duration;
use std::time::Instant;

use fake::endpoint::Endpoint;
use fake::endpoint::FaultMode;
use http::StatusCode;
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time;

use crate::router::Answer;
use crate::router::Platform;
use crate::router::Router;
use crate::router::configuration;
use crate::router::get;
use crate::router::request_with_key;
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

/// Sends requests to a router until a condition holds.
async fn call_until(router: &Router, path: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    let mut number = 0;
    while !condition() {
        assert!(start.elapsed() < router::WAIT_TIMEOUT, "the condition was not met in time");
        number += 1;
        let id = format!("until-{:?}-{number}", start.elapsed());
        drop(router::try_call(router.callers, request_with_key("GET", path, &id)).await);
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns whether a router has logged a limit of some requests a second that an answer stated.
fn has_read(router: &Router, limit: &str) -> bool {
    let wanted = format!("\"{limit} a second, answer\"");
    router.lines_of("rate_limit").iter().any(|line| line.contains(&wanted))
}

#[tokio::test]
async fn a_limit_is_read_on_answers_that_fail_or_are_not_passed_on_and_at_the_head_of_a_stream() {
    let platform = Platform::start("rates-answers").await;
    let (routers, runners) = start(&platform, 1, 1).await;
    let engines = platform.runners("engines", 1).await;
    wait_for(|| (routers[0].count("runner") >= 2).then_some(())).await;
    let faults = [
        (FaultMode::Busy, "31.5"),
        (FaultMode::InternalError, "32.5"),
        (FaultMode::MissingSeal, "33.5"),
        (FaultMode::Normal, "34.5"),
    ];
    for (fault, limit) in faults {
        runners[0].set_fault_mode(fault);
        runners[0].set_added_headers(&[(LIMIT, limit)]);
        call_until(&routers[0], "/safe/", || has_read(&routers[0], limit)).await;
    }
    // The stream goes on for longer than the test needs to read the limit.
    engines[0].set_fault_mode(FaultMode::SlowStream);
    engines[0].set_added_headers(&[(LIMIT, "35.5")]);
    let request = request_with_key("POST", "/stream/", "stream");
    let mut calls = JoinSet::new();
    calls.spawn(router::try_call(routers[0].callers, request));
    wait_for(|| has_read(&routers[0], "35.5").then_some(())).await;
    assert!(calls.try_join_next().is_none(), "the stream has ended");
}

/// Guards against a limit that can't be true ending the use of a runner, or the limit that it has stated before.
#[tokio::test]
async fn a_limit_that_does_not_parse_is_ignored_and_logged() {
    let platform = Platform::start("rates-unreadable").await;
    let (routers, runners) = start(&platform, 1, 1).await;
    let router = &routers[0];
    for (number, limit) in ["-3", "x", "", "inf", "NaN", "1e400", "8 a second"].iter().enumerate() {
        runners[0].set_added_headers(&[(LIMIT, limit)]);
        call_until(router, "/safe/", || router.count("rate_limit_unreadable") > number).await;
    }
    assert_eq!(router.count("rate_limit"), 0);
    // The lowest of several holds, in one header or two.
    runners[0].set_added_headers(&[(LIMIT, "70, 50.5")]);
    call_until(router, "/safe/", || has_read(router, "50.5")).await;
    runners[0].set_added_headers(&[(LIMIT, "60"), (LIMIT, "x, 40.5")]);
    call_until(router, "/safe/", || has_read(router, "40.5")).await;
    // What can't be read leaves it as it is.
    let before = router.count("rate_limit_unreadable");
    runners[0].set_added_headers(&[(LIMIT, "soon")]);
    call_until(router, "/safe/", || router.count("rate_limit_unreadable") > before).await;
    assert!(router.last("rate_limit").is_some_and(|line| line.contains("40.5")));
}

#[tokio::test]
async fn a_huge_limit_slows_nothing_down() {
    let platform = Platform::start("rates-huge").await;
    let (routers, runners) = start(&platform, 1, 1).await;
    runners[0].set_added_headers(&[(LIMIT, "100000000000000000000000000000.0")]);
    let answers = flood(&[&routers[0]], "huge", Duration::from_secs(2)).await;
    assert!(answers.iter().all(|answer| answer.status == StatusCode::OK));
}

/// Guards against a limit that holds on after the runner has stopped to state it.
#[tokio::test]
async fn a_limit_ends_with_the_answers_that_state_none() {
    let platform = Platform::start("rates-end").await;
    let (routers, runners) = start(&platform, 2, 1).await;
    runners[0].set_added_headers(&[(LIMIT, "4.0")]);
    let routers: Vec<&Router> = routers.iter().collect();
    flood(&routers, "before", Duration::from_secs(3)).await;
    runners[0].set_added_headers(&[]);
    flood(&routers, "meanwhile", Duration::from_secs(4)).await;
    let answers = flood(&routers, "after", Duration::from_secs(1)).await;
    assert!(answers.iter().all(|answer| answer.status == StatusCode::OK));
}

/// Guards against a router that hands credits out and takes them along when it ends, and against two that hand them out.
#[tokio::test]
async fn the_limit_is_kept_and_used_while_routers_are_killed_and_stopped() {
    let platform = Platform::start("rates-killed").await;
    let (mut routers, runners) = start(&platform, 4, 2).await;
    for runner in &runners {
        runner.set_added_headers(&[(LIMIT, "8.0")]);
    }
    let begin = Instant::now();
    flood(&routers.iter().collect::<Vec<_>>(), "before", CONTACT).await;
    // With two runners and four routers, one of the two that end hands out the credits of some runner in most runs.
    drop(routers.pop());
    flood(&routers.iter().collect::<Vec<_>>(), "killed", Duration::from_secs(4)).await;
    let stopped = routers.pop().expect("a router");
    stopped.signal(Signal::TERM);
    let from = Instant::now();
    flood(&routers.iter().collect::<Vec<_>>(), "stopped", Duration::from_secs(4)).await;
    let to = Instant::now();
    for runner in &runners {
        let most = most_in_window(runner, begin + CONTACT);
        assert!(most <= allowed(8.0), "{most} requests in 4 s, {} allowed", allowed(8.0));
        let times = runner.requests();
        let count = times.iter().filter(|request| (from..to).contains(&request.at)).count();
        let owed = (0.8 * 8.0 * (to - from).as_secs_f64()) as usize;
        assert!(count >= owed, "{count} requests after a planned stop, {owed} owed");
    }
}
