//! Pages of the store that end before the end of their topic, against fakes of the store and the runners.

#[path = "common/router.rs"]
mod router;

use std::time::Duration;

use fake::store::FaultMode;
use fake::store::PAGE_BYTES;
use fake::store::PAGE_ITEMS;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::time;

use crate::router::Platform;
use crate::router::configuration;
use crate::router::get;
use crate::router::request_with_key;
use crate::router::wait_for;

/// Returns a configuration of which five fill more than one page.
fn large_configuration(version: u64) -> Value {
    let mut configuration = configuration(version);
    configuration["note"] = "x".repeat(PAGE_BYTES / 5).into();
    configuration
}

/// Guards against a page that ends before the end of its topic being taken for all of it.
#[tokio::test]
async fn a_revoked_key_is_refused_while_the_record_that_revokes_it_is_on_a_later_page() {
    let platform = Platform::start("later-page").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("engines", 1).await;
    let entrance = platform.store.open_entrance().await.expect("an entrance");
    let mut settings = platform.settings("router-1");
    settings["store"] = entrance.address().to_string().into();
    let router = platform.router_with("router-1", &settings).await;
    router.wait_for_runners(1).await;
    let status = async |id: &str| router.call(request_with_key("GET", "/keyed/", id)).await.status;
    assert_eq!(status("r-0").await, StatusCode::OK);

    entrance.set_fault_mode(FaultMode::Unresponsive);
    // A read that waits is still answered.
    time::sleep(Duration::from_millis(600)).await;
    for version in 2..7 {
        platform.configure(&large_configuration(version));
    }
    let mut revoked = configuration(7);
    revoked["tenants"][0]["api_keys"] = json!(["key-2"]);
    platform.configure(&revoked);
    time::sleep(Duration::from_millis(1_600)).await;
    entrance.set_fault_mode(FaultMode::OnePage);
    wait_for(|| (router.count("configuration_adopted") > 1).then_some(())).await;
    for number in 0..20 {
        let status = status(&format!("r-1-{number}")).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        time::sleep(Duration::from_millis(10)).await;
    }
    entrance.set_fault_mode(FaultMode::Normal);
    let adopted = "\"version\":7}";
    wait_for(|| router.last("configuration_adopted").filter(|line| line.contains(adopted))).await;
    assert_eq!(status("r-2").await, StatusCode::UNAUTHORIZED);
    assert_eq!(runners[0].execution_count(), 1);
}

/// Guards against newest records beyond their first page being taken for removed.
#[tokio::test]
async fn a_runner_on_the_second_page_of_the_newest_records_is_used() {
    let platform = Platform::start("second-page").await;
    platform.configure(&configuration(1));
    for number in 0..PAGE_ITEMS {
        platform.store.put("keyed.servers", &format!("a-{number}"), b"{}");
    }
    let _runners = platform.runners("ledger", 1).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(1).await;
    assert_eq!(router.call(get("/safe/", "r-1")).await.status, StatusCode::OK);
}
