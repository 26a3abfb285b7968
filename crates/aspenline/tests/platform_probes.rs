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

/// Sends an unsafe request after each of some runners has dropped the connection of one, and returns its status.
async fn status_after_drops(test: &str, count: usize) -> StatusCode {
    let platform = Platform::start(test).await;
    platform.configure(&configuration(1));
    let runners = platform.runners("ledger", count).await;
    let router = platform.router("router-1").await;
    router.wait_for_runners(count).await;
    let status = async |id: String| router.call(get("/unsafe/", &id)).await.status;
    for runner in &runners {
        runner.set_fault_mode(FaultMode::Disconnected);
    }
    for number in 0..count {
        assert_eq!(status(format!("dropped-{number}")).await, StatusCode::BAD_GATEWAY);
        // Connections that break at the same time count as one failure.
        time::sleep(Duration::from_millis(100)).await;
    }
    for runner in &runners {
        runner.set_fault_mode(FaultMode::Normal);
    }
    time::sleep(Duration::from_secs(2)).await;
    status("served".to_owned()).await
}

/// Guards against runners that only repeatable requests bring back into use.
#[tokio::test]
async fn unsafe_requests_alone_are_served_again_after_each_runner_has_dropped_a_connection() {
    assert_eq!(status_after_drops("dropped", 2).await, StatusCode::OK);
}

/// Guards against connections that runners drop while they run on being taken for crashes.
#[tokio::test]
async fn a_content_is_served_again_after_three_runners_that_run_on_have_dropped_connections_under_it()
 {
    assert_eq!(status_after_drops("run-on", 3).await, StatusCode::OK);
}
