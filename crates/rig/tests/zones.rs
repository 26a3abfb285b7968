//! Tests of zones and instances that are taken out of service and returned to service under load.

mod support;

use std::time::Duration;

use base::Verdict;
use rig::Call;
use rig::Change;
use rig::Fleet;
use rig::Load;
use rig::RunDirectory;
use serde_json::Value;
use serde_json::json;
use support::COLD_LIMIT;
use support::ENGINE;
use support::HANG_TIMEOUT;
use support::SLOTS;
use support::WORKSPACE;
use support::ZONE_TARGET;
use support::ZONES;
use support::instance_list::InstanceList;
use support::standalone;
use support::standalone::StandaloneRouter;
use tokio::time::Instant;

/// The zone that is taken out of service, and its runner.
const ZONE_AND_RUNNER: (&str, &str) = (ZONES[1], "belay-llm-2");
/// The time for which a load continues after the target time of an order.
const LOAD_AFTER_TARGET: Duration = Duration::from_secs(2);

/// A disturbance of the fleet during the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    Nothing,
    LogDown,
    ReceiverKilled,
}

fn target_millis(millis: u64) -> u64 {
    millis + u64::try_from(ZONE_TARGET.as_millis()).expect("a short time")
}

async fn wait_for_out_list(fleet: &Fleet, routers: &[usize], wanted: &[&str]) -> Duration {
    let what = format!("{wanted:?} out at routers {routers:?}");
    support::wait_until(ZONE_TARGET, &what, async || {
        for router in routers {
            if support::out_of_service(fleet, *router).await.is_none_or(|out| out != wanted) {
                return false;
            }
        }
        true
    })
    .await
}

/// Takes a zone out of service under load and checks that its runner receives no new work after the target time.
async fn take_zone_out_under_load(disturbance: Disturbance) {
    let mut fleet = support::start(support::builder(5)).await;
    let receiver = 3;
    let staying: Vec<usize> = (0..5).filter(|router| *router != receiver).collect();
    let entries: &[usize] =
        if disturbance == Disturbance::ReceiverKilled { &staying } else { &[0, 1, 2, 3, 4] };
    let time = ZONE_TARGET + LOAD_AFTER_TARGET + Duration::from_secs(2);
    let load = support::load(&fleet, entries, 3, time);
    let orders = async {
        support::wait_until_all_runners_work(&fleet).await;
        if disturbance == Disturbance::LogDown {
            support::log_down(&fleet, true).await;
        }
        support::order_placement(&fleet, receiver, "zone", ZONE_AND_RUNNER.0, true).await;
        let answered = support::unix_millis();
        if disturbance == Disturbance::ReceiverKilled {
            fleet.kill(receiver);
        }
        let took = wait_for_out_list(&fleet, entries, &["zone/nottingham"]).await;
        println!("{disturbance:?}: out of service everywhere {took:?} after the answer");
        support::wait_until(ZONE_TARGET, "a dispatcher in another zone", async || {
            let dispatcher = support::dispatcher(&fleet).await;
            dispatcher.is_some_and(|router| fleet.router(router).zone() != ZONE_AND_RUNNER.0)
        })
        .await;
        for router in entries {
            let caller = fleet.caller_of(WORKSPACE, *router);
            let addresses = caller.addresses(ENGINE).await.expect("addresses").addresses;
            assert!(
                addresses.iter().all(|router| router.zone != ZONE_AND_RUNNER.0),
                "router {router}: {addresses:?}"
            );
            assert!(!addresses.is_empty(), "router {router} returns no addresses");
        }
        answered
    };
    let (records, answered) = tokio::join!(load.run(), orders);
    support::assert_answered(&records);
    let late = support::started_since(&fleet, target_millis(answered)).await;
    assert_eq!(late[ZONE_AND_RUNNER.1], 0, "new work in the zone that is out of service: {late:?}");
    assert!(late["belay-llm-1"] > 0 && late["belay-llm-3"] > 0, "the load continued: {late:?}");
    let in_zone = fleet.router(1).caller_address();
    let served = records.iter().filter(|record| record.router == Some(in_zone)).count();
    assert!(served > 0, "the router of the zone serves callers that know its address");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_that_is_out_of_service_gets_no_new_work_and_no_call_fails() {
    take_zone_out_under_load(Disturbance::Nothing).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_is_taken_out_of_service_while_the_log_is_down() {
    take_zone_out_under_load(Disturbance::LogDown).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_takes_effect_even_if_its_receiver_is_killed_right_after_the_answer() {
    take_zone_out_under_load(Disturbance::ReceiverKilled).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_order_is_lost_with_the_router_that_received_it() {
    let mut fleet = support::start(support::builder(3)).await;
    support::log_down(&fleet, true).await;
    for round in 0..10 {
        let is_out = round % 2 == 0;
        support::order_zone_until_replicated(&fleet, 2, ZONE_AND_RUNNER.0, is_out).await;
        fleet.kill(2);
        let wanted: &[&str] = if is_out { &["zone/nottingham"] } else { &[] };
        wait_for_out_list(&fleet, &[0, 1], wanted).await;
        fleet.restart(2).expect("started");
        wait_for_out_list(&fleet, &[0, 1, 2], wanted).await;
        support::wait_until(HANG_TIMEOUT, "the restarted router as a member", async || {
            support::alive_counts(&fleet).await == [3; 3]
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_given_during_a_log_outage_survives_a_restart_of_the_whole_fleet() {
    let mut fleet = support::start(support::builder(3)).await;
    support::log_down(&fleet, true).await;
    support::order_placement(&fleet, 0, "zone", ZONE_AND_RUNNER.0, true).await;
    wait_for_out_list(&fleet, &[0, 1, 2], &["zone/nottingham"]).await;
    assert_eq!(fleet.records("placement").await.ok(), None, "the log is down");
    support::log_down(&fleet, false).await;
    support::wait_until(HANG_TIMEOUT, "the order in the log", async || {
        fleet.records("placement").await.is_ok_and(|records| !records.is_empty())
    })
    .await;
    for router in 0..3 {
        fleet.kill(router);
    }
    for router in 0..3 {
        fleet.restart(router).expect("started");
    }
    wait_for_out_list(&fleet, &[0, 1, 2], &["zone/nottingham"]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_side_of_a_partition_applies_its_own_orders_and_both_agree_afterwards() {
    let fleet = support::start(support::builder(5).proxied()).await;
    support::log_down(&fleet, true).await;
    fleet.isolate(&[0, 1]).await.expect("isolated routers");
    support::wait_until(HANG_TIMEOUT, "two sides of the partition", async || {
        support::alive_counts(&fleet).await == [2, 2, 3, 3, 3]
    })
    .await;
    // The higher counter supersedes: nottingham returns to service, as the other side has sent the later order.
    support::order_placement(&fleet, 0, "zone", "nottingham", true).await;
    support::order_placement(&fleet, 2, "zone", "nottingham", true).await;
    support::order_placement(&fleet, 3, "zone", "nottingham", false).await;
    // With equal counters, out of service supersedes.
    support::order_placement(&fleet, 1, "zone", "derby", true).await;
    support::order_placement(&fleet, 4, "zone", "derby", false).await;
    // Only one side receives this order.
    support::order_placement(&fleet, 2, "zone", "leicester", true).await;
    wait_for_out_list(&fleet, &[0, 1], &["zone/derby", "zone/nottingham"]).await;
    wait_for_out_list(&fleet, &[2, 3, 4], &["zone/leicester"]).await;
    let sides = [(0, ["belay-llm-3"].as_slice()), (3, &["belay-llm-1", "belay-llm-2"])];
    for (side, expected) in sides {
        let before = support::started_since(&fleet, 0).await;
        for number in 0..6 {
            let call = Call::completion(ENGINE, &format!("which way {number}"), 2);
            let call = call.deadline(Duration::from_secs(1));
            let answer = fleet.caller_of(WORKSPACE, side).call(&call).await;
            let is_refused = side == 0 && answer.verdict() == Some(Verdict::NotRun);
            assert!(answer.is_success() || is_refused, "router {side}: {answer:?}");
        }
        for (runner, count) in support::started_since(&fleet, 0).await {
            let is_used = count > before[&runner];
            assert!(!is_used || expected.contains(&runner.as_str()), "{side} uses {runner}");
        }
    }
    fleet.clear_network_faults().await.expect("cleared network faults");
    support::wait_until(HANG_TIMEOUT, "one fleet after the partition", async || {
        support::alive_counts(&fleet).await == [5; 5]
    })
    .await;
    let took = wait_for_out_list(&fleet, &[0, 1, 2, 3, 4], &["zone/derby", "zone/leicester"]).await;
    println!("both sides agree {took:?} after all members are alive again");
    support::log_down(&fleet, false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_at_a_router_that_has_not_received_the_previous_one_supersedes_it() {
    let fleet = support::start(support::builder(3).proxied()).await;
    // Without the log, orders spread only between members, and the second router receives them late.
    support::log_down(&fleet, true).await;
    let late = Change { delay_ms: Some(100), ..Change::default() };
    for link in ["peer:r1:r2", "peer:r2:r1", "peer:r2:r3", "peer:r3:r2"] {
        fleet
            .network()
            .expect("a proxied network")
            .change_link(link, late)
            .await
            .expect("a delayed link");
    }
    for zone in ["nottingham", "derby", "leicester"] {
        let out = support::order_placement(&fleet, 0, "zone", zone, true).await;
        let back = support::order_placement(&fleet, 1, "zone", zone, false).await;
        assert!(back > out, "{zone}: the later order has counter {back}, the one before {out}");
    }
    wait_for_out_list(&fleet, &[0, 1, 2], &[]).await;
    support::log_down(&fleet, false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_orders_leave_all_routers_in_agreement() {
    let fleet = support::start(support::builder(5)).await;
    for round in 0..10 {
        let (out, back) = tokio::join!(
            support::order_placement(&fleet, round % 5, "zone", ZONE_AND_RUNNER.0, true),
            support::order_placement(&fleet, (round + 2) % 5, "zone", ZONE_AND_RUNNER.0, false),
        );
        let wanted: &[&str] = if out >= back { &["zone/nottingham"] } else { &[] };
        wait_for_out_list(&fleet, &[0, 1, 2, 3, 4], wanted).await;
        let last =
            support::order_placement(&fleet, 0, "zone", ZONE_AND_RUNNER.0, round % 2 == 0).await;
        assert!(last > out.max(back), "a later order has a larger counter");
        let wanted: &[&str] = if round % 2 == 0 { &["zone/nottingham"] } else { &[] };
        wait_for_out_list(&fleet, &[0, 1, 2, 3, 4], wanted).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_that_returns_to_service_gets_work_gradually_while_its_runner_is_cold() {
    let cold = support::engine().args(&["--cold", "--warm-after", "4"]);
    let engines = [support::engine(), cold, support::engine()];
    let fleet = support::start(support::with_engines(3, &engines)).await;
    support::order_placement(&fleet, 0, "zone", ZONE_AND_RUNNER.0, true).await;
    wait_for_out_list(&fleet, &[0, 1, 2], &["zone/nottingham"]).await;
    let load = support::load(&fleet, &[0, 1, 2], 6, Duration::from_secs(16));
    let orders = async {
        support::wait_until(HANG_TIMEOUT, "work elsewhere", async || {
            let started = support::started_since(&fleet, 0).await;
            started["belay-llm-1"] > 0 && started["belay-llm-3"] > 0
        })
        .await;
        support::order_placement(&fleet, 1, "zone", ZONE_AND_RUNNER.0, false).await;
        wait_for_out_list(&fleet, &[0, 1, 2], &[]).await;
        wait_until_warm_and_busy(&fleet, 0).await;
        // The runner crashes while its zone is out of service, and is cold when it returns.
        support::order_placement(&fleet, 2, "zone", ZONE_AND_RUNNER.0, true).await;
        wait_until_idle(&fleet).await;
        fleet.runners()[ZONE_AND_RUNNER.1]
            .control("crash", &())
            .await
            .expect("an accepted control request");
        let crashed = support::unix_millis();
        support::order_placement(&fleet, 0, "zone", ZONE_AND_RUNNER.0, false).await;
        wait_until_warm_and_busy(&fleet, crashed).await;
    };
    let (records, ()) = tokio::join!(load.run(), orders);
    support::assert_answered(&records);
    let journal = fleet.runners()[ZONE_AND_RUNNER.1].journal().await.expect("a journal");
    assert_eq!((journal.crashes, journal.peak_cold.min(COLD_LIMIT)), (1, journal.peak_cold));
}

/// Waits until the runner of the returned zone is warm and has as many requests as it may have.
async fn wait_until_warm_and_busy(fleet: &Fleet, since: u64) {
    support::wait_until(HANG_TIMEOUT, "all slots in use at the returned runner", async || {
        let journal = fleet.runners()[ZONE_AND_RUNNER.1].journal().await;
        let new = journal.map(|journal| journal.requests).unwrap_or_default();
        new.iter().any(|entry| entry.started_ms > since && entry.in_flight == SLOTS)
    })
    .await;
}

async fn wait_until_idle(fleet: &Fleet) {
    support::wait_until(HANG_TIMEOUT, "no work in the zone that is out of service", async || {
        let journal = fleet.runners()[ZONE_AND_RUNNER.1].journal().await.expect("a journal");
        journal.requests.iter().all(|entry| entry.ended_ms.is_some())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_in_a_zone_that_is_taken_out_of_service_is_completed() {
    let fleet = support::start(support::builder(3)).await;
    let call = |number: u32| Call::completion(ENGINE, &format!("a long story {number}"), 120);
    let [one, two, three] = [call(1), call(2), call(3)];
    let caller = fleet.caller(WORKSPACE);
    let orders = async {
        support::wait_until_all_runners_work(&fleet).await;
        support::order_placement(&fleet, 0, "zone", ZONE_AND_RUNNER.0, true).await;
        wait_for_out_list(&fleet, &[0, 1, 2], &["zone/nottingham"]).await;
        Instant::now()
    };
    let answers = async { tokio::join!(caller.call(&one), caller.call(&two), caller.call(&three)) };
    let ends = async {
        let answers = answers.await;
        (answers, Instant::now())
    };
    let ((answers, ended), ordered) = tokio::join!(ends, orders);
    assert!(ordered < ended, "the work continued after the order");
    for (answer, number) in [answers.0, answers.1, answers.2].iter().zip(1..) {
        assert_eq!(answer.check_complete(&format!("a long story {number}"), 120), Ok(()));
    }
    let journals = fleet.journals().await.expect("journals");
    let outcomes: Vec<_> = journals
        .values()
        .map(|journal| journal.requests.iter().map(|entry| entry.outcome).collect::<Vec<_>>())
        .collect();
    assert_eq!(outcomes, vec![vec![Some(fake::journal::Outcome::Answered)]; 3]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_runner_that_the_platform_removes_gets_no_new_work() {
    let fleet = support::builder(0).start().await.expect("a platform");
    let instance_list = InstanceList::start().await;
    let directory = RunDirectory::new().expect("a directory");
    let authority = standalone::authority("fleet");
    let start = |number: usize| {
        let name = format!("s{number}");
        let keys = standalone::keys(&authority, &name, &[&authority]);
        let mut settings = standalone::settings(&fleet, &name, number, &keys);
        settings["platform"]["instances"] = json!(instance_list.address);
        StandaloneRouter::start(&directory, settings)
    };
    let routers = [start(0), start(1), start(2)];
    let instances: Vec<Value> = routers.iter().map(StandaloneRouter::entry).collect();
    instance_list.set(&json!({ "instances": instances }));
    support::wait_until(HANG_TIMEOUT, "members that know each other", async || {
        routers[0].alive().await.len() == 3 && routers[2].alive().await.len() == 3
    })
    .await;
    let load = routers
        .iter()
        .zip(0..)
        .fold(Load::new(1, Duration::from_secs(7)), |load, (router, number)| {
            load.stream(support::stream(router.caller(), 4, number))
        });
    let orders = async {
        support::wait_until_all_runners_work(&fleet).await;
        let leaving = json!([{ "name": ZONE_AND_RUNNER.1, "state": "leaving" }]);
        instance_list.set(&json!({ "instances": instances, "runners": leaving }));
        support::unix_millis()
    };
    let (records, listed) = tokio::join!(load.run(), orders);
    support::assert_answered(&records);
    let late = support::started_since(&fleet, target_millis(listed)).await;
    assert_eq!(late[ZONE_AND_RUNNER.1], 0, "new work at a leaving runner: {late:?}");
    assert!(late["belay-llm-1"] > 0 && late["belay-llm-3"] > 0, "the load continued: {late:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_is_taken_out_of_service_while_others_of_its_zone_continue() {
    let fleet = support::start(support::builder(3)).await;
    let load = support::load(&fleet, &[0, 1, 2], 4, Duration::from_secs(6));
    let orders = async {
        support::wait_until_all_runners_work(&fleet).await;
        support::order_placement(&fleet, 2, "instance", ZONE_AND_RUNNER.1, true).await;
        support::order_placement(&fleet, 2, "instance", "r3", true).await;
        let answered = support::unix_millis();
        wait_for_out_list(&fleet, &[0, 1, 2], &["instance/belay-llm-2", "instance/r3"]).await;
        for router in 0..3 {
            let caller = fleet.caller_of(WORKSPACE, router);
            let addresses = caller.addresses(ENGINE).await.expect("addresses").addresses;
            let zones: Vec<&str> = addresses.iter().map(|router| router.zone.as_str()).collect();
            assert!(!zones.contains(&ZONES[2]) && zones.contains(&ZONES[1]), "{zones:?}");
        }
        answered
    };
    let (records, answered) = tokio::join!(load.run(), orders);
    support::assert_answered(&records);
    let late = support::started_since(&fleet, target_millis(answered)).await;
    assert_eq!(late[ZONE_AND_RUNNER.1], 0, "{late:?}");
}
