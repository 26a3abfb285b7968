//! Measures the cost of control at one scale: a fleet of given sizes under a given rate of requests.

use std::fmt;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use rig::Arrival;
use rig::Call;
use rig::Fleet;
use rig::Load;
use rig::Mix;
use rig::RunnerPlan;
use rig::ServicePlan;
use rig::Stream;
use rig::WorkspacePlan;
use serde::Serialize;
use tokio::time;

use super::Dimension;
use crate::Error;
use crate::measure::cost;
use crate::measure::cost::Cost;

/// Name of the model service.
const SERVICE: &str = "chat";
/// Region of the fleet.
const REGION: &str = "north";
/// Timeout for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between the readiness of the fleet and the load.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Duration of the load before the first reading.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Maximum number of tokens of an answer.
const MAX_TOKENS: u32 = 40;

/// The sizes of a fleet and the rate of its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct Scale {
    /// Number of routers.
    pub(crate) routers: usize,
    /// Number of runners of the model service.
    pub(crate) runners: usize,
    /// Number of workspaces, which all send at the same rate.
    pub(crate) workspaces: usize,
    /// Requests per second of the entire fleet.
    pub(crate) requests_per_second: u32,
}

/// The cost of control that was measured at a scale.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Reading {
    #[serde(rename = "point")]
    scale: Scale,
    busiest: Cost,
    mean: Cost,
}

/// The name of a value and the function that returns it.
type Value = (&'static str, fn(&Reading) -> f64);

impl Reading {
    /// The header of the table of readings.
    pub(crate) const HEADER: &str =
        "  routers runners workspaces req/s | busiest B/s  cpu%  MiB | mean B/s  cpu%  MiB";
    /// The values to which lines are fitted.
    pub(crate) const VALUES: [Value; 6] = [
        ("busiest bytes/s", |reading| reading.busiest.bytes_per_second),
        ("busiest control %", |reading| reading.busiest.control_percent),
        ("busiest memory MiB", |reading| reading.busiest.memory_mib),
        ("mean bytes/s", |reading| reading.mean.bytes_per_second),
        ("mean control %", |reading| reading.mean.control_percent),
        ("mean memory MiB", |reading| reading.mean.memory_mib),
    ];

    /// Returns the size of the scale along a dimension.
    pub(crate) fn size_along(&self, dimension: Dimension) -> f64 {
        match dimension {
            Dimension::Routers => cost::usize_as_f64(self.scale.routers),
            Dimension::Runners => cost::usize_as_f64(self.scale.runners),
            Dimension::Workspaces => cost::usize_as_f64(self.scale.workspaces),
            Dimension::RequestsPerSecond => f64::from(self.scale.requests_per_second),
        }
    }
}

impl fmt::Display for Reading {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Scale { routers, runners, workspaces, requests_per_second } = self.scale;
        write!(f, "  {routers:>7} {runners:>7} {workspaces:>10} {requests_per_second:>5}")?;
        for cost in [self.busiest, self.mean] {
            write!(
                f,
                " | {:>8.0} {:>5.2} {:>4.1}",
                cost.bytes_per_second, cost.control_percent, cost.memory_mib
            )?;
        }
        Ok(())
    }
}

impl Scale {
    /// Starts a fleet of these sizes and measures the cost of its control.
    pub(crate) async fn measure(self, duration: Duration) -> Result<Reading, Report<Error>> {
        let mut fleet = self.builder().start().await.change_context(Error::Measure)?;
        fleet.wait_until_ready(READY_TIMEOUT).await.change_context(Error::Measure)?;
        time::sleep(SETTLE_TIME).await;
        let load = self.load(&fleet, Load::new(1, duration + WARM_UP_TIME));
        let (_, costs) = tokio::join!(load.run(), read_costs(&fleet, duration));
        let costs = costs?;
        let reading =
            Reading { scale: self, busiest: busiest_cost(&costs), mean: mean_cost(&costs) };
        eprintln!("xtask: {reading}");
        Ok(reading)
    }

    fn builder(self) -> rig::Builder {
        let engine =
            RunnerPlan::new().args(&["--slots", "8", "--token-interval-ms", "25"]).limits(8, 2);
        let mut builder = Fleet::builder().routers(self.routers);
        for zone in ["north-1", "north-2", "north-3"] {
            builder = builder.zone(zone, REGION);
        }
        for number in 1..=self.workspaces {
            builder = builder.workspace(WorkspacePlan::new(&format!("w{number}")));
        }
        builder.service(ServicePlan::engine(SERVICE, REGION).runners(self.runners, &engine))
    }

    fn load(self, fleet: &Fleet, mut load: Load) -> Load {
        let per_second = f64::from(self.requests_per_second) / cost::usize_as_f64(self.workspaces);
        for number in 1..=self.workspaces {
            let name = format!("w{number}");
            let caller = fleet.caller_of(&name, number % self.routers);
            let mix = Mix::of(|_, number| {
                Call::completion(SERVICE, &format!("question {number}"), MAX_TOKENS)
            });
            load = load.stream(Stream::new(&name, caller, Arrival::Open { per_second }, mix));
        }
        load
    }
}

async fn read_costs(fleet: &Fleet, duration: Duration) -> Result<Vec<Cost>, Report<Error>> {
    time::sleep(WARM_UP_TIME).await;
    let before = cost::statuses(fleet).await?;
    time::sleep(duration).await;
    let after = cost::statuses(fleet).await?;
    Ok(cost::between(&before, &after))
}

fn busiest_cost(costs: &[Cost]) -> Cost {
    costs
        .iter()
        .copied()
        .max_by(|a, b| a.bytes_per_second.total_cmp(&b.bytes_per_second))
        .unwrap_or_default()
}

fn mean_cost(costs: &[Cost]) -> Cost {
    let count = cost::usize_as_f64(costs.len()).max(1.0);
    let sum = |value: fn(&Cost) -> f64| costs.iter().map(value).sum::<f64>() / count;
    Cost {
        bytes_per_second: sum(|cost| cost.bytes_per_second),
        frames_per_second: sum(|cost| cost.frames_per_second),
        control_percent: sum(|cost| cost.control_percent),
        process_percent: sum(|cost| cost.process_percent),
        memory_mib: sum(|cost| cost.memory_mib),
    }
}
