//! Changes and faults of the store, against fakes of the store and the runners.

#[path = "common/router.rs"]
mod router;

use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::time;

use crate::router::Platform;
use crate::router::WAIT_TIMEOUT;
use crate::router::configuration;
use crate::router::get;
use crate::router::request_with_key;
use crate::router::wait_for;

#[tokio::test]
async fn a_draining_runner_receives_no_further_requests() {
    let platform = Platform::start("draining").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    platform.list_runner(&runners[0], "ledger", "draining", 2);
    wait_for(|| (router.count("runner") >= 3).then_some(())).await;
    let before = runners[0].execution_count();
    for number in 0..10 {
        router.call(get("/unsafe/", &format!("r-{number}"))).await;
    }
    assert_eq!(runners[0].execution_count(), before);
    assert_eq!(runners[1].execution_count(), 10);
}

#[tokio::test]
async fn unreadable_records_do_not_affect_requests() {
    let platform = Platform::start("unreadable").await;
    platform.configure(&configuration(1));
    platform.store.put("keyed.servers", "bad-1", b"{\"service\":3}");
    platform.store.put("keyed.servers", "bad-2", b"\xff\xfe");
    let runners = platform.runners("ledger", 1).await;
    platform.store.put("keyed.servers", runners[0].id(), b"{}");
    let router = platform.router("router-1").await;
    wait_for(|| (router.count("runner_unreadable") >= 3).then_some(())).await;
    platform.list_runner(&runners[0], "ledger", "ready", 3);
    wait_for(|| router.first_line("runner")).await;
    platform.store.put("keyed.op", "config", b"not a configuration");
    wait_for(|| router.first_line("configuration_unreadable")).await;
    assert_eq!(router.call(get("/safe/", "r-1")).await.status, StatusCode::OK);
}

/// Guards against a configuration whose list of workspaces is empty, or no list, that opens routes to any key.
#[tokio::test]
async fn an_empty_list_of_workspaces_admits_no_key() {
    let platform = Platform::start("no-workspaces").await;
    let with_workspaces = |version: u64, workspaces: Value| {
        let mut changed = configuration(version);
        changed["tenants"] = workspaces;
        changed
    };
    platform.configure(&configuration(1));
    let runners = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    let status = router.call(request_with_key("GET", "/keyed/", "before")).await.status;
    assert_eq!(status, StatusCode::OK);
    platform.configure(&with_workspaces(2, json!([])));
    wait_for(|| (router.count("configuration_adopted") >= 2).then_some(())).await;
    let late = platform.router("router-2").await;
    late.wait_for_runners(1).await;
    for (name, router) in [("first", &router), ("late", &late)] {
        let revoked = request_with_key("GET", "/keyed/", &format!("{name}-revoked"));
        assert_eq!(router.call(revoked).await.status, StatusCode::UNAUTHORIZED, "{name}");
        let without_key = get("/keyed/", &format!("{name}-none"));
        assert_eq!(router.call(without_key).await.status, StatusCode::UNAUTHORIZED, "{name}");
    }
    assert_eq!(runners[0].execution_count(), 1);
    platform.configure(&with_workspaces(3, Value::Null));
    wait_for(|| router.first_line("configuration_unreadable")).await;
    let revoked = request_with_key("GET", "/keyed/", "null");
    assert_eq!(router.call(revoked).await.status, StatusCode::UNAUTHORIZED);
}

/// Guards against a configuration without a list of workspaces that is taken for one with an empty list.
#[tokio::test]
async fn without_a_list_of_workspaces_no_key_is_needed() {
    let platform = Platform::start("without-workspaces").await;
    let mut open = configuration(1);
    open.as_object_mut().expect("an object").remove("tenants");
    platform.configure(&open);
    let _runners = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    assert_eq!(router.call(get("/keyed/", "r-1")).await.status, StatusCode::OK);
}

/// Returns records of runners that no runner writes, each of which names no runner to use.
fn odd_records(address: &str) -> Vec<Vec<u8>> {
    let record = |address: &str, numbers: &str| {
        format!(
            r#"{{"service":"ledger","address":"{address}","zone":"north","version":"1","state":"ready",{numbers}}}"#
        )
    };
    let usual = r#""slots":8,"seq":3"#;
    let nested = |begin: &str, end: &str| {
        let (begin, end) = (begin.repeat(60_000), end.repeat(60_000));
        format!("{{\"service\":{begin}0{end}}}")
    };
    let texts = [
        nested("[", "]"),
        nested("{\"a\":", "}"),
        record(address, r#""slots":8,"seq":1e400"#),
        record(address, r#""slots":8,"seq":18446744073709551616"#),
        record(address, r#""slots":99999999999,"seq":3"#),
        record(address, r#""slots":8,"seq":3,"cold_left_ms":1e400"#),
        record(address, r#""slots":8,"seq":3,"cold_left_ms":1.84467440737095e22"#),
        record(address, r#""slots":8,"seq":3,"cold_left_ms":1e300"#),
        record(address, r#""slots":8,"seq":3,"cold_left_ms":-1"#),
        record(address, r#""slots":8,"seq":3,"born":-1"#),
        record("127.0.0.1:0", usual),
        record("127.0.0.1:70000", usual),
        record("0.0.0.0:9000", usual),
        record("", usual),
    ];
    texts.into_iter().map(String::into_bytes).chain([vec![0xff, 0xfe]]).collect()
}

/// Guards against odd records that end a router, stop it following the store or are taken for runners.
#[tokio::test]
async fn odd_records_name_no_runner_and_are_followed_by_the_next_ones() {
    let platform = Platform::start("odd").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    let odd = odd_records(&runners[0].address().to_string());
    for (number, record) in odd.iter().enumerate() {
        platform.store.put("keyed.servers", &format!("odd-{number}"), record);
    }
    wait_for(|| (router.count("runner_unreadable") == odd.len()).then_some(())).await;
    let second = platform.router("router-2").await;
    second.wait_for_runners(2).await;
    assert_eq!(second.count("runner_unreadable"), odd.len());
    for (number, record) in odd.iter().enumerate() {
        let before = runners[0].execution_count();
        platform.store.put("keyed.servers", runners[0].id(), record);
        wait_for(|| (router.count("runner_unreadable") > odd.len() + number).then_some(())).await;
        let status = router.call(get("/safe/", &format!("r-{number}"))).await.status;
        assert_eq!(status, StatusCode::OK);
        assert_eq!(runners[0].execution_count(), before, "used by record {number}");
    }
    platform.list_runner(&runners[0], "ledger", "ready", 9);
    let start = Instant::now();
    while runners[0].execution_count() == 0 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the runner is not used again");
        router.call(get("/safe/", "again")).await;
    }
    assert_eq!(second.call(get("/safe/", "second")).await.status, StatusCode::OK);
}

#[tokio::test]
async fn a_revoked_key_is_refused_and_an_older_configuration_is_never_adopted() {
    let platform = Platform::start("revoked").await;
    platform.configure(&configuration(5));
    let runners = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    assert_eq!(router.call(request_with_key("GET", "/keyed/", "r-1")).await.status, StatusCode::OK);
    let mut revoked = configuration(6);
    revoked["tenants"][0]["api_keys"] = serde_json::json!(["key-2"]);
    platform.configure(&revoked);
    wait_for(|| (router.count("configuration_adopted") == 2).then_some(())).await;
    platform.configure(&configuration(5));
    platform.store.compact("keyed.op");
    time::sleep(Duration::from_millis(300)).await;
    assert_eq!(
        router.call(request_with_key("GET", "/keyed/", "r-2")).await.status,
        StatusCode::UNAUTHORIZED
    );
    assert_eq!(runners[0].execution_count(), 1);
}

#[tokio::test]
async fn a_router_without_contact_to_the_store_serves_only_public_routes() {
    let platform = Platform::start("store-away").await;
    platform.configure(&configuration(1));
    let ledger = platform.runners("ledger", 1).await;
    let engines = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    platform.store.set_fault_mode(fake::store::FaultMode::Unresponsive);
    time::sleep(Duration::from_millis(1_600)).await;
    let refused = router.call(request_with_key("GET", "/keyed/", "r-1")).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(router.call(get("/safe/", "r-2")).await.status, StatusCode::OK);
    platform.store.set_fault_mode(fake::store::FaultMode::Normal);
    let start = Instant::now();
    while router.call(request_with_key("GET", "/keyed/", "r-3")).await.status != StatusCode::OK {
        assert!(
            start.elapsed() < Duration::from_secs(2),
            "requests with keys are not served again"
        );
        time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!((ledger[0].execution_count(), engines[0].execution_count()), (1, 1));
}

#[tokio::test]
async fn a_router_whose_position_is_trimmed_rereads_the_store_and_does_not_report_it_as_lost() {
    let platform = Platform::start("trimmed").await;
    platform.configure(&configuration(1));
    let _runners = platform.runners("engines", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    let start = Instant::now();
    let mut version = 1;
    // A record that is read before it is trimmed leaves the router at a readable position, so the loop tries again.
    while router.count("position_trimmed") == 0 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the router reported no trimmed position");
        version += 1;
        platform.configure(&configuration(version));
        platform.store.compact("keyed.op");
        time::sleep(Duration::from_millis(50)).await;
    }
    let adopted = format!("\"version\":{version}}}");
    wait_for(|| router.last("configuration_adopted").filter(|line| line.contains(&adopted))).await;
    assert_eq!(router.count("store_lost"), 0);
    assert_eq!(
        router.call(request_with_key("POST", "/keyed/", "r-1")).await.status,
        StatusCode::OK
    );
}

#[tokio::test]
async fn a_router_that_the_store_rejects_learns_of_changes_from_a_router_that_it_serves() {
    let platform = Platform::start("rejected").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("engines", 2).await;
    let entrance = platform.store.open_entrance().await.expect("an entrance");
    let _served = platform.router("served").await;
    let mut settings = platform.settings("rejected");
    settings["store"] = entrance.address().to_string().into();
    let rejected = platform.router_with("rejected", &settings).await;
    rejected.wait_for_runners(2).await;
    wait_for(|| (rejected.count("router_alive") > 0).then_some(())).await;
    entrance.set_fault_mode(fake::store::FaultMode::Unavailable);
    wait_for(|| (rejected.count("store_lost") >= 2).then_some(())).await;
    platform.configure(&configuration(2));
    platform.list_runner(&runners[0], "engines", "draining", 2);
    let changed = Instant::now();
    wait_for(|| (rejected.count("configuration_adopted") == 2).then_some(())).await;
    let id = runners[0].id();
    wait_for(|| rejected.last("runner_leaving").filter(|line| line.contains(id))).await;
    assert!(changed.elapsed() < Duration::from_secs(2), "after {:?}", changed.elapsed());
    for number in 0..6 {
        let request = request_with_key("GET", "/keyed/", &format!("r-{number}"));
        assert_eq!(rejected.call(request).await.status, StatusCode::OK);
    }
    assert_eq!(runners[0].execution_count(), 0);
    assert!(rejected.count("records_fetched") > 0);
    assert_eq!(rejected.count("store_regained"), 0);
}
