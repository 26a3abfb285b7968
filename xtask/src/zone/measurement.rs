//! One run of the load with the two orders for the zone, during which the engines are sampled.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use error_stack::Report;
use error_stack::ResultExt;
use http::Method;
use rig::Fleet;
use rig::Load;
use serde_json::json;
use tokio::time;
use tokio::time::Instant;

use super::report;
use super::scenario;
use super::step;
use super::step::OutOfService;
use super::step::Sample;
use crate::Error;
use crate::measure::cost;
use crate::measure::ending::Endings;

/// Timeout for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between the readiness of the fleet and the load.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time between two samples of the engines.
const SAMPLE_PERIOD: Duration = Duration::from_millis(250);
/// Index of the router that receives the orders.
const ORDER_ROUTER: usize = 4;

/// A load on the fleet while a zone is taken out of service.
#[derive(Debug, Clone, Copy)]
pub(super) struct Measurement {
    /// The seed of the load.
    pub(super) seed: u64,
    /// The time for which calls are started.
    pub(super) duration: Duration,
}

impl Measurement {
    /// Starts a fleet, runs the load, gives the orders and returns the report.
    pub(super) async fn run(&self) -> Result<report::Report, Report<Error>> {
        let mut fleet = scenario::fleet().start().await.change_context(Error::Measure)?;
        fleet.wait_until_ready(READY_TIMEOUT).await.change_context(Error::Measure)?;
        time::sleep(SETTLE_TIME).await;
        let load = scenario::load(&fleet, Load::new(self.seed, self.duration));
        let begin = Instant::now();
        let begin_ms = unix_millis();
        let (records, out_of_service, samples) = tokio::join!(
            load.run(),
            self.switch_zone(&fleet, begin),
            self.sample_engines(&fleet, begin)
        );
        let out_of_service = out_of_service?;
        let statuses = cost::statuses(&fleet).await?;
        let shards = statuses.iter().flat_map(|status| &status.shards);
        let bound = shards.map(|shard| shard.bound).max().unwrap_or_default();
        let journals = fleet.journals().await.change_context(Error::Measure)?;
        let in_zone = journals
            .values()
            .enumerate()
            .filter(|(engine, _)| scenario::is_in_target_zone(*engine));
        let starts = in_zone
            .flat_map(|(_, journal)| &journal.requests)
            .map(|entry| Duration::from_millis(entry.started_ms.saturating_sub(begin_ms)));
        let starts: Vec<Duration> = starts.collect();
        Ok(report::Report {
            seed: self.seed,
            seconds: self.duration.as_secs(),
            out_of_service,
            bound_tokens: cost::u64_as_f64(bound) / cost::u64_as_f64(base::Cost::PER_TOKEN),
            gap_tokens: step::largest_gap(&records, self.duration),
            first_token_ms: step::first_token_p95(&records, step::WARM_UP_TIME, self.duration),
            endings: Endings::of(&records),
            late_starts: step::late_starts(&starts, out_of_service),
            crashes: journals.values().map(|journal| journal.crashes).sum(),
            steps: step::steps(&records, &samples, &starts, self.duration),
        })
    }

    /// Takes the zone out of service after a third of the duration and returns it after two thirds.
    async fn switch_zone(
        &self,
        fleet: &Fleet,
        begin: Instant,
    ) -> Result<OutOfService, Report<Error>> {
        time::sleep_until(begin + self.duration / 3).await;
        set_zone_out(fleet, true).await?;
        let start = begin.elapsed();
        time::sleep_until(begin + self.duration * 2 / 3).await;
        let end = begin.elapsed();
        set_zone_out(fleet, false).await?;
        Ok(OutOfService { start, end })
    }

    /// Samples all engines until no more calls are started.
    async fn sample_engines(&self, fleet: &Fleet, begin: Instant) -> Vec<Sample> {
        let mut samples = Vec::new();
        while begin.elapsed() < self.duration {
            let at = begin.elapsed();
            let mut running = Vec::new();
            for runner in fleet.runners().values() {
                running.push(runner.load().await.map_or(0, |load| load.running));
            }
            samples.push(Sample { at, running });
            time::sleep(SAMPLE_PERIOD).await;
        }
        samples
    }
}

async fn set_zone_out(fleet: &Fleet, out: bool) -> Result<(), Report<Error>> {
    let order =
        json!({ "kind": "zone", "name": scenario::ZONES[scenario::TARGET_ZONE], "out": out })
            .to_string();
    let answer = fleet
        .send_as_operator(ORDER_ROUTER, Method::POST, "/operator/placement", &order)
        .await
        .change_context(Error::Measure)?;
    if answer.status().is_success() {
        return Ok(());
    }
    let body = String::from_utf8_lossy(answer.body()).into_owned();
    Err(Report::new(Error::Measure).attach(body))
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
