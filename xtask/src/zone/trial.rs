//! The run: load, the two orders and looks at the engines.

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
use super::scene;
use super::step;
use super::step::Look;
use super::step::Orders;
use crate::Error;
use crate::measure::cost;
use crate::measure::ending::Endings;

/// Longest wait for the fleet to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between the meeting of the routers and the load.
const SETTLE: Duration = Duration::from_secs(4);
/// Time from one look at the engines to the next.
const LOOK_PERIOD: Duration = Duration::from_millis(250);
/// The router that takes the orders.
const TAKER: usize = 4;

/// One run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Trial {
    /// The seed of the load.
    pub(super) seed: u64,
    /// How long calls begin.
    pub(super) duration: Duration,
}

impl Trial {
    /// Starts a fleet, runs the load, gives the orders and returns what was measured.
    pub(super) async fn run(&self) -> Result<report::Report, Report<Error>> {
        let mut fleet = scene::fleet().start().await.change_context(Error::Measure)?;
        fleet.wait_until_ready(READY_TIMEOUT).await.change_context(Error::Measure)?;
        time::sleep(SETTLE).await;
        let load = scene::load(&fleet, Load::new(self.seed, self.duration));
        let begin = Instant::now();
        let begin_ms = wall_millis();
        let (records, orders, looks) =
            tokio::join!(load.run(), self.order(&fleet, begin), self.look(&fleet, begin));
        let orders = orders?;
        let statuses = cost::statuses(&fleet).await?;
        let shards = statuses.iter().flat_map(|status| &status.shards);
        let bound = shards.map(|shard| shard.bound).max().unwrap_or_default();
        let journals = fleet.journals().await.change_context(Error::Measure)?;
        let in_zone =
            journals.values().enumerate().filter(|(engine, _)| scene::is_in_zone(*engine));
        let starts = in_zone
            .flat_map(|(_, journal)| &journal.requests)
            .map(|entry| Duration::from_millis(entry.started_ms.saturating_sub(begin_ms)));
        let starts: Vec<Duration> = starts.collect();
        Ok(report::Report {
            seed: self.seed,
            seconds: self.duration.as_secs(),
            orders,
            bound_tokens: cost::u64_as_f64(bound) / cost::u64_as_f64(base::Cost::PER_TOKEN),
            gap_tokens: step::largest_gap(&records, self.duration),
            first_token_ms: step::first_token_p95(&records, step::WARM_UP, self.duration),
            endings: Endings::of(&records),
            late_starts: step::late_starts(&starts, orders),
            falls: journals.values().map(|journal| journal.crashes).sum(),
            steps: step::steps(&records, &looks, &starts, self.duration),
        })
    }

    /// Takes the zone out at a third of the run and back at two thirds.
    async fn order(&self, fleet: &Fleet, begin: Instant) -> Result<Orders, Report<Error>> {
        time::sleep_until(begin + self.duration / 3).await;
        place(fleet, true).await?;
        let out = begin.elapsed();
        time::sleep_until(begin + self.duration * 2 / 3).await;
        let back = begin.elapsed();
        place(fleet, false).await?;
        Ok(Orders { out, back })
    }

    /// Looks at all engines until calls no longer begin.
    async fn look(&self, fleet: &Fleet, begin: Instant) -> Vec<Look> {
        let mut looks = Vec::new();
        while begin.elapsed() < self.duration {
            let at = begin.elapsed();
            let mut running = Vec::new();
            for runner in fleet.runners().values() {
                running.push(runner.load().await.map_or(0, |load| load.running));
            }
            looks.push(Look { at, running });
            time::sleep(LOOK_PERIOD).await;
        }
        looks
    }
}

async fn place(fleet: &Fleet, out: bool) -> Result<(), Report<Error>> {
    let order = json!({ "kind": "zone", "name": scene::ZONES[scene::OUT], "out": out }).to_string();
    let answer = fleet
        .send_as_operator(TAKER, Method::POST, "/operator/placement", &order)
        .await
        .change_context(Error::Measure)?;
    if answer.status().is_success() {
        return Ok(());
    }
    let body = String::from_utf8_lossy(answer.body()).into_owned();
    Err(Report::new(Error::Measure).attach(body))
}

fn wall_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
