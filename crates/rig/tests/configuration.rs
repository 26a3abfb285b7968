//! Tests of configuration changes in a running fleet.

mod support;

use std::time::Duration;

use http::Method;
use http::StatusCode;
use rig::Faults;
use rig::RunDirectory;
use serde_json::json;
use support::CONFIG_TARGET;
use support::HANG_TIMEOUT;
use support::standalone;
use support::standalone::StandaloneRouter;
use tokio::time::Instant;

/// The maximum time of an immediate refusal.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(2);
/// The retention time of the log in the test of expired records, in milliseconds.
const RETENTION_MS: u64 = 4_000;

/// Applies a configuration that must be accepted and returns its version.
async fn apply_successfully(fleet: &rig::Fleet, router: usize, base: u64, text: &str) -> u64 {
    let answer = support::apply(fleet, router, base, text).await;
    let body = String::from_utf8_lossy(answer.body()).into_owned();
    assert_eq!(answer.status(), StatusCode::OK, "{body}");
    support::number_field(&answer, "version")
}

async fn version_in_force(fleet: &rig::Fleet) -> u64 {
    support::version(fleet, 0).await.expect("a version")
}

async fn wait_until_in_force(fleet: &rig::Fleet, version: u64) -> Duration {
    let wanted = vec![Some(version); fleet.router_count()];
    let what = format!("version {version} at each router");
    support::wait_until(CONFIG_TARGET, &what, async || support::versions(fleet).await == wanted)
        .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_version_is_in_force_at_each_of_nine_routers_in_time() {
    let fleet = support::start(support::builder(9)).await;
    let mut version = version_in_force(&fleet).await;
    for (router, weight) in (0..9).step_by(2).zip(2..) {
        let text = support::config_with_weight(&fleet, weight);
        let next = apply_successfully(&fleet, router, version, &text).await;
        assert!(next > version, "{next} follows {version}");
        let took = wait_until_in_force(&fleet, next).await;
        println!("version {next} is in force everywhere {took:?} after the answer");
        for reader in 0..9 {
            assert_eq!(support::config_text(&fleet, reader).await, text);
        }
        version = next;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_changes_with_the_same_base_one_is_accepted_and_the_other_gets_a_conflict() {
    let fleet = support::start(support::builder(3)).await;
    let mut version = version_in_force(&fleet).await;
    for round in 0..6 {
        let texts = [
            support::config_with_weight(&fleet, 10 + round),
            support::config_with_weight(&fleet, 20 + round),
        ];
        let (first, second) = tokio::join!(
            support::apply(&fleet, 0, version, &texts[0]),
            support::apply(&fleet, 1, version, &texts[1]),
        );
        let mut statuses = [first.status(), second.status()];
        statuses.sort();
        assert_eq!(statuses, [StatusCode::OK, StatusCode::CONFLICT], "round {round}");
        let is_first = first.status() == StatusCode::OK;
        let (winner, loser) = if is_first { (&first, &second) } else { (&second, &first) };
        let next = support::number_field(winner, "version");
        let detail = String::from_utf8_lossy(loser.body());
        assert!(detail.contains(&format!("version {next} is in force")), "{detail}");
        wait_until_in_force(&fleet, next).await;
        let text = &texts[usize::from(!is_first)];
        for router in 0..3 {
            assert_eq!(support::config_text(&fleet, router).await, *text, "router {router}");
        }
        version = next;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_configuration_changes_nothing_even_if_parts_of_it_are_valid() {
    let fleet = support::start(support::builder(3)).await;
    let version = version_in_force(&fleet).await;
    let text = support::config_text(&fleet, 0).await;
    let records = fleet.records("config").await.expect("read");
    let mut partly = fleet.config().clone();
    partly["workspaces"][0]["weight"] = json!(7);
    partly["services"][0]["kind"] = json!("engin");
    for invalid in ["{", "[]", &partly.to_string()] {
        let answer = support::apply(&fleet, 1, version, invalid).await;
        assert_eq!(answer.status(), StatusCode::UNPROCESSABLE_ENTITY, "{invalid}");
    }
    assert_eq!(fleet.records("config").await.expect("read"), records);
    let next =
        apply_successfully(&fleet, 2, version, &support::config_with_weight(&fleet, 3)).await;
    wait_until_in_force(&fleet, next).await;
    let stale = support::apply(&fleet, 0, version, &text).await;
    assert_eq!(stale.status(), StatusCode::CONFLICT);
    for router in 0..3 {
        assert_eq!(
            support::config_text(&fleet, router).await,
            support::config_with_weight(&fleet, 3)
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_append_whose_answer_is_lost_is_read_back_and_reported_as_accepted() {
    let fleet = support::start(support::builder(3)).await;
    let mut version = version_in_force(&fleet).await;
    for weight in 2..5 {
        let before = fleet.records("config").await.expect("read").len();
        support::faults(&fleet, Faults { lose_answers: Some(1), ..Faults::default() }).await;
        let text = support::config_with_weight(&fleet, weight);
        let next = apply_successfully(&fleet, 1, version, &text).await;
        wait_until_in_force(&fleet, next).await;
        assert_eq!(support::config_text(&fleet, 2).await, text);
        assert_eq!(fleet.records("config").await.expect("read").len(), before + 1);
        version = next;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn while_the_log_is_down_a_configuration_is_refused_quickly_and_changes_nothing() {
    let fleet = support::start(support::builder(3)).await;
    let version = version_in_force(&fleet).await;
    let text = support::config_text(&fleet, 0).await;
    let records = fleet.records("config").await.expect("read");
    support::log_down(&fleet, true).await;
    for router in 0..3 {
        let started = Instant::now();
        let answer =
            support::apply(&fleet, router, version, &support::config_with_weight(&fleet, 5)).await;
        let took = started.elapsed();
        println!("refused after {took:?}");
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(took < MAX_REFUSAL_TIME, "refused after {took:?}");
    }
    support::log_down(&fleet, false).await;
    assert_eq!(fleet.records("config").await.expect("read"), records);
    for router in 0..3 {
        assert_eq!(support::config_text(&fleet, router).await, text);
    }
    let next =
        apply_successfully(&fleet, 1, version, &support::config_with_weight(&fleet, 6)).await;
    wait_until_in_force(&fleet, next).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_cut_off_from_the_log_gets_the_version_from_a_peer() {
    let fleet = support::start(support::builder(3).proxied()).await;
    let version = version_in_force(&fleet).await;
    fleet.cut("plat:r3").await.expect("cut");
    let text = support::config_with_weight(&fleet, 2);
    let next = apply_successfully(&fleet, 0, version, &text).await;
    let took = wait_until_in_force(&fleet, next).await;
    println!("in force at the cut-off router {took:?} after the answer");
    assert_eq!(support::config_text(&fleet, 2).await, text);
    let answer = support::apply(&fleet, 2, next, &support::config_with_weight(&fleet, 3)).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE, "it can't reach the log");
    assert_eq!(support::versions(&fleet).await, [Some(next); 3]);
    fleet.clear_network_faults().await.expect("cleared network faults");
    let last = apply_successfully(&fleet, 1, next, &support::config_with_weight(&fleet, 4)).await;
    wait_until_in_force(&fleet, last).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_survives_a_log_outage_while_routers_restart_without_state() {
    let mut fleet = support::start(support::builder(4)).await;
    let first = version_in_force(&fleet).await;
    let text = support::config_with_weight(&fleet, 2);
    let version = apply_successfully(&fleet, 0, first, &text).await;
    wait_until_in_force(&fleet, version).await;
    support::log_down(&fleet, true).await;
    for router in 1..4 {
        fleet.restart(router).expect("started");
        wait_until_in_force(&fleet, version).await;
    }
    fleet.restart(0).expect("started");
    wait_until_in_force(&fleet, version).await;
    support::log_down(&fleet, false).await;
    support::wait_until(HANG_TIMEOUT, "a reachable log at each router", async || {
        let mut are_connected = true;
        for router in 0..4 {
            let status = support::status(&fleet, router).await.unwrap_or_default();
            assert_eq!(status["version"], version, "router {router}");
            are_connected &= status["log_up"] == true;
        }
        are_connected
    })
    .await;
    for router in 0..4 {
        assert_eq!(support::config_text(&fleet, router).await, text);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_survives_the_retention_time_of_the_log() {
    let retention = RETENTION_MS.to_string();
    let builder = support::builder(0).platform_args(&["--retention-ms", &retention]);
    let fleet = builder.start().await.expect("a platform");
    let directory = RunDirectory::new().expect("a directory");
    let authority = standalone::authority("fleet");
    let start = |number: usize| {
        let name = format!("s{number}");
        let keys = standalone::keys(&authority, &name, &[&authority]);
        let mut settings = standalone::settings(&fleet, &name, number, &keys);
        settings["platform"]["retention_ms"] = json!(RETENTION_MS);
        StandaloneRouter::start(&directory, settings)
    };
    let mut routers = [start(0), start(1), start(2)];
    standalone::list(&fleet, &routers.each_ref()).await;
    let version = version_of_all(&routers, None).await;
    let config = config_of(&routers[0]).await;
    // Waits until the log has dropped the records of the version.
    tokio::time::sleep(Duration::from_millis(3 * RETENTION_MS)).await;
    let fresh = start(3);
    let [one, two, three] = &routers;
    standalone::list(&fleet, &[one, two, three, &fresh]).await;
    version_of_all(std::slice::from_ref(&fresh), Some(version)).await;
    drop(fresh);
    standalone::list(&fleet, &routers.each_ref()).await;
    for router in &mut routers {
        router.process.kill();
    }
    for router in &mut routers {
        router.restart(&directory);
    }
    version_of_all(&routers, Some(version)).await;
    assert_eq!(config_of(&routers[2]).await, config);
}

/// Waits until all routers have the same version, the expected one if it is known, and returns it.
async fn version_of_all(routers: &[StandaloneRouter], wanted: Option<u64>) -> u64 {
    let seen = async || {
        let mut versions = Vec::new();
        for router in routers {
            versions.push(router.status().await["version"].as_u64().filter(|version| *version > 0));
        }
        versions
    };
    support::wait_until(CONFIG_TARGET, &format!("version {wanted:?}"), async || {
        let versions = seen().await;
        let is_one = versions[0].is_some() && versions.iter().all(|one| *one == versions[0]);
        is_one && (wanted.is_none() || wanted == versions[0])
    })
    .await;
    seen().await[0].expect("a version")
}

async fn config_of(router: &StandaloneRouter) -> Vec<u8> {
    let answer = router.send_as_operator(Method::GET, "/operator/config", "").await;
    answer.expect("an answer").into_body().to_vec()
}
