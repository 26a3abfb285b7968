//! `cargo xtask measure-zone`: a zone is taken out and back under load, in steps of one second.

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

/// Seconds of load unless told otherwise.
const DEFAULT_SECONDS: &str = "45";
/// Seed of the load unless told otherwise.
const DEFAULT_SEED: &str = "1";
/// The file that takes the plot unless told otherwise.
const DEFAULT_PLOT_PATH: &str = "docs/zone-change.svg";

/// Returns the description of the command.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("measure-zone")
        .about("Measures calls, fairness and utilisation while a zone is taken out and back")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64).range(30..=600))
                .default_value(DEFAULT_SECONDS)
                .help("Seconds of load; the zone is out in the middle third"),
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
                .help("The file that takes the plot"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints JSON"))
}

/// Runs the trial and returns whether all targets were met.
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
            eprintln!("xtask: no runtime: {error}");
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
        eprintln!("xtask: {path} can't be written: {error}");
        return false;
    }
    report.print(arguments.get_flag("json"))
}
