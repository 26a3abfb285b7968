//! `cargo xtask matrix`: injects every fault at every step of a request, with real processes.

mod known_failures;
mod plan;
mod table;

use std::fs;
use std::path::Path;
use std::time::Instant;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use error_stack::Report;
use error_stack::ResultExt;
use rig::matrix;
use rig::matrix::Cell;
use rig::matrix::Testbed;
use tokio::runtime;
use tokio::task::JoinSet;

use crate::Error;
use crate::check;
use crate::matrix::known_failures::KnownFailures;

/// Default seed.
const DEFAULT_SEED: &str = "1";
/// Default number of fleets that run at the same time.
const DEFAULT_FLEETS: &str = "3";
/// Directory for the logs and timelines of failed cells.
const LOG_DIRECTORY: &str = "target/matrix";

/// Returns the definition of the subcommand.
pub(crate) fn command() -> Command {
    Command::new("matrix")
        .about("Injects every fault at every step of calls and checks what callers receive")
        .arg(Arg::new("quick").long("quick").action(ArgAction::SetTrue).help("Only a few cells"))
        .arg(option("fault", "Only this fault, such as kill-entry"))
        .arg(option("step", "Only this step, such as claimed"))
        .arg(option("kind", "Only this kind of call: model or once"))
        .arg(number("seed", DEFAULT_SEED, "Seed for the choice of roles and short delays"))
        .arg(number("fleets", DEFAULT_FLEETS, "Fleets that run at the same time"))
}

fn option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    option(name, help).default_value(default).value_parser(value_parser!(u64))
}

/// Builds all binaries and runs the selected cells; returns whether all passed except known failures.
pub(crate) fn run(arguments: &ArgMatches) -> bool {
    let cells = match plan::cells(arguments) {
        Ok(cells) => cells,
        Err(reason) => {
            eprintln!("xtask: {reason}");
            return false;
        }
    };
    if !check::build() {
        return false;
    }
    let fleets = arguments.get_one::<u64>("fleets").copied().unwrap_or(1).max(1);
    let runtime = runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let started = Instant::now();
    let reports = runtime
        .change_context(Error::Matrix)
        .and_then(|runtime| runtime.block_on(run_all(&cells, fleets)));
    match reports {
        Ok(reports) => {
            table::print(&cells, &reports);
            println!("matrix: {} cells run in {:?}", reports.len(), started.elapsed());
            KnownFailures::read().check(&reports)
        }
        Err(report) => {
            eprintln!("xtask: the fault matrix could not be completed: {report:?}");
            false
        }
    }
}

/// Runs the applicable cells, distributed over the fleets.
async fn run_all(cells: &[Cell], fleets: u64) -> Result<Vec<matrix::Report>, Report<Error>> {
    let applicable: Vec<Cell> =
        cells.iter().filter(|cell| cell.inapplicable_reason().is_none()).copied().collect();
    let fleets = usize::try_from(fleets).unwrap_or(1).min(applicable.len().max(1));
    let mut tasks = JoinSet::new();
    for fleet in 0..fleets {
        let share: Vec<Cell> = applicable.iter().skip(fleet).step_by(fleets).copied().collect();
        tasks.spawn(run_cells(share));
    }
    let mut reports = Vec::new();
    while let Some(share) = tasks.join_next().await {
        reports.extend(share.change_context(Error::Matrix)??);
    }
    Ok(reports)
}

async fn run_cells(cells: Vec<Cell>) -> Result<Vec<matrix::Report>, Report<Error>> {
    let mut testbed = Testbed::start().await.change_context(Error::Matrix)?;
    let mut reports = Vec::new();
    for cell in cells {
        let report = testbed.run(cell).await;
        println!("{}", table::line(&report));
        if !report.is_passed() {
            save_logs(&testbed, &report).await;
            testbed = Testbed::start().await.change_context(Error::Matrix)?;
        }
        reports.push(report);
    }
    Ok(reports)
}

/// Saves the logs and timelines of the routers and the failures of a failed cell, since its fleet is not used again.
async fn save_logs(testbed: &Testbed, report: &matrix::Report) {
    let directory = Path::new(LOG_DIRECTORY).join(report.cell.to_string().replace(' ', "-"));
    let _ = fs::create_dir_all(&directory);
    for (router, (name, log)) in testbed.logs().into_iter().enumerate() {
        let _ = fs::write(directory.join(format!("{name}.log")), log);
        let _ = fs::write(directory.join(format!("{name}.json")), testbed.timeline(router).await);
    }
    let _ = fs::write(directory.join("faults.txt"), report.failures.join("\n"));
}
