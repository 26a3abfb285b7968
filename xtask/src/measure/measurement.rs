//! One run of the load on real processes, and its figures.

use std::time::Duration;

use base::Class;
use error_stack::Report;
use error_stack::ResultExt;
use rig::Fleet;
use rig::Load;
use rig::Record;
use serde::Serialize;
use tokio::time;
use tokio::time::Instant;

use super::cost;
use super::cost::Cost;
use super::cost::Shard;
use super::cost::Status;
use super::ending::Endings;
use super::gap;
use super::profile::BACKLOGGED;
use super::profile::Profile;
use super::profile::SLOTS;
use super::profile::workspace_name;
use crate::Error;

/// Timeout for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between the readiness of the fleet and the load.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Duration of the load before the window that is measured.
const WARM_UP_TIME: Duration = Duration::from_secs(6);
/// Duration of the load after the window that is measured.
const COOL_DOWN_TIME: Duration = Duration::from_secs(2);
/// Time between two samples of the engines.
const SAMPLE_PERIOD: Duration = Duration::from_millis(250);

/// The mode of the routers: they decide together, or each decides alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// The routers decide together, through the dispatcher of each shard.
    Fleet,
    /// Each router decides alone and prefers the runner with the fewest outstanding requests.
    Baseline,
}

/// A load on a deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Measurement {
    /// The deployment.
    pub(crate) profile: Profile,
    /// The seed of the load.
    pub(crate) seed: u64,
    /// The time for which calls are started.
    pub(crate) duration: Duration,
}

/// Percentiles of times, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(crate) struct Percentiles {
    /// Half of the times are at most this long.
    pub(crate) p50: f64,
    /// 95 in 100 times are at most this long.
    pub(crate) p95: f64,
    /// 99 in 100 times are at most this long.
    pub(crate) p99: f64,
    /// The number of times, one for each call or each pair of consecutive tokens.
    pub(crate) count: usize,
}

/// The figures of one measurement.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Figures {
    /// The largest gap as measured by callers, in tokens per weight.
    pub(crate) gap_tokens: f64,
    /// The sum of the bounds on the gap that the dispatchers report, in tokens per weight, if the mode has one.
    pub(crate) bound_tokens: Option<f64>,
    /// The largest gap of charges that a dispatcher reports, in tokens per weight.
    pub(crate) charged_gap_tokens: Option<f64>,
    /// Busy slots of the engines while work waited, as a fraction.
    pub(crate) utilisation: f64,
    /// The same, as reported by the dispatchers; the smallest of all shards.
    #[serde(rename = "own_utilisation")]
    pub(crate) dispatcher_utilisation: Option<f64>,
    /// Mean number of requests that waited inside engines.
    pub(crate) queued_in_engines: f64,
    /// The cost of control of each router.
    pub(crate) costs: Vec<Cost>,
    /// First-token times of interactive calls of workspaces within their share.
    pub(crate) first_token_within_share: Percentiles,
    /// First-token times of interactive calls of the backlogged workspace.
    pub(crate) first_token_backlogged: Percentiles,
    /// First-token times of long calls.
    pub(crate) first_token_long: Percentiles,
    /// Times between two tokens.
    pub(crate) between_tokens: Percentiles,
    /// The numbers of calls by how they ended.
    pub(crate) endings: Endings,
}

/// The readings of the window that is measured.
#[derive(Debug)]
struct Window {
    before: Vec<Status>,
    after: Vec<Status>,
    engine_use: EngineUse,
}

/// Use of the engines, summed over samples.
#[derive(Debug, Clone, Copy, Default)]
struct EngineUse {
    busy: f64,
    queued: f64,
    samples: f64,
}

impl Measurement {
    /// Starts a fleet, runs the load and returns the figures.
    pub(crate) async fn run(&self, mode: Mode) -> Result<Figures, Report<Error>> {
        let fleet = self.start(mode).await?;
        let load = self.profile.load(&fleet, Load::new(self.seed, self.duration));
        let (records, window) = tokio::join!(load.run(), self.read_window(&fleet));
        let Window { before, after, engine_use } = window?;
        let shards = after.iter().flat_map(|status| &status.shards);
        let shards: Vec<&Shard> =
            shards.filter(|shard| shard.shard.service == self.profile.model_service).collect();
        let costs = cost::between(&before, &after);
        Ok(self.figures(&records, engine_use, &shards, costs))
    }

    async fn start(&self, mode: Mode) -> Result<Fleet, Report<Error>> {
        let mut builder = self.profile.fleet();
        if mode == Mode::Baseline {
            builder = builder.setting("mode", "baseline".into());
        }
        let mut fleet = builder.start().await.change_context(Error::Measure)?;
        fleet.wait_until_ready(READY_TIMEOUT).await.change_context(Error::Measure)?;
        time::sleep(SETTLE_TIME).await;
        Ok(fleet)
    }

    /// Reads the routers' counters at both ends of the window and samples the engines in between.
    async fn read_window(&self, fleet: &Fleet) -> Result<Window, Report<Error>> {
        let begin = Instant::now();
        time::sleep_until(begin + WARM_UP_TIME).await;
        let before = cost::statuses(fleet).await?;
        let mut engine_use = EngineUse::default();
        while begin.elapsed() < self.window_end() {
            engine_use.add(fleet).await;
            time::sleep(SAMPLE_PERIOD).await;
        }
        let after = cost::statuses(fleet).await?;
        Ok(Window { before, after, engine_use })
    }

    const fn window_end(&self) -> Duration {
        self.duration.saturating_sub(COOL_DOWN_TIME)
    }

    fn figures(
        &self,
        records: &[Record],
        engine_use: EngineUse,
        shards: &[&Shard],
        costs: Vec<Cost>,
    ) -> Figures {
        let measured: Vec<&Record> = records
            .iter()
            .filter(|record| record.started >= WARM_UP_TIME && record.started < self.window_end())
            .collect();
        let is_backlogged = |record: &Record| {
            BACKLOGGED
                .iter()
                .any(|backlogged| workspace_name(backlogged.number) == record.workspace)
        };
        let first_token_times = |class: Class, backlogged: bool| {
            let chosen = measured
                .iter()
                .filter(|record| record.class == class && is_backlogged(record) == backlogged);
            let times: Vec<Duration> = chosen.filter_map(|record| record.first_token()).collect();
            Percentiles::of(&times)
        };
        let between_tokens: Vec<Duration> =
            measured.iter().flat_map(|record| record.token_intervals()).collect();
        Figures {
            gap_tokens: gap::largest_gap(records, WARM_UP_TIME, self.window_end()),
            bound_tokens: shards
                .iter()
                .map(|shard| to_tokens(shard.bound))
                .reduce(|sum, bound| sum + bound),
            charged_gap_tokens: shards
                .iter()
                .map(|shard| to_tokens(shard.largest_gap))
                .reduce(f64::max),
            utilisation: engine_use.busy / engine_use.samples.max(1.0),
            dispatcher_utilisation: shards
                .iter()
                .filter_map(|shard| shard.utilisation)
                .reduce(f64::min),
            queued_in_engines: engine_use.queued / engine_use.samples.max(1.0),
            costs,
            first_token_within_share: first_token_times(Class::Interactive, false),
            first_token_backlogged: first_token_times(Class::Interactive, true),
            first_token_long: first_token_times(Class::Long, true),
            between_tokens: Percentiles::of(&between_tokens),
            endings: Endings::of(records),
        }
    }
}

impl EngineUse {
    /// Adds one sample of all engines; plain runners are not counted.
    async fn add(&mut self, fleet: &Fleet) {
        let slots = f64::from(SLOTS);
        let mut engines = 0.0;
        let (mut busy, mut queued) = (0.0, 0.0);
        for runner in fleet.runners().values() {
            let Ok(load) = runner.load().await else { continue };
            if load.slots == SLOTS {
                engines += 1.0;
                busy += f64::from(load.running.min(SLOTS)) / slots;
                queued += f64::from(load.waiting);
            }
        }
        if engines > 0.0 {
            self.busy += busy / engines;
            self.queued += queued;
            self.samples += 1.0;
        }
    }
}

impl Percentiles {
    fn of(times: &[Duration]) -> Self {
        let millis = |percent: f64| {
            rig::percentile(times, percent).map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
        };
        Self { p50: millis(50.0), p95: millis(95.0), p99: millis(99.0), count: times.len() }
    }
}

/// Converts a cost to tokens.
fn to_tokens(cost: u64) -> f64 {
    cost::u64_as_f64(cost) / cost::u64_as_f64(base::Cost::PER_TOKEN)
}
