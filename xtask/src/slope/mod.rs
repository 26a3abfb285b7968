//! `cargo xtask measure-slopes`: what control costs against routers, runners, workspaces and request rate.

mod fit;
mod point;

use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::value_parser;
use serde::Serialize;
use tokio::runtime;

use self::fit::Line;
use self::point::Point;
use self::point::Reading;
use crate::measure;

/// Seconds of load at each point unless told otherwise.
const SECONDS: &str = "10";
/// The point from which one size at a time is varied.
const CENTRE: Point = Point { routers: 9, runners: 20, workspaces: 16, requests_per_second: 20 };

/// A size that is varied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
enum Size {
    Routers,
    Runners,
    Workspaces,
    RequestsPerSecond,
}

/// The readings along one size.
#[derive(Debug, Serialize)]
struct Series {
    size: Size,
    readings: Vec<Reading>,
}

/// Returns the description of the command.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("measure-slopes")
        .about("Measures what control costs against each size, for docs/CAPACITY.md")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64).range(5..=120))
                .default_value(SECONDS)
                .help("Seconds of load at each point"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints JSON"))
}

/// Measures all points and returns whether every one could be measured.
pub(crate) fn run(arguments: &ArgMatches) -> bool {
    if !measure::is_optimised() {
        return measure::run_optimised();
    }
    let seconds = Duration::from_secs(arguments.get_one("seconds").copied().unwrap_or(10));
    let runtime = runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let Ok(runtime) = runtime else { return false };
    match runtime.block_on(all(seconds)) {
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

async fn all(duration: Duration) -> Result<Vec<Series>, error_stack::Report<crate::Error>> {
    let mut series = Vec::new();
    for size in [Size::Routers, Size::Runners, Size::Workspaces, Size::RequestsPerSecond] {
        let mut readings = Vec::new();
        for point in points(size) {
            readings.push(point.measure(duration).await?);
        }
        series.push(Series { size, readings });
    }
    Ok(series)
}

fn points(size: Size) -> Vec<Point> {
    let vary = |change: &dyn Fn(&mut Point)| {
        let mut point = CENTRE;
        change(&mut point);
        point
    };
    match size {
        Size::Routers => [3, 9, 18].map(|count| vary(&|point| point.routers = count)).to_vec(),
        Size::Runners => [5, 10, 20].map(|count| vary(&|point| point.runners = count)).to_vec(),
        Size::Workspaces => {
            [4, 16, 64].map(|count| vary(&|point| point.workspaces = count)).to_vec()
        }
        Size::RequestsPerSecond => {
            [5, 20, 40].map(|rate| vary(&|point| point.requests_per_second = rate)).to_vec()
        }
    }
}

fn print(series: &[Series], json: bool) {
    if json {
        println!("{}", serde_json::to_string_pretty(series).unwrap_or_default());
        return;
    }
    for one in series {
        println!("\nby {}", one.size);
        println!("{}", Reading::HEADER);
        for reading in &one.readings {
            println!("{reading}");
        }
        for (name, value) in Reading::VALUES {
            let line = Line::through(
                one.readings.iter().map(|reading| (reading.at(one.size), value(reading))),
            );
            println!("  {name}: {:.4} each, {:.2} at zero", line.slope, line.intercept);
        }
    }
}
