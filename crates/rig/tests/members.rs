//! Tests of routers that crash, pause, are partitioned, return, leave or were never members.

mod support;

use std::time::Duration;

use rig::Call;
use rig::Change;
use rig::Faults;
use rig::Fleet;
use rig::Load;
use rig::Record;
use rig::RunDirectory;
use serde_json::json;
use support::COLD_LIMIT;
use support::ENGINE;
use support::HANG_TIMEOUT;
use support::SLOTS;
use support::WORKSPACE;
use support::standalone;
use support::standalone::StandaloneRouter;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The maximum time of an immediate refusal.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(3);
/// The time for which a router is paused.
const PAUSE_DURATION: Duration = Duration::from_secs(5);
/// The time within which a started router must serve its callers.
const JOIN_TIMEOUT: Duration = Duration::from_secs(6);

/// Checks that no runner exceeded its limits of concurrent requests or crashed.
async fn assert_limits_kept(fleet: &Fleet) {
    for (name, journal) in fleet.journals().await.expect("journals") {
        let peak = journal.requests.iter().map(|entry| entry.in_flight).max().unwrap_or_default();
        assert!(peak <= SLOTS, "{name} had {peak} requests at once");
        assert!(journal.peak_cold <= COLD_LIMIT, "{name} had {} while cold", journal.peak_cold);
        assert_eq!(journal.crashes, 0, "{name} crashed");
    }
}

/// Returns whether a call was sent by a caller that uses only this router. A call that couldn't connect has no router
/// and counts as well.
fn is_at(fleet: &Fleet, record: &Record, router: usize) -> bool {
    record.router.is_none_or(|address| address == fleet.router(router).caller_address())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_dispatcher_fails_only_calls_of_its_own_callers() {
    let mut fleet = support::start(support::builder(5)).await;
    let killed = support::dispatcher(&fleet).await.expect("a dispatcher");
    // More callers than slots, so that calls wait at each entry when the dispatcher is killed.
    let load = support::load(&fleet, &[0, 1, 2, 3, 4], 5, Duration::from_secs(8));
    let fault = async {
        support::wait_until_all_runners_work(&fleet).await;
        support::wait_until(HANG_TIMEOUT, "waiting calls at the other entries", async || {
            let mut waiting = 0;
            for router in (0..5).filter(|router| *router != killed) {
                let status = support::status(&fleet, router).await.unwrap_or_default();
                waiting += status["waiting"].as_u64().unwrap_or_default();
            }
            waiting > 0
        })
        .await;
        fleet.kill(killed);
        let others: Vec<usize> = (0..5).filter(|router| *router != killed).collect();
        wait_for_other_dispatcher(&fleet, &others).await;
        support::unix_millis()
    };
    let (records, moved) = tokio::join!(load.run(), fault);
    let (own_calls, other_calls): (Vec<Record>, Vec<Record>) =
        records.into_iter().partition(|record| is_at(&fleet, record, killed));
    support::assert_answered(&other_calls);
    let is_definite = |record: &Record| record.is_success || record.failure.is_some();
    assert!(own_calls.iter().all(is_definite), "{own_calls:#?}");
    let started = support::started_since(&fleet, moved).await;
    assert!(started.values().all(|count| *count > 0), "the load continues: {started:?}");
    assert_limits_kept(&fleet).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_dispatcher_grants_nothing_in_its_old_term_and_rejoins() {
    let mut fleet = support::start(support::builder(5)).await;
    let paused = support::dispatcher(&fleet).await.expect("a dispatcher");
    let old_term = support::term(&fleet, paused).await.expect("a term");
    let others: Vec<usize> = (0..5).filter(|router| *router != paused).collect();
    let load = support::load(&fleet, &others, 5, PAUSE_DURATION + Duration::from_secs(7));
    let fault = async {
        support::wait_until_all_runners_work(&fleet).await;
        fleet.pause(paused).expect("running");
        let begin = Instant::now();
        wait_for_other_dispatcher(&fleet, &others).await;
        tokio::time::sleep_until(begin + PAUSE_DURATION).await;
        fleet.resume(paused).expect("paused");
        support::wait_until(HANG_TIMEOUT, "all members alive again", async || {
            support::alive_counts(&fleet).await == [5; 5]
        })
        .await;
        support::wait_until(HANG_TIMEOUT, "one dispatcher, not in the old term", async || {
            let mut terms = Vec::new();
            for router in 0..5 {
                terms.extend(support::term(&fleet, router).await);
            }
            terms.len() == 1 && terms[0] != old_term
        })
        .await;
    };
    let (records, ()) = tokio::join!(load.run(), fault);
    support::assert_answered(&records);
    assert_limits_kept(&fleet).await;
    let call = Call::completion(ENGINE, "awake again", 3);
    let answer = fleet.caller_of(WORKSPACE, paused).call(&call).await;
    assert_eq!(answer.check_complete("awake again", 3), Ok(()), "{answer:?}");
}

async fn wait_for_other_dispatcher(fleet: &Fleet, others: &[usize]) {
    support::wait_until(HANG_TIMEOUT, "another dispatcher", async || {
        for router in others {
            if support::term(fleet, *router).await.is_some() {
                return true;
            }
        }
        false
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn both_sides_of_a_partition_keep_the_limits_of_runners_that_both_reach() {
    let stays_cold = support::engine().args(&["--cold", "--warm-after", "100000"]);
    let engines = [support::engine(), stays_cold, support::engine()];
    let fleet = support::start(support::with_engines(5, &engines).proxied()).await;
    let load = support::load(&fleet, &[0, 1, 2, 3, 4], 4, Duration::from_secs(12));
    let fault = async {
        support::wait_until_all_runners_work(&fleet).await;
        fleet.isolate(&[0, 1]).await.expect("isolated routers");
        support::wait_until(HANG_TIMEOUT, "two sides of the partition", async || {
            support::alive_counts(&fleet).await == [2, 2, 3, 3, 3]
        })
        .await;
    };
    let (records, ()) = tokio::join!(load.run(), fault);
    support::assert_answered_or_refused(&records, MAX_REFUSAL_TIME);
    assert_limits_kept(&fleet).await;
    let is_late = |record: &&Record| record.started > Duration::from_secs(9);
    for router in 2..5 {
        let late: Vec<Record> = records.iter().filter(is_late).cloned().collect();
        let answered_here = late.into_iter().filter(|record| is_at(&fleet, record, router));
        support::assert_answered(&answered_here.collect::<Vec<Record>>());
    }
    fleet.clear_network_faults().await.expect("cleared network faults");
    support::wait_until(HANG_TIMEOUT, "one fleet after the partition", async || {
        support::alive_counts(&fleet).await == [5; 5]
    })
    .await;
    let again = support::load(&fleet, &[0, 1, 2, 3, 4], 1, Duration::from_secs(2)).run().await;
    support::assert_answered(&again);
    assert_limits_kept(&fleet).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn links_cut_in_one_direction_cost_no_call_and_no_limit() {
    let fleet = support::start(support::builder(4).proxied()).await;
    let load = support::load(&fleet, &[0, 1, 2, 3], 4, Duration::from_secs(9));
    let fault = async {
        support::wait_until_all_runners_work(&fleet).await;
        let dispatcher = support::dispatcher(&fleet).await.expect("a dispatcher");
        let name = fleet.router(dispatcher).name().to_owned();
        let other = fleet.router((dispatcher + 1) % 4).name().to_owned();
        let network = fleet.network().expect("a network");
        let cut = Change { cut_to_target: Some(true), ..Change::default() };
        network.change_link(&format!("peer:{name}:{other}"), cut).await.expect("cut");
        let cut = Change { cut_to_client: Some(true), ..Change::default() };
        network.change_link(&format!("peer:{other}:{name}"), cut).await.expect("cut");
    };
    let (records, ()) = tokio::join!(load.run(), fault);
    support::assert_answered_or_refused(&records, MAX_REFUSAL_TIME);
    let success = records.iter().filter(|record| record.is_success).count();
    assert!(success * 10 > records.len() * 9, "{success} of {} answered", records.len());
    assert_limits_kept(&fleet).await;
    fleet.clear_network_faults().await.expect("cleared network faults");
    support::wait_until(HANG_TIMEOUT, "one fleet after the partition", async || {
        support::alive_counts(&fleet).await == [4; 4]
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_that_is_killed_and_restarted_immediately_rejoins_and_serves() {
    let mut fleet = support::start(support::builder(3)).await;
    for round in 0..3 {
        let restarted = round % 3;
        fleet.restart(restarted).expect("started");
        let begin = Instant::now();
        let text = format!("back again {round}");
        let served =
            support::wait_until(JOIN_TIMEOUT, "an answer of the restarted router", async || {
                let call = Call::completion(ENGINE, &text, 2).deadline(Duration::from_millis(500));
                let answer = fleet.caller_of(WORKSPACE, restarted).call(&call).await;
                answer.check_complete(&text, 2).is_ok()
            })
            .await;
        support::wait_until(HANG_TIMEOUT, "all members alive", async || {
            support::alive_counts(&fleet).await == [3; 3]
        })
        .await;
        support::order_zone_until_replicated(&fleet, restarted, "derby", round % 2 == 0).await;
        println!("serves after {served:?}, accepts orders after {:?}", begin.elapsed());
        assert!(begin.elapsed() < JOIN_TIMEOUT, "accepts orders after {:?}", begin.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_with_a_certificate_of_another_authority_receives_no_frames() {
    let fleet = support::builder(0).start().await.expect("a platform");
    let directory = RunDirectory::new().expect("a directory");
    let (ours, other) = (standalone::authority("fleet"), standalone::authority("fleet"));
    let start = |name: &str, authority| {
        let keys = standalone::keys(authority, name, &[authority]);
        StandaloneRouter::start(&directory, standalone::settings(&fleet, name, 0, &keys))
    };
    let routers = [start("s1", &ours), start("s2", &ours)];
    let keys = standalone::keys(&other, "s9", &[&other, &ours]);
    let untrusted =
        StandaloneRouter::start(&directory, standalone::settings(&fleet, "s9", 1, &keys));
    standalone::list(&fleet, &[&routers[0], &routers[1], &untrusted]).await;
    let late = start("s3", &ours);
    standalone::list(&fleet, &[&routers[0], &routers[1], &untrusted, &late]).await;
    support::wait_until(HANG_TIMEOUT, "the trusted members", async || {
        let mut are_members = true;
        for router in [&routers[0], &routers[1], &late] {
            are_members &= router.alive().await == ["s1", "s2", "s3"];
        }
        are_members
    })
    .await;
    let text = "only among friends";
    for router in [&routers[0], &routers[1], &late] {
        let answer = router.caller().call(&Call::completion(ENGINE, text, 3)).await;
        assert_eq!(answer.check_complete(text, 3), Ok(()), "{answer:?}");
        let addresses = router.caller().addresses(ENGINE).await.expect("addresses").addresses;
        assert!(
            addresses.iter().all(|router| router.address != untrusted.caller_address),
            "{addresses:?}"
        );
        assert_eq!(router.alive().await, ["s1", "s2", "s3"]);
    }
    let status = untrusted.status().await;
    assert_eq!(status["control"]["frames_received"], 0, "{status}");
    assert_eq!(untrusted.alive().await, ["s9"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_that_started_before_it_was_listed_returns_addresses_soon_after() {
    let fleet = support::builder(0).start().await.expect("a platform");
    let directory = RunDirectory::new().expect("a directory");
    let authority = standalone::authority("fleet");
    let keys = standalone::keys(&authority, "s1", &[&authority]);
    let router = StandaloneRouter::start(&directory, standalone::settings(&fleet, "s1", 0, &keys));
    tokio::time::sleep(Duration::from_millis(300)).await;
    standalone::list(&fleet, &[&router]).await;
    let took = support::wait_until(Duration::from_millis(500), "addresses", async || {
        router.caller().addresses(ENGINE).await.is_ok()
    });
    println!("returns addresses {:?} after it was listed", took.await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_rotated_router_by_router_while_calls_succeed() {
    let fleet = support::builder(0).start().await.expect("a platform");
    let directory = RunDirectory::new().expect("a directory");
    let (old, new) = (standalone::authority("fleet-1"), standalone::authority("fleet-2"));
    let start = |name: &str, zone: usize| {
        let keys = standalone::keys(&old, name, &[&old]);
        let mut settings = standalone::settings(&fleet, name, zone, &keys);
        settings["limits"] = json!({ "drain_ms": 300 });
        StandaloneRouter::start(&directory, settings)
    };
    let mut routers = [start("s1", 0), start("s2", 1), start("s3", 2)];
    standalone::list(&fleet, &routers.each_ref()).await;
    wait_for_members(&routers, 3).await;
    let stages = [(&old, vec![&old, &new]), (&new, vec![&old, &new]), (&new, vec![&new])];
    for (stage, (issuer, trusted)) in stages.iter().enumerate() {
        for index in 0..3 {
            let staying: Vec<&StandaloneRouter> =
                (0..3).filter(|one| *one != index).map(|one| &routers[one]).collect();
            let load =
                staying.iter().fold(Load::new(7, Duration::from_millis(1_000)), |load, router| {
                    load.stream(support::stream(router.caller(), 2, stage * 10 + index))
                });
            let keys = standalone::keys(issuer, &routers[index].name, trusted);
            routers[index].settings["peer_keys"] = keys;
            let mut running = JoinSet::new();
            running.spawn(load.run());
            routers[index].process.terminate().expect("running");
            assert!(routers[index].process.wait(HANG_TIMEOUT).expect("ended").success());
            routers[index].restart(&directory);
            support::assert_answered(&running.join_all().await.concat());
            wait_for_members(&routers, 3).await;
            let text = format!("turned {stage} {index}");
            let answer = routers[index].caller().call(&Call::completion(ENGINE, &text, 3)).await;
            assert_eq!(answer.check_complete(&text, 3), Ok(()), "{answer:?}");
        }
    }
    // Routers no longer trust the old authority.
    let keys = standalone::keys(&old, "s4", &[&old, &new]);
    let late = StandaloneRouter::start(&directory, standalone::settings(&fleet, "s4", 0, &keys));
    standalone::list(&fleet, &[&routers[0], &routers[1], &routers[2], &late]).await;
    let keys = standalone::keys(&new, "s5", &[&new]);
    let trusted_router =
        StandaloneRouter::start(&directory, standalone::settings(&fleet, "s5", 0, &keys));
    standalone::list(&fleet, &[&routers[0], &routers[1], &routers[2], &late, &trusted_router])
        .await;
    wait_for_members(&routers, 4).await;
    assert_eq!(routers[0].alive().await, ["s1", "s2", "s3", "s5"]);
}

async fn wait_for_members(routers: &[StandaloneRouter], count: usize) {
    support::wait_until(HANG_TIMEOUT, "members that know each other", async || {
        for router in routers {
            if router.alive().await.len() != count {
                return false;
            }
        }
        true
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_that_leaves_under_load_interrupts_no_call() {
    let builder = support::builder(4).setting("limits", json!({ "drain_ms": 2000 }));
    let mut fleet = support::start(builder).await;
    let leaving = support::dispatcher(&fleet).await.expect("a dispatcher");
    let staying = support::load(
        &fleet,
        &(0..4).filter(|router| *router != leaving).collect::<Vec<_>>(),
        4,
        Duration::from_secs(8),
    );
    // These callers know all routers and use the next one if they can't connect.
    let first = fleet.caller_of(WORKSPACE, leaving);
    let routers: Vec<_> =
        (0..4).map(|router| fleet.router((leaving + router) % 4).caller_address()).collect();
    first.set_routers(&routers);
    let load = staying.stream(support::stream(first, 4, 9));
    let fault = async {
        support::wait_until_all_runners_work(&fleet).await;
        fleet.terminate(leaving).expect("running");
        let others: Vec<usize> = (0..4).filter(|router| *router != leaving).collect();
        wait_for_other_dispatcher(&fleet, &others).await;
        support::wait_until(HANG_TIMEOUT, "answers without the router that leaves", async || {
            for router in &others {
                let caller = fleet.caller_of(WORKSPACE, *router);
                let addresses = caller.addresses(ENGINE).await.expect("addresses").addresses;
                let address = fleet.router(leaving).caller_address();
                if addresses.iter().any(|router| router.address == address) {
                    return false;
                }
            }
            true
        })
        .await;
    };
    let (records, ()) = tokio::join!(load.run(), fault);
    support::assert_answered(&records);
    let status = fleet.wait(leaving, HANG_TIMEOUT).expect("ended");
    assert!(status.success(), "{status}");
    assert_limits_kept(&fleet).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routers_that_start_without_the_instance_list_refuse_immediately_and_serve_once_it_returns()
{
    let mut fleet = support::start(support::builder(3)).await;
    support::faults(&fleet, Faults { instances_down: Some(true), ..Faults::default() }).await;
    for router in 0..3 {
        fleet.kill(router);
    }
    for router in 0..3 {
        fleet.restart(router).expect("started");
    }
    for router in 0..3 {
        for _ in 0..3 {
            let call = Call::completion(ENGINE, "too early", 3);
            let answer = fleet.caller_of(WORKSPACE, router).call(&call).await;
            assert_eq!(answer.verdict(), Some(base::Verdict::NotRun), "{answer:?}");
            assert!(answer.total < MAX_REFUSAL_TIME, "{answer:?}");
        }
    }
    support::faults(&fleet, Faults { instances_down: Some(false), ..Faults::default() }).await;
    fleet.wait_until_ready(JOIN_TIMEOUT).await.expect("a ready fleet");
    for router in 0..3 {
        let call = Call::completion(ENGINE, "in time", 3);
        let answer = fleet.caller_of(WORKSPACE, router).call(&call).await;
        assert_eq!(answer.check_complete("in time", 3), Ok(()), "{answer:?}");
    }
    assert_limits_kept(&fleet).await;
}
