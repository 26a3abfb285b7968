//! `cargo xtask measure-zone`: takes a zone out of service and returns it under load, with figures of each second.

mod measurement;
mod plot;
mod report;
mod scenario;
mod step;

use std::fs;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::value_parser;
use tokio::runtime;

use self::measurement::Measurement;
use crate::measure;

/// Default duration of the load, in seconds.
const DEFAULT_SECONDS: &str = "45";
/// Default seed of the load.
const DEFAULT_SEED: &str = "1";
/// Default path of the plot.
const DEFAULT_PLOT_PATH: &str = "docs/zone-change.svg";

/// Returns the definition of the subcommand.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("measure-zone")
        .about("Measures calls, fairness and utilisation while a zone is taken out and returned")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64).range(30..=600))
                .default_value(DEFAULT_SECONDS)
                .help("Seconds of load; the zone is out of service in the middle third"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value(DEFAULT_SEED)
                .help("Seed of the load"),
        )
        .arg(
            Arg::new("svg")
                .long("svg")
                .default_value(DEFAULT_PLOT_PATH)
                .help("The file to which the plot is written"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints JSON"))
}

/// Runs the measurement and returns whether all targets were met.
pub(crate) fn run(arguments: &ArgMatches) -> bool {
    if !measure::is_optimised() {
        return measure::run_optimised();
    }
    let seconds = arguments.get_one("seconds").copied().unwrap_or(45);
    let seed = arguments.get_one("seed").copied().unwrap_or(1);
    let measurement = Measurement { seed, duration: Duration::from_secs(seconds) };
    let runtime = match runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("xtask: the async runtime cannot be started: {error}");
            return false;
        }
    };
    let report = match runtime.block_on(measurement.run()) {
        Ok(report) => report,
        Err(failure) => {
            eprintln!("xtask: the measurement failed: {failure:?}");
            return false;
        }
    };
    let path = arguments.get_one::<String>("svg").map_or(DEFAULT_PLOT_PATH, String::as_str);
    if let Err(error) = fs::write(path, plot::draw(&report)) {
        eprintln!("xtask: {path} cannot be written: {error}");
        return false;
    }
    report.print(arguments.get_flag("json"))
}
