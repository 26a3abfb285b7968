//! `platform`: runs a router on the users' platform.

use std::env;
use std::fs;

use clap::Command;

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
    let text = fs::read_to_string(&path)
        .map_err(|error| Failure::Invalid(format!("{path} can't be read: {error}")))?;
    let writer = lines::start()?;
    let result = platform::run(&text).map_err(|report| Failure::Failed(format!("{report:#}")));
    writer.finish();
    result
}
