//! Fleets for the tests of complete answers and of calls that run at most once.

#![allow(dead_code, reason = "each test uses its own part")]

use std::time::Duration;

use fake::journal::Entry;
use rig::Answer;
use rig::Builder;
use rig::Call;
use rig::Fleet;
use rig::RunnerPlan;
use rig::ServicePlan;
use rig::WorkspacePlan;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::task::JoinSet;
use tokio::time::Instant;

pub(crate) const MODEL: &str = "belay";
pub(crate) const PLAIN: &str = "ledger";
pub(crate) const REGION: &str = "midlands";
/// A timeout that only a hanging fleet reaches.
pub(crate) const HANG_TIMEOUT: Duration = Duration::from_secs(30);
/// The time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Limits the number of fleets that run at the same time.
static CONCURRENT_FLEETS: Semaphore = Semaphore::const_new(2);

/// A running fleet with its permit to run.
pub(crate) struct TestFleet {
    pub(crate) fleet: Fleet,
    _permit: SemaphorePermit<'static>,
}

pub(crate) fn builder(routers: usize, model: &RunnerPlan, plain: &RunnerPlan) -> Builder {
    let timeouts = json!({
        "first_byte_ms": 2500, "between_bytes_ms": 1500, "queue_ms": 30_000, "long_queue_ms": 30_000,
    });
    Fleet::builder()
        .zone("derby", REGION)
        .zone("matlock", REGION)
        .routers(routers)
        .workspace(WorkspacePlan::new("crag"))
        .workspace(WorkspacePlan::new("gym"))
        .setting("limits", json!({ "drain_ms": 300 }))
        .service(
            ServicePlan::engine(MODEL, REGION)
                .runners(2, model)
                .field("timeouts", timeouts.clone()),
        )
        .service(ServicePlan::plain(PLAIN, REGION).runners(1, plain).field("timeouts", timeouts))
}

pub(crate) fn model() -> RunnerPlan {
    let args = ["--first-token-ms", "50", "--token-interval-ms", "20", "--fall-ms", "500"];
    RunnerPlan::new().args(&args).limits(8, 2)
}

pub(crate) async fn start(builder: Builder) -> TestFleet {
    let permit = CONCURRENT_FLEETS.acquire().await.expect("never closed");
    let mut fleet = builder.start().await.expect("started");
    fleet.wait_until_ready(HANG_TIMEOUT).await.expect("a ready fleet");
    // Calls wait until the dispatchers have received the state of all members; one successful call of each kind shows
    // that they have.
    for router in 0..fleet.router_count() {
        let caller = fleet.caller_of("gym", router);
        for call in [Call::completion(MODEL, "first", 1), Call::lookup(PLAIN, "/first")] {
            wait_until("the first calls", async || caller.call(&call).await.is_success()).await;
        }
    }
    TestFleet { fleet, _permit: permit }
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, mut is_met: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + HANG_TIMEOUT;
    while !is_met().await {
        assert!(Instant::now() < deadline, "timed out: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a call to a router in the background.
pub(crate) fn send(calls: &mut JoinSet<Answer>, fleet: &Fleet, router: usize, call: &Call) {
    let (caller, call) = (fleet.caller_of("crag", router), call.clone());
    calls.spawn(async move { caller.call(&call).await });
}

/// Waits for the next call that ends and returns its answer.
pub(crate) async fn next(calls: &mut JoinSet<Answer>) -> Answer {
    calls.join_next().await.expect("a call").expect("an answer")
}

/// Returns the journal entries of the workspace's calls from all runners.
pub(crate) async fn entries(fleet: &Fleet) -> Vec<RunnerEntry> {
    let mut entries = Vec::new();
    for (runner, journal) in fleet.journals().await.expect("journals") {
        let requests =
            journal.requests.into_iter().filter(|e| e.workspace.as_deref() == Some("crag"));
        entries.extend(requests.map(|entry| RunnerEntry { runner: runner.clone(), entry }));
    }
    entries
}

/// A journal entry with the name of its runner.
#[derive(Debug, Clone)]
pub(crate) struct RunnerEntry {
    pub(crate) runner: String,
    pub(crate) entry: Entry,
}

/// Returns the number of executed calls of the workspace.
pub(crate) async fn executions(fleet: &Fleet) -> usize {
    entries(fleet).await.iter().filter(|found| found.entry.execution.is_some()).count()
}

/// Waits until the only call of the workspace has generated a number of tokens and returns its runner.
pub(crate) async fn wait_until_streaming(fleet: &Fleet, tokens: u64) -> String {
    let deadline = Instant::now() + HANG_TIMEOUT;
    loop {
        let found = entries(fleet).await.into_iter().find(|found| found.entry.tokens >= tokens);
        if let Some(found) = found {
            return found.runner;
        }
        assert!(Instant::now() < deadline, "timed out: {tokens} tokens of a call");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a control request to a runner.
pub(crate) async fn control_runner(fleet: &mut Fleet, runner: &str, name: &str, body: &Value) {
    fleet
        .runner(runner)
        .expect("a runner")
        .control(name, body)
        .await
        .expect("an accepted control request");
}

/// Checks that no router has panicked.
pub(crate) fn expect_no_panic(fleet: &Fleet) {
    for router in 0..fleet.router_count() {
        let log = fleet.router(router).process.log();
        assert!(!log.contains("panicked"), "{log}");
    }
}
