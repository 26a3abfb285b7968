//! Orders, status queries and loads that the tests of members, configuration, orders and zones share.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod instance_list;
pub(crate) mod standalone;

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::Verdict;
use bytes::Bytes;
use fake::journal;
use http::Method;
use http::Response;
use indexmap::IndexMap;
use rig::Arrival;
use rig::Builder;
use rig::Call;
use rig::Caller;
use rig::Faults;
use rig::Fleet;
use rig::Load;
use rig::Mix;
use rig::Record;
use rig::RunnerPlan;
use rig::ServicePlan;
use rig::Stream;
use rig::WorkspacePlan;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

/// The region of all zones.
pub(crate) const REGION: &str = "midlands";
/// The zones.
pub(crate) const ZONES: [&str; 3] = ["derby", "nottingham", "leicester"];
/// The workspace of most calls.
pub(crate) const WORKSPACE: &str = "crag";
/// The model service.
pub(crate) const ENGINE: &str = "belay-llm";
/// The number of slots of an engine, which is also its warm limit.
pub(crate) const SLOTS: u32 = 4;
/// The number of concurrent requests that a cold engine can take, which is also its cold limit.
pub(crate) const COLD_LIMIT: u32 = 2;
/// The target time from the answer to a zone order until it is in effect everywhere.
pub(crate) const ZONE_TARGET: Duration = Duration::from_secs(3);
/// The target time from the answer to a configuration change until it is in force everywhere.
pub(crate) const CONFIG_TARGET: Duration = Duration::from_secs(4);
/// A timeout that only a failure reaches.
pub(crate) const HANG_TIMEOUT: Duration = Duration::from_secs(30);
/// The time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Describes a fleet of three zones with an engine in each.
pub(crate) fn builder(routers: usize) -> Builder {
    with_engines(routers, &[engine(), engine(), engine()])
}

/// Describes a fleet of three zones with engines that are assigned to the zones in turn.
pub(crate) fn with_engines(routers: usize, engines: &[RunnerPlan]) -> Builder {
    let mut service = ServicePlan::engine(ENGINE, REGION);
    for engine in engines {
        service = service.runners(1, engine);
    }
    let mut builder = Fleet::builder().routers(routers);
    for zone in ZONES {
        builder = builder.zone(zone, REGION);
    }
    builder
        .workspace(WorkspacePlan::new(WORKSPACE))
        .workspace(WorkspacePlan::new("gym"))
        .service(service)
}

/// Describes an engine.
pub(crate) fn engine() -> RunnerPlan {
    let slots = SLOTS.to_string();
    RunnerPlan::new()
        .args(&["--slots", &slots, "--token-interval-ms", "30"])
        .args(&["--report-lag-ms", "200"])
        .limits(SLOTS, COLD_LIMIT)
}

/// Starts a fleet and waits until each router sees all members alive.
pub(crate) async fn start(builder: Builder) -> Fleet {
    let mut fleet = builder.start().await.expect("a fleet");
    fleet.wait_until_ready(HANG_TIMEOUT).await.expect("a ready fleet");
    let all = fleet.router_count();
    wait_until(HANG_TIMEOUT, "all members alive at each router", async || {
        alive_counts(&fleet).await == vec![all; all]
    })
    .await;
    fleet
}

/// Waits until a condition holds and returns how long that took.
pub(crate) async fn wait_until(
    limit: Duration,
    what: &str,
    is_met: impl AsyncFn() -> bool,
) -> Duration {
    let begin = Instant::now();
    loop {
        if is_met().await {
            return begin.elapsed();
        }
        assert!(begin.elapsed() < limit, "not within {limit:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the status of a router, if it answers.
pub(crate) async fn status(fleet: &Fleet, router: usize) -> Option<Value> {
    let answer = fleet.send_as_operator(router, Method::GET, "/operator/status", "").await.ok()?;
    serde_json::from_slice(answer.body()).ok()
}

/// Returns the version in force at each router.
pub(crate) async fn versions(fleet: &Fleet) -> Vec<Option<u64>> {
    let mut versions = Vec::new();
    for router in 0..fleet.router_count() {
        versions.push(version(fleet, router).await);
    }
    versions
}

/// Returns the version in force at a router.
pub(crate) async fn version(fleet: &Fleet, router: usize) -> Option<u64> {
    status(fleet, router).await?["version"].as_u64()
}

/// Returns the zones and instances that are out of service according to a router, sorted.
pub(crate) async fn out_of_service(fleet: &Fleet, router: usize) -> Option<Vec<String>> {
    let status = status(fleet, router).await?;
    let mut out: Vec<String> = serde_json::from_value(status["out"].clone()).ok()?;
    out.sort();
    Some(out)
}

/// Returns the number of members that each router considers alive, including itself.
pub(crate) async fn alive_counts(fleet: &Fleet) -> Vec<usize> {
    let mut counts = Vec::new();
    for router in 0..fleet.router_count() {
        counts.push(alive(fleet, router).await.len());
    }
    counts
}

/// Returns the names of the members that a router considers alive, sorted.
pub(crate) async fn alive(fleet: &Fleet, router: usize) -> Vec<String> {
    let status = status(fleet, router).await.unwrap_or_default();
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let alive = members.iter().filter(|member| member["state"] == "alive");
    let mut names: Vec<String> =
        alive.filter_map(|member| member["name"].as_str()).map(str::to_owned).collect();
    names.sort();
    names
}

/// Returns the first router that dispatches the engines.
pub(crate) async fn dispatcher(fleet: &Fleet) -> Option<usize> {
    for router in 0..fleet.router_count() {
        if term(fleet, router).await.is_some() {
            return Some(router);
        }
    }
    None
}

/// Returns the term in which a router dispatches the engines.
pub(crate) async fn term(fleet: &Fleet, router: usize) -> Option<Value> {
    let status = status(fleet, router).await?;
    let shards = status["shards"].as_array()?;
    let shard = shards.iter().find(|shard| shard["shard"]["service"] == ENGINE)?;
    Some(shard["term"].clone())
}

/// Sends an order to take a zone or instance out of service, or to return it, and returns the order's counter.
pub(crate) async fn order_placement(
    fleet: &Fleet,
    router: usize,
    kind: &str,
    name: &str,
    out: bool,
) -> u64 {
    let answer = send_placement_order(fleet, router, kind, name, out).await;
    let body: Value = serde_json::from_slice(answer.body()).expect("JSON");
    assert_eq!(answer.status(), 200, "{body}");
    body["counter"].as_u64().expect("a counter")
}

/// Repeats an order for a zone until another process has it too; until then the router answers with status 503.
pub(crate) async fn order_zone_until_replicated(
    fleet: &Fleet,
    router: usize,
    zone: &str,
    out: bool,
) {
    wait_until(HANG_TIMEOUT, "an order that another process has received", async || {
        let answer = send_placement_order(fleet, router, "zone", zone, out).await;
        assert!([200, 503].contains(&answer.status().as_u16()), "{answer:?}");
        answer.status() == 200
    })
    .await;
}

async fn send_placement_order(
    fleet: &Fleet,
    router: usize,
    kind: &str,
    name: &str,
    out: bool,
) -> Response<Bytes> {
    let order = json!({ "kind": kind, "name": name, "out": out }).to_string();
    let answer = fleet.send_as_operator(router, Method::POST, "/operator/placement", &order).await;
    answer.expect("an answer to a placement order")
}

/// Publishes a configuration through a router, based on a version, and returns the answer.
pub(crate) async fn apply(fleet: &Fleet, router: usize, base: u64, text: &str) -> Response<Bytes> {
    let body = json!({ "base": base, "text": text }).to_string();
    let answer = fleet.send_as_operator(router, Method::POST, "/operator/config", &body).await;
    answer.expect("an answer to a configuration")
}

/// Returns a numeric field of an answer, such as `version`.
pub(crate) fn number_field(answer: &Response<Bytes>, field: &str) -> u64 {
    let body: Value = serde_json::from_slice(answer.body()).expect("JSON");
    body[field].as_u64().unwrap_or_else(|| panic!("no {field} in {body}"))
}

/// Returns the text of the configuration in force at a router.
pub(crate) async fn config_text(fleet: &Fleet, router: usize) -> String {
    let answer = fleet.send_as_operator(router, Method::GET, "/operator/config", "").await;
    let body: Value = serde_json::from_slice(answer.expect("an answer").body()).expect("JSON");
    body["text"].as_str().unwrap_or_default().to_owned()
}

/// Returns the fleet's configuration with another weight of its first workspace.
pub(crate) fn config_with_weight(fleet: &Fleet, weight: u32) -> String {
    let mut config = fleet.config().clone();
    config["workspaces"][0]["weight"] = json!(weight);
    config.to_string()
}

/// Sets faults of the platform fake.
pub(crate) async fn faults(fleet: &Fleet, faults: Faults) {
    fleet.platform().control("faults", &faults).await.expect("an accepted control request");
}

/// Starts or ends an outage of the log.
pub(crate) async fn log_down(fleet: &Fleet, is_down: bool) {
    faults(fleet, Faults { log_down: Some(is_down), ..Faults::default() }).await;
}

/// Returns the time in milliseconds since the Unix epoch, as used in journals.
pub(crate) fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    u64::try_from(elapsed.as_millis()).expect("a time that fits into 64 bits")
}

/// Returns a load of model calls with separate callers for each router.
pub(crate) fn load(fleet: &Fleet, routers: &[usize], callers: u32, duration: Duration) -> Load {
    let mut load = Load::new(1, duration);
    for router in routers {
        load = load.stream(stream(fleet.caller_of(WORKSPACE, *router), callers, *router));
    }
    load
}

/// Returns a stream of model calls from concurrent callers with the same addresses.
pub(crate) fn stream(caller: Caller, callers: u32, number: usize) -> Stream {
    let mix = Mix::of(move |_, call| {
        Call::completion(ENGINE, &format!("question {call} at {number}"), 12)
    });
    Stream::new(WORKSPACE, caller, Arrival::Closed { callers }, mix)
}

/// Fails unless all calls were answered completely.
pub(crate) fn assert_answered(records: &[Record]) {
    let failed: Vec<&Record> = records.iter().filter(|record| !record.is_success).collect();
    assert!(
        failed.is_empty(),
        "{} of {} failed: {:#?}",
        failed.len(),
        records.len(),
        failed.first()
    );
    assert!(!records.is_empty(), "no call was made");
}

/// Fails unless each call was answered completely or refused as not run within a time.
pub(crate) fn assert_answered_or_refused(records: &[Record], max_refusal_time: Duration) {
    let is_acceptable = |record: &Record| {
        let is_refused = record.verdict == Some(Verdict::NotRun) && record.total < max_refusal_time;
        record.is_success || is_refused
    };
    let failed: Vec<&Record> = records.iter().filter(|record| !is_acceptable(record)).collect();
    assert!(
        failed.is_empty(),
        "{} of {} failed: {:#?}",
        failed.len(),
        records.len(),
        failed.first()
    );
    assert!(!records.is_empty(), "no call was made");
}

/// Returns the number of requests that each runner has received since a time.
pub(crate) async fn started_since(fleet: &Fleet, millis: u64) -> IndexMap<String, usize> {
    let journals = fleet.journals().await.expect("journals");
    let count = |report: &journal::Report| {
        report.requests.iter().filter(|entry| entry.started_ms > millis).count()
    };
    journals.iter().map(|(name, report)| (name.clone(), count(report))).collect()
}

/// Waits until each runner has received a request.
pub(crate) async fn wait_until_all_runners_work(fleet: &Fleet) {
    wait_until(HANG_TIMEOUT, "work at each runner", async || {
        started_since(fleet, 0).await.values().all(|count| *count > 0)
    })
    .await;
}
