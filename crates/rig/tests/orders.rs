//! Tests of orders to runners: increasing fencing tokens, paused and killed dispatchers, and a log that is down.

mod support;

use std::time::Duration;

use fake::journal::Order;
use http::Method;
use rig::Builder;
use rig::Fleet;
use rig::RunnerPlan;
use rig::ServicePlan;
use rig::WorkspacePlan;
use serde_json::Value;
use serde_json::json;
use support::ENGINE;
use support::HANG_TIMEOUT;
use support::REGION;
use support::WORKSPACE;
use support::ZONES;

/// The runner that checks fencing tokens.
const CHECKING: &str = "belay-llm-1";
/// The runner that doesn't check fencing tokens.
const UNCHECKED: &str = "belay-llm-2";
/// The time for which a dispatcher is paused.
const PAUSE_DURATION: Duration = Duration::from_secs(8);
/// The time within which orders would arrive if they were not suppressed.
const OBSERVATION_TIME: Duration = Duration::from_secs(7);

fn builder() -> Builder {
    let plain: RunnerPlan = support::engine().without_fencing();
    let service = ServicePlan::engine(ENGINE, REGION)
        .runners(1, &support::engine())
        .runners(1, &plain)
        .field("model", json!("oak@1"))
        .field("adapters", json!(["moss"]));
    let mut builder = Fleet::builder().routers(3);
    for zone in ZONES {
        builder = builder.zone(zone, REGION);
    }
    builder.workspace(WorkspacePlan::new(WORKSPACE)).service(service)
}

fn with_model(fleet: &Fleet, model: &str) -> String {
    let mut config = fleet.config().clone();
    config["services"][0]["model"] = json!(model);
    config.to_string()
}

async fn orders(fleet: &Fleet, runner: &str) -> Vec<Order> {
    fleet.runners()[runner].journal().await.expect("a journal").orders
}

fn applied(orders: &[Order]) -> Vec<&Order> {
    orders.iter().filter(|order| order.is_applied).collect()
}

/// Returns the fence of the last applied orders of a runner if they loaded the model and the adapter.
async fn loaded_fence(fleet: &Fleet, runner: &str, model: &str) -> Option<u64> {
    let orders = orders(fleet, runner).await;
    let applied = applied(&orders);
    let last = |order: &str| applied.iter().rfind(|one| one.order == order).copied();
    let (model_order, adapter) = (last("load-model")?, last("load-adapter")?);
    let is_wanted = model_order.name == model && adapter.name == "moss";
    (is_wanted && adapter.fence == model_order.fence).then_some(adapter.fence)
}

/// Waits until both runners have loaded the model and the adapter with the same fence above a bound, and returns the
/// fence.
async fn wait_until_both_loaded(fleet: &Fleet, model: &str, above: u64) -> u64 {
    let fence = async || {
        let first = loaded_fence(fleet, CHECKING, model).await?;
        let second = loaded_fence(fleet, UNCHECKED, model).await?;
        (first == second && first > above).then_some(first)
    };
    let what = format!("both runners have {model} with one fence above {above}");
    support::wait_until(HANG_TIMEOUT, &what, async || fence().await.is_some()).await;
    fence().await.expect("loaded")
}

/// Fails if a runner applied an order with a lower fence after one with a higher fence.
async fn assert_rising(fleet: &Fleet) {
    for runner in [CHECKING, UNCHECKED] {
        let orders = orders(fleet, runner).await;
        let fences: Vec<u64> = applied(&orders).iter().map(|order| order.fence).collect();
        assert!(fences.is_sorted(), "{runner}: {orders:#?}");
    }
}

async fn other_dispatcher(fleet: &Fleet, lost: usize) -> usize {
    let others = async || {
        for router in (0..fleet.router_count()).filter(|router| *router != lost) {
            if support::term(fleet, router).await.is_some() {
                return Some(router);
            }
        }
        None
    };
    support::wait_until(HANG_TIMEOUT, "another dispatcher", async || others().await.is_some())
        .await;
    others().await.expect("a dispatcher")
}

async fn runner_event_details(fleet: &Fleet, router: usize) -> Vec<String> {
    let answer = fleet.send_as_operator(router, Method::GET, "/operator/timeline", "").await;
    let events: Value = serde_json::from_slice(answer.expect("an answer").body()).expect("JSON");
    let events = events.as_array().cloned().unwrap_or_default();
    let runner = events.iter().filter(|event| event["kind"] == "runner");
    runner.filter_map(|event| event["detail"].as_str()).map(str::to_owned).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_carry_a_higher_fence_after_the_dispatcher_is_killed() {
    let mut fleet = support::start(builder()).await;
    let first = wait_until_both_loaded(&fleet, "oak@1", 0).await;
    let dispatcher = support::dispatcher(&fleet).await.expect("a dispatcher");
    let details = runner_event_details(&fleet, dispatcher).await;
    for expected in [
        format!("ordered load-model oak@1 with fence {first}"),
        format!("order load-adapter moss with fence {first} ended: done"),
    ] {
        assert!(details.contains(&expected), "{expected}: {details:#?}");
    }
    fleet.kill(dispatcher);
    wait_until_both_loaded(&fleet, "oak@1", first).await;
    assert_rising(&fleet).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_dispatcher_sends_no_orders_with_its_old_fence() {
    let mut fleet = support::start(builder()).await;
    let first = wait_until_both_loaded(&fleet, "oak@1", 0).await;
    let dispatcher = support::dispatcher(&fleet).await.expect("a dispatcher");
    let other = (dispatcher + 1) % 3;
    let version = support::version(&fleet, other).await.expect("a version");
    fleet.pause(dispatcher).expect("paused");
    let paused = tokio::time::Instant::now();
    let text = with_model(&fleet, "oak@2");
    assert_eq!(support::apply(&fleet, other, version, &text).await.status(), 200);
    let second = wait_until_both_loaded(&fleet, "oak@2", first).await;
    tokio::time::sleep_until(paused + PAUSE_DURATION).await;
    fleet.resume(dispatcher).expect("a paused router");
    // Orders with the old fence must not arrive during this time.
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_rising(&fleet).await;
    for runner in [CHECKING, UNCHECKED] {
        let orders = orders(&fleet, runner).await;
        let begin = orders.iter().position(|order| order.fence == second).expect("a new order");
        let late = orders[begin..].iter().filter(|order| order.fence <= first).count();
        assert_eq!(late, 0, "{runner}: {orders:#?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn while_the_log_is_down_a_new_dispatcher_sends_no_orders_and_calls_continue() {
    let mut fleet = support::start(builder()).await;
    let first = wait_until_both_loaded(&fleet, "oak@1", 0).await;
    let before = [orders(&fleet, CHECKING).await, orders(&fleet, UNCHECKED).await];
    support::log_down(&fleet, true).await;
    let dispatcher = support::dispatcher(&fleet).await.expect("a dispatcher");
    fleet.kill(dispatcher);
    let other = other_dispatcher(&fleet, dispatcher).await;
    let load = support::load(&fleet, &[other], 2, OBSERVATION_TIME);
    let records = load.run().await;
    support::assert_answered(&records);
    let after = [orders(&fleet, CHECKING).await, orders(&fleet, UNCHECKED).await];
    assert_eq!(after, before);
    support::log_down(&fleet, false).await;
    wait_until_both_loaded(&fleet, "oak@1", first).await;
    assert_rising(&fleet).await;
}
