//! Project tasks: `cargo xtask ci` runs all checks, `cargo xtask demo` demonstrates a small fleet.

mod check;
mod demo;
mod error;
mod imports;
mod known_failures;
mod matrix;
mod measure;
mod slope;
mod target;
mod zone;

use std::process::ExitCode;

use clap::Command;

pub(crate) use error::Error;

fn main() -> ExitCode {
    let cli = Command::new("xtask")
        .about("Project tasks")
        .subcommand_required(true)
        .subcommand(Command::new("ci").about("Runs all checks, as CI does"))
        .subcommand(
            Command::new("demo").about("Starts a small fleet and makes a call of each kind"),
        )
        .subcommand(matrix::command())
        .subcommand(measure::command())
        .subcommand(slope::command())
        .subcommand(zone::command())
        .subcommand(Command::new("imports").about("Checks the layout of imports"));
    let succeeded = match cli.get_matches().subcommand() {
        Some(("ci", _)) => check::run_all(),
        Some(("demo", _)) => demo::run(),
        Some(("matrix", arguments)) => matrix::run(arguments),
        Some(("measure", arguments)) => measure::run(arguments),
        Some(("measure-slopes", arguments)) => slope::run(arguments),
        Some(("measure-zone", arguments)) => zone::run(arguments),
        _ => imports::check(),
    };
    if succeeded { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
