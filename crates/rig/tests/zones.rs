//! Zones and instances that are taken out of a running fleet and brought back.

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
use support::COLD;
use support::ENGINE;
use support::HANG;
use support::SLOTS;
use support::WORKSPACE;
use support::ZONE_TARGET;
use support::ZONES;
use support::listing::Listing;
use support::own;
use support::own::Own;
use tokio::time::Instant;

/// The zone that is taken out, with its runner.
const OUT: (&str, &str) = (ZONES[1], "belay-llm-2");
/// How long a load goes on behind the target.
const BEHIND: Duration = Duration::from_secs(2);

/// What happens around the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Around {
    Nothing,
    LogDown,
    TakerKilled,
}

fn targets(millis: u64) -> u64 {
    millis + u64::try_from(ZONE_TARGET.as_millis()).expect("a short time")
}

async fn until_out(fleet: &Fleet, routers: &[usize], wanted: &[&str]) -> Duration {
    let what = format!("{wanted:?} out at routers {routers:?}");
    support::until(ZONE_TARGET, &what, async || {
        for router in routers {
            if support::out(fleet, *router).await.is_none_or(|out| out != wanted) {
                return false;
            }
        }
        true
    })
    .await
}

/// Takes a zone out under load and checks what its runner gets from then on.
async fn take_out(around: Around) {
    let mut fleet = support::start(support::builder(5)).await;
    let taker = 3;
    let staying: Vec<usize> = (0..5).filter(|router| *router != taker).collect();
    let entries: &[usize] = if around == Around::TakerKilled { &staying } else { &[0, 1, 2, 3, 4] };
    let time = ZONE_TARGET + BEHIND + Duration::from_secs(2);
    let load = support::load(&fleet, entries, 3, time);
    let orders = async {
        support::until_all_work(&fleet).await;
        if around == Around::LogDown {
            support::log_down(&fleet, true).await;
        }
        support::place(&fleet, taker, "zone", OUT.0, true).await;
        let answered = support::wall_millis();
        if around == Around::TakerKilled {
            fleet.kill(taker);
        }
        let took = until_out(&fleet, entries, &["zone/nottingham"]).await;
        println!("{around:?}: out everywhere {took:?} after the answer");
        support::until(ZONE_TARGET, "a dispatcher in another zone", async || {
            let dispatcher = support::dispatcher(&fleet).await;
            dispatcher.is_some_and(|router| fleet.router(router).zone() != OUT.0)
        })
        .await;
        for router in entries {
            let caller = fleet.caller_of(WORKSPACE, *router);
            let places = caller.addresses(ENGINE).await.expect("addresses").addresses;
            assert!(places.iter().all(|place| place.zone != OUT.0), "router {router}: {places:?}");
            assert!(!places.is_empty(), "router {router} names no router");
        }
        answered
    };
    let (records, answered) = tokio::join!(load.run(), orders);
    support::assert_answered(&records);
    let late = support::started_since(&fleet, targets(answered)).await;
    assert_eq!(late[OUT.1], 0, "new work at the zone that is out: {late:?}");
    assert!(late["belay-llm-1"] > 0 && late["belay-llm-3"] > 0, "the load went on: {late:?}");
    let in_zone = fleet.router(1).caller_address();
    let served = records.iter().filter(|record| record.router == Some(in_zone)).count();
    assert!(served > 0, "the router of the zone serves callers that hold its address");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_that_is_out_gets_no_new_work_and_no_call_suffers() {
    take_out(Around::Nothing).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_is_taken_out_while_the_log_is_down() {
    take_out(Around::LogDown).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_holds_though_the_router_that_took_it_is_killed_right_after_its_answer() {
    take_out(Around::TakerKilled).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_order_is_lost_with_the_router_that_took_it() {
    let mut fleet = support::start(support::builder(3)).await;
    support::log_down(&fleet, true).await;
    for round in 0..10 {
        let is_out = round % 2 == 0;
        support::place_until_taken(&fleet, 2, OUT.0, is_out).await;
        fleet.kill(2);
        let wanted: &[&str] = if is_out { &["zone/nottingham"] } else { &[] };
        until_out(&fleet, &[0, 1], wanted).await;
        fleet.restart(2).expect("started");
        until_out(&fleet, &[0, 1, 2], wanted).await;
        support::until(HANG, "the router back", async || {
            support::alive_counts(&fleet).await == [3; 3]
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_given_while_the_log_was_down_is_kept_for_a_fleet_that_starts_empty() {
    let mut fleet = support::start(support::builder(3)).await;
    support::log_down(&fleet, true).await;
    support::place(&fleet, 0, "zone", OUT.0, true).await;
    until_out(&fleet, &[0, 1, 2], &["zone/nottingham"]).await;
    assert_eq!(fleet.records("placement").await.ok(), None, "the log is down");
    support::log_down(&fleet, false).await;
    support::until(HANG, "the order in the log", async || {
        fleet.records("placement").await.is_ok_and(|records| !records.is_empty())
    })
    .await;
    for router in 0..3 {
        fleet.kill(router);
    }
    for router in 0..3 {
        fleet.restart(router).expect("started");
    }
    until_out(&fleet, &[0, 1, 2], &["zone/nottingham"]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_side_of_a_partition_obeys_its_own_orders_and_both_agree_after_it() {
    let fleet = support::start(support::builder(5).proxied()).await;
    support::log_down(&fleet, true).await;
    fleet.isolate(&[0, 1]).await.expect("isolated");
    support::until(HANG, "two sides", async || {
        support::alive_counts(&fleet).await == [2, 2, 3, 3, 3]
    })
    .await;
    // Counters decide: nottingham is back, since the order of the other side is a later one.
    support::place(&fleet, 0, "zone", "nottingham", true).await;
    support::place(&fleet, 2, "zone", "nottingham", true).await;
    support::place(&fleet, 3, "zone", "nottingham", false).await;
    // With equal counters out wins.
    support::place(&fleet, 1, "zone", "derby", true).await;
    support::place(&fleet, 4, "zone", "derby", false).await;
    // Only one side knows of it.
    support::place(&fleet, 2, "zone", "leicester", true).await;
    until_out(&fleet, &[0, 1], &["zone/derby", "zone/nottingham"]).await;
    until_out(&fleet, &[2, 3, 4], &["zone/leicester"]).await;
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
    fleet.clear_network_faults().await.expect("healed");
    support::until(HANG, "one fleet", async || support::alive_counts(&fleet).await == [5; 5]).await;
    let took = until_out(&fleet, &[0, 1, 2, 3, 4], &["zone/derby", "zone/leicester"]).await;
    println!("both sides agree {took:?} after all members are alive again");
    support::log_down(&fleet, false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_at_a_router_that_has_not_heard_of_the_last_one_is_the_later_one() {
    let fleet = support::start(support::builder(3).proxied()).await;
    // Only members tell of orders, and the second router hears of them late.
    support::log_down(&fleet, true).await;
    let late = Change { delay_ms: Some(100), ..Change::default() };
    for link in ["peer:r1:r2", "peer:r2:r1", "peer:r2:r3", "peer:r3:r2"] {
        fleet
            .network()
            .expect("led through a network")
            .change_link(link, late)
            .await
            .expect("late");
    }
    for zone in ["nottingham", "derby", "leicester"] {
        let out = support::place(&fleet, 0, "zone", zone, true).await;
        let back = support::place(&fleet, 1, "zone", zone, false).await;
        assert!(back > out, "{zone}: the later order has counter {back}, the one before {out}");
    }
    until_out(&fleet, &[0, 1, 2], &[]).await;
    support::log_down(&fleet, false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_operators_who_race_leave_all_routers_of_one_mind() {
    let fleet = support::start(support::builder(5)).await;
    for round in 0..10 {
        let (out, back) = tokio::join!(
            support::place(&fleet, round % 5, "zone", OUT.0, true),
            support::place(&fleet, (round + 2) % 5, "zone", OUT.0, false),
        );
        let wanted: &[&str] = if out >= back { &["zone/nottingham"] } else { &[] };
        until_out(&fleet, &[0, 1, 2, 3, 4], wanted).await;
        let last = support::place(&fleet, 0, "zone", OUT.0, round % 2 == 0).await;
        assert!(last > out.max(back), "a later order has a larger counter");
        let wanted: &[&str] = if round % 2 == 0 { &["zone/nottingham"] } else { &[] };
        until_out(&fleet, &[0, 1, 2, 3, 4], wanted).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_that_comes_back_gets_work_gradually_while_its_runner_is_cold() {
    let cold = support::engine().args(&["--cold", "--warm-after", "4"]);
    let engines = [support::engine(), cold, support::engine()];
    let fleet = support::start(support::with_engines(3, &engines)).await;
    support::place(&fleet, 0, "zone", OUT.0, true).await;
    until_out(&fleet, &[0, 1, 2], &["zone/nottingham"]).await;
    let load = support::load(&fleet, &[0, 1, 2], 6, Duration::from_secs(16));
    let orders = async {
        support::until(HANG, "work elsewhere", async || {
            let started = support::started_since(&fleet, 0).await;
            started["belay-llm-1"] > 0 && started["belay-llm-3"] > 0
        })
        .await;
        support::place(&fleet, 1, "zone", OUT.0, false).await;
        until_out(&fleet, &[0, 1, 2], &[]).await;
        until_warm_and_full(&fleet, 0).await;
        // It falls over while its zone is out, and comes back as a cold one.
        support::place(&fleet, 2, "zone", OUT.0, true).await;
        until_idle(&fleet).await;
        fleet.runners()[OUT.1].control("crash", &()).await.expect("obeyed");
        let fallen = support::wall_millis();
        support::place(&fleet, 0, "zone", OUT.0, false).await;
        until_warm_and_full(&fleet, fallen).await;
    };
    let (records, ()) = tokio::join!(load.run(), orders);
    support::assert_answered(&records);
    let journal = fleet.runners()[OUT.1].journal().await.expect("a journal");
    assert_eq!((journal.crashes, journal.peak_cold.min(COLD)), (1, journal.peak_cold));
}

/// Waits until the runner of the zone that was out is warm and has as much work as it may.
async fn until_warm_and_full(fleet: &Fleet, since: u64) {
    support::until(HANG, "full work at the runner that came back", async || {
        let journal = fleet.runners()[OUT.1].journal().await;
        let new = journal.map(|journal| journal.requests).unwrap_or_default();
        new.iter().any(|entry| entry.started_ms > since && entry.in_flight == SLOTS)
    })
    .await;
}

async fn until_idle(fleet: &Fleet) {
    support::until(HANG, "no work in the zone that is out", async || {
        let journal = fleet.runners()[OUT.1].journal().await.expect("a journal");
        journal.requests.iter().all(|entry| entry.ended_ms.is_some())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_that_runs_in_a_zone_when_it_is_taken_out_is_finished_uncut() {
    let fleet = support::start(support::builder(3)).await;
    let call = |number: u32| Call::completion(ENGINE, &format!("a long story {number}"), 120);
    let [one, two, three] = [call(1), call(2), call(3)];
    let caller = fleet.caller(WORKSPACE);
    let orders = async {
        support::until_all_work(&fleet).await;
        support::place(&fleet, 0, "zone", OUT.0, true).await;
        until_out(&fleet, &[0, 1, 2], &["zone/nottingham"]).await;
        Instant::now()
    };
    let answers = async { tokio::join!(caller.call(&one), caller.call(&two), caller.call(&three)) };
    let ends = async {
        let answers = answers.await;
        (answers, Instant::now())
    };
    let ((answers, ended), ordered) = tokio::join!(ends, orders);
    assert!(ordered < ended, "the work ran on behind the order");
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
async fn a_runner_that_the_platform_takes_away_gets_no_new_work() {
    let fleet = support::builder(0).start().await.expect("a platform");
    let listing = Listing::start().await;
    let directory = RunDirectory::new().expect("a directory");
    let authority = own::authority("fleet");
    let start = |number: usize| {
        let name = format!("s{number}");
        let keys = own::keys(&authority, &name, &[&authority]);
        let mut settings = own::settings(&fleet, &name, number, &keys);
        settings["platform"]["instances"] = json!(listing.address);
        Own::start(&directory, settings)
    };
    let routers = [start(0), start(1), start(2)];
    let instances: Vec<Value> = routers.iter().map(Own::entry).collect();
    listing.set(&json!({ "instances": instances }));
    support::until(HANG, "members that know each other", async || {
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
        support::until_all_work(&fleet).await;
        let leaving = json!([{ "name": OUT.1, "state": "leaving" }]);
        listing.set(&json!({ "instances": instances, "runners": leaving }));
        support::wall_millis()
    };
    let (records, listed) = tokio::join!(load.run(), orders);
    support::assert_answered(&records);
    let late = support::started_since(&fleet, targets(listed)).await;
    assert_eq!(late[OUT.1], 0, "new work at a runner that leaves: {late:?}");
    assert!(late["belay-llm-1"] > 0 && late["belay-llm-3"] > 0, "the load went on: {late:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_instance_is_taken_out_and_the_others_of_its_zone_go_on() {
    let fleet = support::start(support::builder(3)).await;
    let load = support::load(&fleet, &[0, 1, 2], 4, Duration::from_secs(6));
    let orders = async {
        support::until_all_work(&fleet).await;
        support::place(&fleet, 2, "instance", OUT.1, true).await;
        support::place(&fleet, 2, "instance", "r3", true).await;
        let answered = support::wall_millis();
        until_out(&fleet, &[0, 1, 2], &["instance/belay-llm-2", "instance/r3"]).await;
        for router in 0..3 {
            let caller = fleet.caller_of(WORKSPACE, router);
            let places = caller.addresses(ENGINE).await.expect("addresses").addresses;
            let zones: Vec<&str> = places.iter().map(|place| place.zone.as_str()).collect();
            assert!(!zones.contains(&ZONES[2]) && zones.contains(&ZONES[1]), "{zones:?}");
        }
        answered
    };
    let (records, answered) = tokio::join!(load.run(), orders);
    support::assert_answered(&records);
    let late = support::started_since(&fleet, targets(answered)).await;
    assert_eq!(late[OUT.1], 0, "{late:?}");
}
