//! `cargo xtask measure-slopes`: how the cost of control grows with routers, runners, workspaces and request rate.

mod fit;
mod scale;

use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::value_parser;
use serde::Serialize;
use tokio::runtime;

use self::fit::LinearFit;
use self::scale::Reading;
use self::scale::Scale;
use crate::measure;

/// Default duration of the load at each scale, in seconds.
const DEFAULT_SECONDS: &str = "10";
/// The scale from which one dimension at a time is varied.
const BASE_SCALE: Scale =
    Scale { routers: 9, runners: 20, workspaces: 16, requests_per_second: 20 };

/// A dimension of the scale that is varied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
enum Dimension {
    Routers,
    Runners,
    Workspaces,
    RequestsPerSecond,
}

/// The readings along one dimension.
#[derive(Debug, Serialize)]
struct Series {
    #[serde(rename = "size")]
    dimension: Dimension,
    readings: Vec<Reading>,
}

/// Returns the definition of the subcommand.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("measure-slopes")
        .about("Measures how the cost of control grows with each dimension, for docs/CAPACITY.md")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64).range(5..=120))
                .default_value(DEFAULT_SECONDS)
                .help("Seconds of load at each scale"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints JSON"))
}

/// Measures all scales and returns whether each one could be measured.
pub(crate) fn run(arguments: &ArgMatches) -> bool {
    if !measure::is_optimised() {
        return measure::run_optimised();
    }
    let seconds = Duration::from_secs(arguments.get_one("seconds").copied().unwrap_or(10));
    let runtime = runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let Ok(runtime) = runtime else { return false };
    match runtime.block_on(measure_all(seconds)) {
        Ok(series) => {
            print(&series, arguments.get_flag("json"));
            true
        }
        Err(failure) => {
            eprintln!("xtask: the measurement failed: {failure:?}");
            false
        }
    }
}

async fn measure_all(duration: Duration) -> Result<Vec<Series>, error_stack::Report<crate::Error>> {
    let mut series = Vec::new();
    for dimension in [
        Dimension::Routers,
        Dimension::Runners,
        Dimension::Workspaces,
        Dimension::RequestsPerSecond,
    ] {
        let mut readings = Vec::new();
        for scale in scales(dimension) {
            readings.push(scale.measure(duration).await?);
        }
        series.push(Series { dimension, readings });
    }
    Ok(series)
}

fn scales(dimension: Dimension) -> Vec<Scale> {
    let vary = |change: &dyn Fn(&mut Scale)| {
        let mut scale = BASE_SCALE;
        change(&mut scale);
        scale
    };
    match dimension {
        Dimension::Routers => [3, 9, 18].map(|count| vary(&|scale| scale.routers = count)).to_vec(),
        Dimension::Runners => {
            [5, 10, 20].map(|count| vary(&|scale| scale.runners = count)).to_vec()
        }
        Dimension::Workspaces => {
            [4, 16, 64].map(|count| vary(&|scale| scale.workspaces = count)).to_vec()
        }
        Dimension::RequestsPerSecond => {
            [5, 20, 40].map(|rate| vary(&|scale| scale.requests_per_second = rate)).to_vec()
        }
    }
}

fn print(all_series: &[Series], json: bool) {
    if json {
        println!("{}", serde_json::to_string_pretty(all_series).unwrap_or_default());
        return;
    }
    for series in all_series {
        println!("\nby {}", series.dimension);
        println!("{}", Reading::HEADER);
        for reading in &series.readings {
            println!("{reading}");
        }
        for (name, value) in Reading::VALUES {
            let fit = LinearFit::least_squares(
                series
                    .readings
                    .iter()
                    .map(|reading| (reading.size_along(series.dimension), value(reading))),
            );
            println!("  {name}: {:.4} each, {:.2} at zero", fit.slope, fit.intercept);
        }
    }
}
