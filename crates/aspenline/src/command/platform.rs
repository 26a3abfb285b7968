//! `platform`: runs a router on the users' platform.

use std::env;
use std::path::Path;

use clap::Command;
use error_stack::Report;

use crate::failure::Failure;
use crate::lines;

/// Returns the command.
pub(crate) fn command() -> Command {
    Command::new("platform")
        .about("Runs a router on the users' platform until it is told to terminate")
        .after_help(
            "Reads the settings file named by the environment variable ASPENLINE_SETTINGS, and logs\n\
             JSON lines to standard output. On SIGTERM it sends callers elsewhere and cuts no request.",
        )
}

/// Runs the command.
pub(crate) fn run() -> Result<(), Failure> {
    let path = platform::settings_path(|name| env::var(name).ok())
        .ok_or_else(|| Failure::Invalid("ASPENLINE_SETTINGS is not set".to_owned()))?;
    let writer = lines::start()?;
    let result = platform::run(Path::new(&path)).map_err(|report| failure(&report));
    writer.finish();
    result
}

fn failure(report: &Report<platform::Error>) -> Failure {
    let text = format!("{report:#}");
    match report.current_context() {
        platform::Error::Settings => Failure::Invalid(text),
        _ => Failure::Failed(text),
    }
}
