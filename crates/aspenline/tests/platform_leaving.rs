//! Runners that leave while routers have lost and regained the store, against fakes of the store and the runners.

#[path = "common/router.rs"]
mod router;

use std::time::Duration;
use std::time::Instant;

use fake::endpoint::Endpoint;
use fake::store::Entrance;
use fake::store::FaultMode;
use http::StatusCode;
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time;

use crate::router::Platform;
use crate::router::Router;
use crate::router::configuration;
use crate::router::get;
use crate::router::wait_for;

/// The time after the store has accepted that a runner leaves from which on it gets no more requests.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// The time after a fault from which on that bound holds.
const CONTACT: Duration = Duration::from_secs(3);
/// The time for which the store serves only some routers.
const REJECTED_FOR: Duration = Duration::from_secs(1);
/// The interval between two changes of runners that are not used.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between two requests to each router.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// The interval between two runners that leave.
const LEAVING_INTERVAL: Duration = Duration::from_millis(700);

/// A zone with a router that the store serves all the time and others that reach it through an entrance, beside two
/// zones with one router each.
struct Zones {
    platform: Platform,
    entrance: Entrance,
    served: Router,
    rejected: Vec<Router>,
    _others: Vec<Router>,
}

impl Zones {
    async fn start(test: &str, rejected: usize, runners: usize) -> (Self, Vec<Endpoint>) {
        let platform = Platform::start(test).await;
        platform.configure(&configuration(1));
        let runners = platform.runners("ledger", runners).await;
        let entrance = platform.store.open_entrance().await.expect("an entrance");
        let served = platform.router("served").await;
        let others = vec![
            platform.router_in("other-1", "middle").await,
            platform.router_in("other-2", "south").await,
        ];
        let mut routers = Vec::new();
        for number in 1..=rejected {
            let name = format!("rejected-{number}");
            let mut settings = platform.settings(&name);
            settings["store"] = entrance.address().to_string().into();
            routers.push(platform.router_with(&name, &settings).await);
        }
        for router in &routers {
            router.wait_for_runners(runners.len()).await;
            wait_for(|| (router.count("router_alive") > 0).then_some(())).await;
        }
        let zones = Self { platform, entrance, served, rejected: routers, _others: others };
        (zones, runners)
    }

    /// Changes a runner of a service that gets no requests.
    fn change(&self, number: u64) {
        let record = serde_json::json!({
            "service": "unused", "address": "127.0.0.1:9", "zone": "north", "version": "v1", "slots": 1,
            "state": "ready", "cold_left_ms": 0, "seq": 1, "born": number,
        });
        let key = format!("unused-{}", number % 8);
        self.platform.store.put("keyed.servers", &key, record.to_string().as_bytes());
    }

    /// Lets the store answer nobody until each router has failed to read the runners' topic, then not those that are
    /// away, and then all; changes go on for the time after which all bounds hold again.
    async fn reject_and_serve_again(&self) {
        self.platform.store.set_fault_mode(FaultMode::Unavailable);
        self.entrance.set_fault_mode(FaultMode::Unavailable);
        let mut number = 0;
        let lost = |router: &Router| {
            let last = router.lines_of("store_lost");
            last.iter().any(|line| line.contains("keyed.servers"))
        };
        let start = Instant::now();
        while !self.rejected.iter().all(lost) {
            assert!(start.elapsed() < router::WAIT_TIMEOUT, "not all routers have lost the store");
            self.change_for(CHANGE_INTERVAL, &mut number).await;
        }
        self.platform.store.set_fault_mode(FaultMode::Normal);
        self.change_for(REJECTED_FOR, &mut number).await;
        self.entrance.set_fault_mode(FaultMode::Normal);
        self.change_for(CONTACT, &mut number).await;
    }

    /// Changes runners of a service that gets no requests, for a time.
    async fn change_for(&self, length: Duration, number: &mut u64) {
        let start = Instant::now();
        while start.elapsed() < length {
            *number += 1;
            self.change(*number);
            time::sleep(CHANGE_INTERVAL).await;
        }
    }

    fn routers(&self) -> impl Iterator<Item = &Router> {
        std::iter::once(&self.served).chain(&self.rejected)
    }
}

/// Returns the paths of the requests that a runner has received.
fn received(runner: &Endpoint) -> Vec<String> {
    let requests = runner.requests().into_iter();
    requests.map(|request| request.line).collect()
}

#[tokio::test]
async fn a_router_that_the_store_serves_again_reads_it_while_changes_go_on() {
    let (zones, _runners) = Zones::start("served-again", 2, 1).await;
    zones.reject_and_serve_again().await;
    for router in &zones.rejected {
        let regained = router.lines_of("store_regained");
        assert!(regained.iter().any(|line| line.contains("keyed.servers")), "{regained:?}");
    }
}

#[tokio::test]
async fn a_router_that_the_store_does_not_answer_is_told_by_others_that_runners_leave() {
    let (zones, runners) = Zones::start("told-leaving", 1, 3).await;
    let router = &zones.rejected[0];
    zones.entrance.set_fault_mode(FaultMode::Unresponsive);
    zones.platform.list_runner(&runners[0], "ledger", "draining", 2);
    zones.platform.store.remove("keyed.servers", runners[1].id());
    let left_at = Instant::now();
    let told = |event: &str, id: &str| {
        let lines = router.lines_of(event);
        lines.iter().any(|line| line.contains(id) && line.contains("told by"))
    };
    wait_for(|| {
        let is_told = told("runner_leaving", runners[0].id()) && told("runner", runners[1].id());
        is_told.then_some(())
    })
    .await;
    assert!(left_at.elapsed() < LEAVING_BOUND, "{:?}", left_at.elapsed());
    for number in 0..6 {
        router.call(get("/safe/", &format!("after-{number}"))).await;
    }
    assert_eq!(runners[2].execution_count(), 6);
}

#[tokio::test]
async fn a_router_that_was_frozen_sends_nothing_to_runners_that_left_meanwhile() {
    let platform = Platform::start("frozen").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 4).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(4).await;
    router.call(get("/safe/", "before")).await;
    router.signal(Signal::STOP);
    for runner in &runners[1..] {
        platform.list_runner(runner, "ledger", "draining", 2);
    }
    let before: Vec<usize> = runners.iter().map(|runner| received(runner).len()).collect();
    let mut calls = JoinSet::new();
    for number in 0..12 {
        let callers = router.callers;
        calls.spawn(router::call(callers, get("/safe/", &format!("during-{number}"))));
    }
    time::sleep(LEAVING_BOUND + Duration::from_millis(100)).await;
    platform.store.set_fault_mode(FaultMode::Slow);
    router.signal(Signal::CONT);
    while let Some(answer) = calls.join_next().await {
        assert_eq!(answer.expect("no call panics").status, StatusCode::OK);
    }
    for (runner, before) in runners.iter().zip(before).skip(1) {
        assert_eq!(received(runner).len(), before, "{}", runner.id());
    }
}

#[tokio::test]
async fn a_runner_that_leaves_gets_nothing_after_two_seconds_from_routers_that_had_lost_the_store()
{
    let (zones, runners) = Zones::start("leaving-after-loss", 6, 8).await;
    zones.reject_and_serve_again().await;
    let (leaving, _staying) = runners.split_at(6);
    let mut left_at = Vec::new();
    let mut late = Vec::new();
    let start = Instant::now();
    let mut number = 1_000;
    let mut changed_at = start;
    while start.elapsed() < LEAVING_INTERVAL * 6 + 2 * LEAVING_BOUND {
        if left_at.len() < leaving.len()
            && start.elapsed() >= LEAVING_INTERVAL * (left_at.len() as u32)
        {
            zones.platform.list_runner(&leaving[left_at.len()], "ledger", "draining", 2);
            left_at.push(Instant::now());
        }
        if changed_at.elapsed() >= CHANGE_INTERVAL {
            changed_at = Instant::now();
            number += 1;
            zones.change(number);
        }
        let before: Vec<usize> = leaving.iter().map(|runner| received(runner).len()).collect();
        let sent_at = Instant::now();
        for (index, router) in zones.routers().enumerate() {
            router.call(get("/safe/", &format!("{number}-{index}"))).await;
        }
        for (index, left_at) in left_at.iter().enumerate() {
            let more = received(&leaving[index]).len() - before[index];
            if more > 0 && sent_at.duration_since(*left_at) > LEAVING_BOUND {
                late.push((index, sent_at.duration_since(*left_at), more));
            }
        }
        time::sleep(CALL_INTERVAL).await;
    }
    assert!(late.is_empty(), "requests later than {LEAVING_BOUND:?}: {late:?}");
}
