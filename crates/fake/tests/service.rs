//! Tests of the fake plain service.

mod common;

use common::Connection;
use common::Fake;
use common::build_request;
use serde_json::json;

#[tokio::test]
async fn a_crash_happens_before_or_after_the_execution_of_the_next_call() {
    let service = Fake::start(&["service"]);
    service.put("/control/crash", &json!({ "before_run": true })).await;
    assert_eq!(service.post("/orders", "a").await, None);
    service.put("/control/crash", &json!({ "after_run": true })).await;
    assert_eq!(service.post("/orders", "b").await, None);
    let third = service.post("/orders", "c").await.expect("an answer");
    assert_eq!(third.json(), json!({ "execution": 2, "echo": "c" }));
    let report = service.get("/control/journal").await.json();
    let executions: Vec<_> =
        report["requests"].as_array().expect("requests").iter().map(|e| &e["execution"]).collect();
    assert_eq!(executions, [&json!(null), &json!(1), &json!(2)]);
    assert_eq!(service.get("/orders/1").await.json(), json!({ "path": "/orders/1" }));
}

#[tokio::test]
async fn an_answer_can_carry_the_attempt_of_another_request() {
    let service = Fake::start(&["service"]);
    let mut connection = Connection::open(service.address).await.expect("a connection");
    let mut echoes = Vec::new();
    for (attempt, is_wrong) in [("a.1", false), ("b.1", true), ("c.1", false)] {
        if is_wrong {
            service.put("/control/late", &json!({ "delay_ms": 1, "wrong_attempt": true })).await;
        }
        let call = build_request("POST", "/orders", "x", &[("x-attempt-id", attempt)]);
        let response = connection.send(call).await.expect("an answer");
        echoes.push(response.headers()["x-attempt-id"].to_str().expect("text").to_owned());
        common::read_answer(response).await.expect("a complete answer");
    }
    assert_eq!(echoes, ["a.1", "a.1", "c.1"]);
}

#[tokio::test]
async fn an_outage_aborts_the_calls_in_execution() {
    let service = Fake::start(&["service", "--service-ms", "600000"]);
    let outage = async {
        let is_executed = |report: &serde_json::Value| report["requests"][0]["execution"] == 1;
        common::wait_until(&service, "/control/journal", is_executed).await;
        service.put("/control/fall", &json!({})).await;
    };
    let (answer, ()) = tokio::join!(service.post("/orders", "a"), outage);
    assert_eq!(answer, None);
    let is_aborted = |report: &serde_json::Value| report["requests"][0]["outcome"] == "cancelled";
    let report = common::wait_until(&service, "/control/journal", is_aborted).await;
    assert_eq!(report["falls"], 1);
}
