//! The fleet that cells are run on.

use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use http::Method;
use indexmap::IndexMap;
use serde_json::json;

use crate::Error;
use crate::Faults;
use crate::Fleet;
use crate::RunnerPlan;
use crate::ServicePlan;
use crate::WorkspacePlan;
use crate::matrix;
use crate::matrix::Cell;
use crate::matrix::cell::MODEL_SERVICE;
use crate::matrix::cell::PLAIN_SERVICE;
use crate::matrix::cell_run::CellRun;
use crate::matrix::recovery;

/// The region of all zones.
const REGION: &str = "midlands";
/// The workspace of the calls under test.
pub(super) const PROBE_WORKSPACE: &str = "crag";
/// The workspace of calls that occupy slots.
pub(super) const FILLER_WORKSPACE: &str = "gym";
/// The number of slots of each runner.
const SLOTS: u32 = 2;
/// The timeout for the fleet to become ready for a cell.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// A fleet of three routers behind a fault-injecting proxy.
#[derive(Debug)]
pub struct Testbed {
    pub(super) fleet: Fleet,
    /// The number of calls so far, which makes the text of each call unique.
    pub(super) call_number: u64,
}

impl Testbed {
    /// Starts the fleet.
    ///
    /// # Errors
    /// Returns an error if it doesn't start.
    pub async fn start() -> Result<Self, Report<Error>> {
        let timeouts = json!({
            "first_byte_ms": 2500, "between_bytes_ms": 1500, "queue_ms": 8000, "long_queue_ms": 8000,
        });
        let args = ["--first-token-ms", "400", "--token-interval-ms", "30", "--fall-ms", "500"];
        let engine = RunnerPlan::new().args(&args).limits(SLOTS, SLOTS);
        let service = RunnerPlan::new().args(&["--service-ms", "500"]).limits(SLOTS, SLOTS);
        let fleet = Fleet::builder()
            .zone("derby", REGION)
            .zone("matlock", REGION)
            .zone("buxton", REGION)
            .routers(3)
            .workspace(WorkspacePlan::new(PROBE_WORKSPACE))
            .workspace(WorkspacePlan::new(FILLER_WORKSPACE))
            .service(
                ServicePlan::engine(MODEL_SERVICE, REGION)
                    .runners(2, &engine)
                    .field("timeouts", timeouts.clone()),
            )
            .service(
                ServicePlan::plain(PLAIN_SERVICE, REGION)
                    .runners(2, &service)
                    .field("timeouts", timeouts),
            )
            .proxied()
            .start()
            .await?;
        Ok(Self { fleet, call_number: 0 })
    }

    /// Runs a cell and restores the fleet.
    pub async fn run(&mut self, cell: Cell) -> matrix::Report {
        let started = Instant::now();
        let mut report =
            matrix::Report { cell, outcome: None, failures: Vec::new(), took: Duration::ZERO };
        match self.assign_roles(cell, READY_TIMEOUT).await {
            Ok(roles) => CellRun::new(self, roles, &mut report).run().await,
            Err(error) => report.failures.push(format!("the fleet wasn't ready: {error:#}")),
        }
        report.failures.extend(self.restore().await);
        report.took = started.elapsed();
        report
    }

    /// Returns the logs of all routers by name.
    #[must_use]
    pub fn logs(&self) -> IndexMap<String, String> {
        let routers = self.fleet.routers.iter();
        routers.map(|router| (router.name().to_owned(), router.process.log())).collect()
    }

    /// Returns the timeline of a router as JSON.
    pub async fn timeline(&self, router: usize) -> String {
        let answer =
            self.fleet.send_as_operator(router, Method::GET, "/operator/timeline", "").await;
        let body = answer.map(http::Response::into_body).unwrap_or_default();
        String::from_utf8_lossy(&body).into_owned()
    }

    /// Returns a text that no other call of the fleet has.
    pub(super) fn unique_text(&mut self, label: &str) -> String {
        self.call_number += 1;
        format!("{label} number {} of {}", self.call_number, self.fleet.platform().address())
    }

    /// Changes the faults of the platform fake.
    pub(super) async fn set_platform_faults(&self, faults: Faults) -> Result<(), Report<Error>> {
        self.fleet.platform().control("faults", &faults).await.map(|_| ())
    }

    async fn restore(&mut self) -> Vec<String> {
        match recovery::restore(self).await {
            Ok(faults) => faults,
            Err(error) => vec![format!("the fleet couldn't be restored: {error:#}")],
        }
    }
}
