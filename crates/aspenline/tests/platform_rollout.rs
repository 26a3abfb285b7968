//! Rollouts of new versions, with several routers against fakes of the store and the runners.

#[path = "common/router.rs"]
mod router;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use fake::endpoint::Endpoint;
use fake::endpoint::FaultMode;
use fake::endpoint::STREAM_EVENTS;
use fake::store::FaultMode as StoreFault;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time;

use crate::router::Platform;
use crate::router::Router;
use crate::router::configuration;
use crate::router::get;
use crate::router::request;
use crate::router::request_with_key;
use crate::router::try_call;
use crate::router::wait_for;

const ROUTERS: usize = 3;
const OLD_RUNNERS: usize = 4;
const NEW_RUNNERS: usize = 3;
/// The duration of a rollout.
const DURATION: Duration = Duration::from_secs(9);
/// The interval between two requests to each router.
const CALL_INTERVAL: Duration = Duration::from_millis(12);
/// The share of the requests that a bad version may receive, and requests in addition.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
/// The time after the 50th bad response from which on a bad version may receive none.
const ROLLBACK: Duration = Duration::from_secs(5);
/// The time by which an unstable store may delay the bounds.
const MAX_STRETCH: Duration = Duration::from_secs(6);

/// Routers and runners of a service of which a new version is rolled out.
struct Fleet {
    platform: Platform,
    routers: Vec<Router>,
    old: Vec<Endpoint>,
    new: Vec<Endpoint>,
    load: Load,
    ordered_at: Instant,
}

/// Requests to all routers, until it is dropped.
struct Load {
    tasks: JoinSet<()>,
    statuses: Arc<Mutex<Vec<u16>>>,
}

impl Load {
    fn start(routers: &[Router], interval: Duration) -> Self {
        let mut load = Self { tasks: JoinSet::new(), statuses: Arc::default() };
        for router in routers {
            load.tasks.spawn(call_all(router.callers, interval, Arc::clone(&load.statuses)));
        }
        load
    }

    fn count(&self) -> usize {
        self.statuses.lock().expect("no panic").len()
    }

    fn count_failed(&self) -> usize {
        let statuses = self.statuses.lock().expect("no panic");
        statuses.iter().filter(|status| **status != 200).count()
    }
}

/// Sends requests of two routes to a router in turn.
async fn call_all(router: SocketAddr, interval: Duration, statuses: Arc<Mutex<Vec<u16>>>) {
    let mut calls = JoinSet::new();
    for number in 0_u64.. {
        let statuses = Arc::clone(&statuses);
        calls.spawn(async move {
            let id = format!("{}-{number}", router.port());
            let request = if number % 4 == 0 {
                let builder = request("POST", &format!("/unsafe/{number}"), &id);
                builder.body(Default::default()).expect("a request")
            } else {
                get(&format!("/safe/{number}"), &id)
            };
            let status = try_call(router, request).await.map_or(0, |answer| answer.status.as_u16());
            statuses.lock().expect("no panic").push(status);
        });
        while calls.try_join_next().is_some() {}
        time::sleep(interval).await;
    }
}

async fn start_router(platform: &Platform, name: &str, zone: &str) -> Router {
    let mut settings = platform.settings_in(name, zone);
    settings["bounds"]["expose_slack"] = json!(SLACK);
    platform.router_with(name, &settings).await
}

impl Fleet {
    /// Starts a fleet with old runners and, after the order, new ones that `prepare` sets up.
    async fn start(test: &str, interval: Duration, prepare: impl Fn(usize, &Endpoint)) -> Self {
        let mut fleet = Self::start_without_order(test, interval).await;
        fleet.order("v2", &json!(DURATION.as_secs()));
        fleet.start_new(prepare).await;
        fleet
    }

    async fn start_without_order(test: &str, interval: Duration) -> Self {
        Self::start_in_zones(test, interval, &["north"; ROUTERS]).await
    }

    /// Starts a fleet with one router in each of the zones.
    async fn start_in_zones(test: &str, interval: Duration, zones: &[&str]) -> Self {
        let platform = Platform::start(test).await;
        platform.configure(&configuration(1));
        let old = platform.runners("ledger", OLD_RUNNERS).await;
        let mut routers = Vec::new();
        for (number, zone) in zones.iter().enumerate() {
            routers.push(start_router(&platform, &format!("router-{number}"), zone).await);
        }
        for (router, zone) in routers.iter().zip(zones) {
            router.wait_for_runners(OLD_RUNNERS).await;
            let others = zones.iter().filter(|other| *other == zone).count() - 1;
            wait_for(|| (router.count("router_alive") >= others).then_some(())).await;
        }
        let load = Load::start(&routers, interval);
        time::sleep(Duration::from_millis(500)).await;
        let ordered_at = Instant::now();
        Self { platform, routers, old, new: Vec::new(), load, ordered_at }
    }

    fn order(&mut self, to: &str, duration_s: &Value) {
        self.ordered_at = Instant::now();
        let order = json!({ "service": "ledger", "to": to, "duration_s": duration_s });
        let store = &self.platform.store;
        store.put("keyed.op", "rollout/ledger", order.to_string().as_bytes());
    }

    async fn start_new(&mut self, prepare: impl Fn(usize, &Endpoint)) {
        for number in 0..NEW_RUNNERS {
            let runner = Endpoint::start(&format!("new-{number}")).await.expect("a runner");
            runner.set_version("v2");
            prepare(number, &runner);
            self.platform.list_runner(&runner, "ledger", "ready", 1);
            self.new.push(runner);
        }
    }

    fn state(&self) -> String {
        let stored = self.platform.store.newest("keyed.status", "rollout/ledger");
        let status: Option<Value> = stored.and_then(|value| serde_json::from_slice(&value).ok());
        let state = status.and_then(|status| Some(status["state"].as_str()?.to_owned()));
        state.unwrap_or_default()
    }

    /// Waits until the rollout has ended, and returns its state and the time since the order.
    async fn wait_for_end(&self, limit: Duration) -> (String, Duration) {
        loop {
            let state = self.state();
            let elapsed = self.ordered_at.elapsed();
            if !matches!(state.as_str(), "" | "running") || elapsed > limit {
                return (state, elapsed);
            }
            time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the log lines of all routers on the end of the rollout.
    fn outcomes(&self) -> Vec<String> {
        self.routers.iter().flat_map(|router| router.lines_of("rollout_stopped")).collect()
    }

    fn sent(runners: &[Endpoint]) -> usize {
        runners.iter().map(Endpoint::execution_count).sum()
    }

    /// Checks that a bad version was rolled back in time and within its share, and receives nothing more.
    async fn assert_rolled_back(&self) {
        let (state, took) = self.wait_for_end(DURATION).await;
        let outcomes = self.outcomes();
        assert_eq!(state, "rolled_back", "after {took:?}: {outcomes:?}");
        let (sent, requests) = (Self::sent(&self.new), self.load.count());
        let allowed = SHARE * requests as f64 + SLACK;
        assert!(sent as f64 <= allowed, "{sent} of {requests} requests sent to the bad version");
        time::sleep(Duration::from_millis(500)).await;
        let settled = Self::sent(&self.new);
        time::sleep(Duration::from_millis(1_000)).await;
        assert_eq!(Self::sent(&self.new), settled, "the bad version receives requests");
        assert!(took < DURATION.min(ROLLBACK + Duration::from_secs(3)), "took {took:?}");
    }

    /// Checks that a good version was completed in time, and that old runners receive nothing more.
    async fn assert_completed(&self, limit: Duration) {
        let (state, took) = self.wait_for_end(limit).await;
        let outcomes = self.outcomes();
        assert_eq!(state, "completed", "after {took:?}: {outcomes:?}");
        let sent = Self::sent(&self.old);
        time::sleep(Duration::from_millis(1_000)).await;
        assert_eq!(Self::sent(&self.old), sent, "an old runner receives requests");
        assert!(Self::sent(&self.new) > 0);
    }
}

/// Guards against a version that fails a part of its requests and is completed, or gets more than its share of requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_failing_version_is_rolled_back() {
    let fail = |_, runner: &Endpoint| runner.set_partial_fault(FaultMode::InternalError, "/", 3);
    let fleet = Fleet::start("rollout-failing", CALL_INTERVAL, fail).await;
    fleet.assert_rolled_back().await;
}

/// Guards against a version that answers correctly but several times slower and is completed.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_version_is_rolled_back() {
    let slow = |_, runner: &Endpoint| runner.set_fault_mode(FaultMode::SlowAnswer);
    let fleet = Fleet::start("rollout-slow", CALL_INTERVAL, slow).await;
    fleet.assert_rolled_back().await;
}

/// Guards against a fault of one route that the responses of the other routes hide.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_is_bad_on_one_route_is_rolled_back() {
    let fail = |_, runner: &Endpoint| {
        runner.set_partial_fault(FaultMode::Disconnected, "/unsafe/", 2);
    };
    let fleet = Fleet::start("rollout-route", CALL_INTERVAL, fail).await;
    fleet.assert_rolled_back().await;
}

/// Guards against good responses in the beginning that outweigh bad ones later.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_turns_bad_is_rolled_back() {
    let fleet = Fleet::start("rollout-later", CALL_INTERVAL, |_, _| ()).await;
    time::sleep(Duration::from_secs(3)).await;
    for runner in &fleet.new {
        runner.set_fault_mode(FaultMode::InternalError);
    }
    fleet.assert_rolled_back().await;
}

/// Guards against a good version that is not completed for want of traffic, and requests at old runners after that.
#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_is_completed_with_little_traffic() {
    let fleet = Fleet::start("rollout-good", Duration::from_millis(400), |_, _| ()).await;
    fleet.assert_completed(DURATION).await;
    assert_eq!(fleet.load.count_failed(), 0);
}

/// Guards against requests that fail while a good version replaces the old one under load.
#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_is_completed_without_failures() {
    let fleet = Fleet::start("rollout-load", CALL_INTERVAL, |_, _| ()).await;
    fleet.assert_completed(DURATION).await;
    assert_eq!(fleet.load.count_failed(), 0);
}

/// Guards against a rollout that depends on the router which wrote its first state.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_survives_the_death_of_a_router() {
    let mut fleet = Fleet::start("rollout-killed", CALL_INTERVAL, |_, _| ()).await;
    wait_for(|| (fleet.state() == "running").then_some(())).await;
    let writer = |router: &Router| router.count("rollout_status") > 0;
    let writer = wait_for(|| fleet.routers.iter().position(writer)).await;
    drop(fleet.routers.remove(writer));
    fleet.assert_completed(DURATION).await;
}

/// Guards against a verdict that needs the store, and one that is lost while the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_is_stopped_while_the_store_is_away() {
    let fail = |_, runner: &Endpoint| runner.set_partial_fault(FaultMode::InternalError, "/", 2);
    let fleet = Fleet::start("rollout-away", CALL_INTERVAL, fail).await;
    for router in &fleet.routers {
        wait_for(|| (router.count("runner") >= OLD_RUNNERS + NEW_RUNNERS).then_some(())).await;
    }
    fleet.platform.store.set_fault_mode(StoreFault::Unavailable);
    for router in &fleet.routers {
        wait_for(|| (router.count("rollout_stopped") > 0).then_some(())).await;
    }
    let settled = Fleet::sent(&fleet.new);
    let left = DURATION.saturating_sub(fleet.ordered_at.elapsed());
    time::sleep(left).await;
    assert!(Fleet::sent(&fleet.new) <= settled + 2, "the bad version receives requests");
    fleet.platform.store.set_fault_mode(StoreFault::Normal);
    let (state, took) = fleet.wait_for_end(DURATION + MAX_STRETCH).await;
    assert_eq!(state, "rolled_back", "after {took:?}");
}

/// Guards against a new version that gets no requests although no order concerns it.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_without_an_order_serves() {
    let mut fleet = Fleet::start_without_order("rollout-none", Duration::from_millis(50)).await;
    fleet.start_new(|_, _| ()).await;
    wait_for(|| (Fleet::sent(&fleet.new) > 0).then_some(())).await;
    assert_eq!(fleet.load.count_failed(), 0);
    assert_eq!(fleet.state(), "");
}

/// Guards against evidence, verdicts and the end of requests at old runners that do not cross zones.
#[tokio::test(flavor = "multi_thread")]
async fn rollouts_end_over_several_zones() {
    let zones = ["north", "north", "middle", "south"];
    for is_bad in [true, false] {
        let test = format!("rollout-zones-{is_bad}");
        let mut fleet = Fleet::start_in_zones(&test, CALL_INTERVAL, &zones).await;
        time::sleep(Duration::from_millis(1_500)).await;
        fleet.order("v2", &json!(DURATION.as_secs()));
        let prepare = |_, runner: &Endpoint| {
            if is_bad {
                runner.set_partial_fault(FaultMode::InternalError, "/", 3);
            }
        };
        fleet.start_new(prepare).await;
        if is_bad {
            fleet.assert_rolled_back().await;
        } else {
            fleet.assert_completed(DURATION).await;
            let completing =
                fleet.routers.iter().flat_map(|router| router.lines_of("rollout_completing"));
            let completing: Vec<String> = completing.collect();
            let drained = completing.iter().any(|line| line.contains("no requests are left"));
            assert!(drained, "{completing:?}");
            assert_eq!(fleet.load.count_failed(), 0);
        }
    }
}

/// Guards against a rollout that begins anew, or never ends, when the store loses the order and the state.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_survives_a_restored_store() {
    let mut fleet = Fleet::start_without_order("rollout-restored", CALL_INTERVAL).await;
    let backup = fleet.platform.store.back_up();
    fleet.order("v2", &json!(DURATION.as_secs()));
    fleet.start_new(|_, _| ()).await;
    wait_for(|| (fleet.state() == "running").then_some(())).await;
    time::sleep(Duration::from_secs(2)).await;
    fleet.platform.store.restore(&backup);
    for runner in &fleet.new {
        fleet.platform.list_runner(runner, "ledger", "ready", 2);
    }
    fleet.assert_completed(DURATION + MAX_STRETCH).await;
}

/// Guards against a rollout that is forgotten when all routers end after its order was removed.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_survives_the_death_of_all_routers_and_the_removal_of_its_order() {
    let mut fleet = Fleet::start("rollout-all-killed", CALL_INTERVAL, |_, _| ()).await;
    wait_for(|| (fleet.state() == "running").then_some(())).await;
    fleet.platform.store.remove("keyed.op", "rollout/ledger");
    fleet.routers.clear();
    for number in 0..2 {
        let name = format!("router-{number}");
        fleet.routers.push(start_router(&fleet.platform, &name, "north").await);
    }
    fleet.load = Load::start(&fleet.routers, CALL_INTERVAL);
    fleet.assert_completed(DURATION).await;
}

/// Guards against streams that are cut when old runners end at once.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_whole_when_old_runners_end() {
    let platform = Platform::start("rollout-streams").await;
    platform.configure(&configuration(1));
    let old = platform.runners("engines", OLD_RUNNERS).await;
    for runner in &old {
        runner.set_fault_mode(FaultMode::SlowStream);
    }
    let router = start_router(&platform, "router-0", "north").await;
    router.wait_for_runners(OLD_RUNNERS).await;
    let order = json!({ "service": "engines", "to": "v2", "duration_s": DURATION.as_secs() });
    platform.store.put("keyed.op", "rollout/engines", order.to_string().as_bytes());
    let mut new = Vec::new();
    for number in 0..NEW_RUNNERS {
        let runner = Endpoint::start(&format!("new-{number}")).await.expect("a runner");
        runner.set_version("v2");
        platform.list_runner(&runner, "engines", "ready", 1);
        new.push(runner);
    }
    let mut streams = JoinSet::new();
    let is_completed = || {
        let stored = platform.store.newest("keyed.status", "rollout/engines");
        stored.is_some_and(|value| String::from_utf8_lossy(&value).contains("completed"))
    };
    let start = Instant::now();
    while !is_completed() {
        assert!(start.elapsed() < DURATION, "the rollout was not completed");
        let id = format!("stream-{}", streams.len());
        let request = request_with_key("GET", &format!("/stream/{id}"), &id);
        streams.spawn(try_call(router.callers, request));
        time::sleep(Duration::from_millis(50)).await;
    }
    drop(old);
    while let Some(stream) = streams.join_next().await {
        let answer = stream.expect("no panic").expect("an answer");
        let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
        assert!(answer.is_complete && events == STREAM_EVENTS as usize, "{events} events");
    }
    let completing = router.last("rollout_completing").expect("a line");
    assert!(completing.contains("no requests are left"), "{completing}");
}

/// Guards against an order that never ends, and one whose version gets requests before it is known.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_duration_is_rolled_back_at_once() {
    let mut fleet = Fleet::start_without_order("rollout-invalid", Duration::from_millis(50)).await;
    fleet.order("v2", &json!("soon"));
    fleet.start_new(|_, _| ()).await;
    let (state, took) = fleet.wait_for_end(Duration::from_secs(4)).await;
    assert_eq!(state, "rolled_back", "after {took:?}");
    time::sleep(Duration::from_millis(500)).await;
    assert_eq!(Fleet::sent(&fleet.new), 0);
}
