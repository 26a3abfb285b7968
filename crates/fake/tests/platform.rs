//! Tests of the fake platform: the log and the list of instances.

mod common;

use common::Fake;
use common::HANG_TIMEOUT;
use common::wait_until;
use serde_json::Value;
use serde_json::json;

fn offsets(page: &Value) -> Vec<u64> {
    let records = page["records"].as_array().expect("records");
    records.iter().filter_map(|record| record["offset"].as_u64()).collect()
}

#[tokio::test]
async fn reads_continue_where_the_last_page_ended() {
    let platform = Fake::start(&["platform"]);
    for text in ["a", "b", "c"] {
        platform.post("/streams/s/records", text).await.expect("an answer");
    }
    let page = platform.get("/streams/s/records?from=1&limit=2").await.json();
    assert_eq!((offsets(&page), &page["next"]), (vec![1, 2], &json!(3)));
    let page = platform.get("/streams/s/records?from=3&limit=2").await.json();
    assert_eq!((&page["records"][0]["body"], &page["next"]), (&json!("c"), &json!(4)));
}

#[tokio::test]
async fn a_waiting_read_ends_at_the_next_record_or_at_an_outage() {
    let platform = Fake::start(&["platform"]);
    let waiting = platform.get("/streams/s/records?from=1&wait_ms=20000");
    let append = platform.post("/streams/s/records", "x");
    let (page, _) = tokio::join!(waiting, append);
    assert_eq!(offsets(&page.json()), vec![1]);
    let waiting = platform.get("/streams/s/records?from=2&wait_ms=20000");
    let (down, counters) = (json!({ "log_down": true }), "/control/counters");
    let outage = async {
        wait_until(&platform, counters, |counters| counters["reads"] == 2).await;
        platform.put("/control/faults", &down).await;
    };
    let (refused, ()) = tokio::join!(waiting, outage);
    assert_eq!(refused.status, 503);
}

#[tokio::test]
async fn records_older_than_the_retention_are_gone() {
    let platform = Fake::start(&["platform", "--retention-ms", "50"]);
    platform.post("/streams/s/records", "old").await.expect("an answer");
    wait_until(&platform, "/streams/s", |bounds| bounds["first"] == 2).await;
    let gone = platform.get("/streams/s/records?from=1").await;
    assert_eq!((gone.status, gone.json()), (410, json!({ "first": 2, "next": 2 })));
    assert_eq!(platform.get("/streams/s/records?from=2").await.status, 200);
}

#[tokio::test]
async fn an_append_with_a_lost_answer_takes_effect() {
    let platform = Fake::start(&["platform"]);
    platform.put("/control/faults", &json!({ "lose_answers": 1 })).await;
    assert_eq!(platform.post("/streams/s/records", "lost").await, None);
    let appended = platform.post("/streams/s/records", "kept").await.expect("an answer");
    assert_eq!(appended.json(), json!({ "offset": 2 }));
    let page = platform.get("/streams/s/records?from=1").await.json();
    assert_eq!(page["records"][0]["body"], "lost");
}

#[tokio::test]
async fn appends_above_the_rate_are_refused_without_effect() {
    let platform = Fake::start(&["platform", "--appends-per-second", "1"]);
    let mut accepted = 0;
    let mut refused = 0;
    while refused == 0 {
        let answer = platform.post("/streams/s/records", "x").await.expect("an answer");
        accepted += u64::from(answer.status == 200);
        refused += u64::from(answer.status == 429);
    }
    assert_eq!(platform.get("/streams/s").await.json()["next"], accepted + 1);
}

#[tokio::test]
async fn a_viewer_sees_its_own_list_and_changes_become_visible_after_the_lag() {
    let platform = Fake::start(&["platform", "--list-lag-ms", "300"]);
    let list = |name: &str| {
        json!({ "instances": [{ "name": name, "callers": "127.0.0.1:1", "peers": "127.0.0.1:2",
            "zone": "derby", "region": "midlands", "state": "live" }] })
    };
    let started = tokio::time::Instant::now();
    platform.put("/control/instances", &list("shared")).await;
    platform.put("/control/views/r1/instances", &list("own")).await;
    tokio::time::timeout(
        HANG_TIMEOUT,
        wait_until(&platform, "/instances", |seen| *seen == list("shared")),
    )
    .await
    .expect("visible in time");
    assert!(started.elapsed().as_millis() >= 300, "the change was visible before its lag");
    wait_until(&platform, "/views/r1/instances", |seen| *seen == list("own")).await;
    assert_eq!(platform.get("/views/r2/instances").await.json(), list("shared"));
}

#[tokio::test]
async fn reads_with_records_are_delayed_while_appends_are_answered() {
    let platform = Fake::start(&["platform"]);
    platform.put("/control/faults", &json!({ "read_delay_ms": 200 })).await;
    let appended = platform.post("/streams/s/records", "x").await.expect("an answer");
    assert_eq!(appended.json(), json!({ "offset": 1 }));
    let started = tokio::time::Instant::now();
    assert_eq!(platform.get("/streams/s/records?from=1").await.json()["records"][0]["body"], "x");
    assert!(started.elapsed().as_millis() >= 200, "the read was not delayed");
    platform.put("/control/faults", &json!({ "log_down": true })).await;
    assert_eq!(platform.get("/streams/s/records?from=1").await.status, 503);
}
