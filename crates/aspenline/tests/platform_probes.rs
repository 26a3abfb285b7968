//! Runners that are used again after they were unreachable, against fakes of the store and the runners.

#[path = "common/router.rs"]
mod router;

use std::time::Duration;

use fake::endpoint::FaultMode;
use http::StatusCode;
use tokio::time;

use crate::router::Platform;
use crate::router::configuration;
use crate::router::get;

/// Guards against runners that only repeatable requests bring back into use.
#[tokio::test]
async fn unsafe_requests_alone_are_served_again_after_each_runner_has_dropped_a_connection() {
    let platform = Platform::start("dropped").await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", 2).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    let status = async |id: String| router.call(get("/unsafe/", &id)).await.status;
    for runner in &runners {
        runner.set_fault_mode(FaultMode::Disconnected);
    }
    for number in 0..2 {
        assert_eq!(status(format!("dropped-{number}")).await, StatusCode::BAD_GATEWAY);
    }
    for runner in &runners {
        runner.set_fault_mode(FaultMode::Normal);
    }
    time::sleep(Duration::from_secs(2)).await;
    for number in 0..10 {
        assert_eq!(status(format!("served-{number}")).await, StatusCode::OK);
    }
}
