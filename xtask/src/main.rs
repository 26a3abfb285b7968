//! Project tasks: `cargo xtask ci` runs all checks.

mod check;
mod imports;

use std::process::ExitCode;

use clap::Command;

fn main() -> ExitCode {
    let cli = Command::new("xtask")
        .about("Project tasks")
        .subcommand_required(true)
        .subcommand(Command::new("ci").about("Runs all checks"))
        .subcommand(Command::new("imports").about("Checks the layout of imports"));
    let done = match cli.get_matches().subcommand_name() {
        Some("ci") => check::run_all(),
        _ => imports::check(),
    };
    if done { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
