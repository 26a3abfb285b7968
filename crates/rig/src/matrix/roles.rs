//! Assigns roles to routers once the fleet is idle.

use std::time::Duration;

use base::Event;
use error_stack::Report;
use http::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::Error;
use crate::matrix::Cell;
use crate::matrix::Testbed;

/// The time between two checks of the fleet.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The time between two checks of whether the fleet is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The indices of the routers of a cell, by role.
#[derive(Debug, Clone, Copy)]
pub(super) struct Roles {
    /// The router that receives the call under test.
    pub(super) entry: usize,
    /// The dispatcher of the called service.
    pub(super) dispatcher: usize,
    /// The third router.
    pub(super) other: usize,
}

/// The fields of a router's status that are read here.
#[derive(Debug, Deserialize)]
struct Status {
    shards: Vec<Shard>,
    waiting: usize,
    running: usize,
}

#[derive(Debug, Deserialize)]
struct Shard {
    shard: ShardName,
    gathering: bool,
    workspaces: Vec<Workspace>,
    runners: Vec<Runner>,
}

#[derive(Debug, Deserialize)]
struct Workspace {
    backlog: usize,
}

#[derive(Debug, Deserialize)]
struct ShardName {
    service: String,
}

#[derive(Debug, Deserialize)]
struct Runner {
    running: u32,
    state: String,
}

impl Testbed {
    /// Waits until the fleet is idle and returns the roles for a cell.
    pub(super) async fn assign_roles(
        &mut self,
        cell: Cell,
        timeout: Duration,
    ) -> Result<Roles, Report<Error>> {
        self.fleet.wait_until_ready(timeout).await?;
        let deadline = Instant::now() + timeout;
        loop {
            let found = self.dispatcher(cell.kind.service()).await?;
            if let Ok(dispatcher) = found {
                let offset = if cell.seed.is_multiple_of(2) { 1 } else { 2 };
                let entry = (dispatcher + offset) % 3;
                let other = 3 - dispatcher - entry;
                return Ok(Roles { entry, dispatcher, other });
            }
            if Instant::now() >= deadline {
                let reason = found.err().unwrap_or_default();
                return Err(Report::new(Error::Timeout(format!("an idle fleet: {reason}"))));
            }
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }

    /// Returns the only dispatcher of a service, or the reason why the fleet isn't idle with a single one.
    async fn dispatcher(&self, service: &str) -> Result<Result<usize, String>, Report<Error>> {
        let mut found = Vec::new();
        for router in 0..self.fleet.router_count() {
            let status: Status = self.read_operator(router, "/operator/status").await?;
            if status.waiting + status.running > 0 {
                return Ok(Err(format!("router {router} has calls in progress: {status:?}")));
            }
            for shard in status.shards {
                if !shard.is_idle() {
                    return Ok(Err(format!("a shard at router {router} is not idle: {shard:?}")));
                }
                if shard.shard.service == service {
                    found.push(router);
                }
            }
        }
        match found.as_slice() {
            [one] => Ok(Ok(*one)),
            many => Ok(Err(format!("dispatchers of {service}: {many:?}"))),
        }
    }

    /// Returns the number of calls of a service that wait at its dispatcher.
    pub(super) async fn backlog(
        &self,
        router: usize,
        service: &str,
    ) -> Result<usize, Report<Error>> {
        let status: Status = self.read_operator(router, "/operator/status").await?;
        let shards = status.shards.iter().filter(|shard| shard.shard.service == service);
        Ok(shards.flat_map(|shard| &shard.workspaces).map(|workspace| workspace.backlog).sum())
    }

    /// Returns the timeline of a router.
    pub(super) async fn events(&self, router: usize) -> Result<Vec<Event>, Report<Error>> {
        self.read_operator(router, "/operator/timeline").await
    }

    async fn read_operator<T: DeserializeOwned>(
        &self,
        router: usize,
        path: &str,
    ) -> Result<T, Report<Error>> {
        let answer = self.fleet.send_as_operator(router, Method::GET, path, "").await?;
        let what = format!("{path} at router {router}: {}", answer.status());
        serde_json::from_slice(answer.body())
            .map_err(|error| Report::new(Error::Malformed(what)).attach(error.to_string()))
    }
}

impl Shard {
    fn is_idle(&self) -> bool {
        let is_usable = |state: &str| !matches!(state, "unknown" | "suspect");
        let is_unused = |runner: &Runner| runner.running == 0 && is_usable(&runner.state);
        !self.gathering && self.runners.iter().all(is_unused)
    }
}
