//! `cargo xtask measure`: runs the same load on the fleet and on the baseline and compares their figures.

pub(crate) mod cost;
pub(crate) mod ending;
mod gap;
mod measurement;
mod profile;
mod report;

use std::process::Command;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::value_parser;
use tokio::runtime;

use self::measurement::Measurement;
use self::measurement::Mode;
use self::profile::Profile;
use self::report::Report;
use crate::check;

/// Default duration of the load in each mode, in seconds.
const DEFAULT_SECONDS: &str = "35";
/// Default maximum number of runners of one shard.
const DEFAULT_SHARD_RUNNERS: &str = "5";
/// Default seed of the load.
const DEFAULT_SEED: &str = "1";
/// Environment variable that is set in the process that was built with optimisation.
const OPTIMISED: &str = "ASPENLINE_OPTIMISED";

/// Returns the definition of the subcommand.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("measure")
        .about("Measures fairness gap, utilisation, control cost and latency against the baseline")
        .arg(
            Arg::new("profile")
                .long("profile")
                .value_parser(["trentside", "limkraftur"])
                .default_value("trentside")
                .help("The deployment whose sizes are used"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64).range(15..=600))
                .default_value(DEFAULT_SECONDS)
                .help("Seconds of load in each mode"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value(DEFAULT_SEED)
                .help("Seed of the load"),
        )
        .arg(
            Arg::new("shard-runners")
                .long("shard-runners")
                .value_parser(value_parser!(u32).range(1..))
                .default_value(DEFAULT_SHARD_RUNNERS)
                .help("Maximum number of runners of one shard"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints JSON"))
}

/// Measures both modes and returns whether all targets were met.
pub(crate) fn run(arguments: &ArgMatches) -> bool {
    if !is_optimised() {
        return run_optimised();
    }
    let profile = match arguments.get_one::<String>("profile").map(String::as_str) {
        Some("limkraftur") => Profile::limkraftur(),
        _ => Profile::trentside(),
    };
    let seconds = arguments.get_one("seconds").copied().unwrap_or(15);
    let seed = arguments.get_one("seed").copied().unwrap_or(1);
    let profile = profile.shard_runners(arguments.get_one("shard-runners").copied().unwrap_or(1));
    let measurement = Measurement { profile, seed, duration: Duration::from_secs(seconds) };
    let runtime = runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(measure_both(&measurement)),
        Err(error) => {
            eprintln!("xtask: the async runtime cannot be started: {error}");
            return false;
        }
    };
    match result {
        Ok(report) => report.print(arguments.get_flag("json")),
        Err(failure) => {
            eprintln!("xtask: the measurement failed: {failure:?}");
            false
        }
    }
}

/// Returns whether this is the process that was built with optimisation.
pub(crate) fn is_optimised() -> bool {
    std::env::var_os(OPTIMISED).is_some()
}

/// Builds with optimisation and runs this command again in that build.
pub(crate) fn run_optimised() -> bool {
    if !check::cargo(&["build", "--release", "--workspace", "--quiet"], &[]) {
        return false;
    }
    let mut command = Command::new("target/release/xtask");
    command.args(std::env::args_os().skip(1)).env(OPTIMISED, "1");
    command.status().is_ok_and(|status| status.success())
}

async fn measure_both(
    measurement: &Measurement,
) -> Result<Report, error_stack::Report<crate::Error>> {
    let fleet = measurement.run(Mode::Fleet).await?;
    let baseline = measurement.run(Mode::Baseline).await?;
    Ok(Report {
        profile: measurement.profile.name,
        seed: measurement.seed,
        seconds: measurement.duration.as_secs(),
        fleet,
        baseline,
    })
}
