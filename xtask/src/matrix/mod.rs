//! `cargo xtask matrix`: every fault at every step of a request's life, with real processes.

mod known;
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
use crate::matrix::known::Known;

/// The seed unless told otherwise.
const SEED: &str = "1";
/// Fleets that run at the same time unless told otherwise.
const FLEETS: &str = "3";
/// Where logs and time lines of failed cells go.
const EVIDENCE: &str = "target/matrix";

/// Describes the subcommand.
pub(crate) fn command() -> Command {
    Command::new("matrix")
        .about("Strikes calls with every fault at every step and checks what callers get")
        .arg(Arg::new("quick").long("quick").action(ArgAction::SetTrue).help("Only a few cells"))
        .arg(option("fault", "Only this fault, such as kill-entry"))
        .arg(option("step", "Only this step, such as claimed"))
        .arg(option("kind", "Only this kind of call: model or once"))
        .arg(number("seed", SEED, "Decides about roles and small delays"))
        .arg(number("fleets", FLEETS, "Fleets that run at the same time"))
}

fn option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    option(name, help).default_value(default).value_parser(value_parser!(u64))
}

/// Builds all binaries and runs the chosen cells; returns whether all passed but the known ones.
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
    let begun = Instant::now();
    let reports = runtime
        .change_context(Error::Matrix)
        .and_then(|runtime| runtime.block_on(run_all(&cells, fleets)));
    match reports {
        Ok(reports) => {
            table::print(&cells, &reports);
            println!("matrix: {} cells run in {:?}", reports.len(), begun.elapsed());
            Known::read().judge(&reports)
        }
        Err(report) => {
            eprintln!("xtask: the matrix was not run to its end: {report:?}");
            false
        }
    }
}

/// Runs the cells that can happen, each fleet a part of them.
async fn run_all(cells: &[Cell], fleets: u64) -> Result<Vec<matrix::Report>, Report<Error>> {
    let possible: Vec<Cell> =
        cells.iter().filter(|cell| cell.inapplicable_reason().is_none()).copied().collect();
    let fleets = usize::try_from(fleets).unwrap_or(1).min(possible.len().max(1));
    let mut tasks = JoinSet::new();
    for fleet in 0..fleets {
        let part: Vec<Cell> = possible.iter().skip(fleet).step_by(fleets).copied().collect();
        tasks.spawn(run_part(part));
    }
    let mut reports = Vec::new();
    while let Some(part) = tasks.join_next().await {
        reports.extend(part.change_context(Error::Matrix)??);
    }
    Ok(reports)
}

async fn run_part(cells: Vec<Cell>) -> Result<Vec<matrix::Report>, Report<Error>> {
    let mut ground = Testbed::start().await.change_context(Error::Matrix)?;
    let mut reports = Vec::new();
    for cell in cells {
        let report = ground.run(cell).await;
        println!("{}", table::line(&report));
        if !report.is_passed() {
            keep_evidence(&ground, &report).await;
            ground = Testbed::start().await.change_context(Error::Matrix)?;
        }
        reports.push(report);
    }
    Ok(reports)
}

/// Keeps what the routers logged; a failed cell's fleet isn't used again.
async fn keep_evidence(ground: &Testbed, report: &matrix::Report) {
    let directory = Path::new(EVIDENCE).join(report.cell.to_string().replace(' ', "-"));
    let _ = fs::create_dir_all(&directory);
    for (router, (name, log)) in ground.logs().into_iter().enumerate() {
        let _ = fs::write(directory.join(format!("{name}.log")), log);
        let _ = fs::write(directory.join(format!("{name}.json")), ground.timeline(router).await);
    }
    let _ = fs::write(directory.join("faults.txt"), report.failures.join("\n"));
}
