//! `completions`: writes a completion script for a shell.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;

use crate::failure::Failure;
use crate::output;

/// Returns the command.
pub(crate) fn command() -> Command {
    let shell = Arg::new("shell")
        .value_name("SHELL")
        .value_parser(value_parser!(Shell))
        .required(true)
        .help("The shell");
    Command::new("completions")
        .about("Writes a completion script for a shell")
        .after_help("Example:\n  aspenline completions bash > /etc/bash_completion.d/aspenline")
        .arg(shell)
}

/// Runs the command for the whole command-line interface.
pub(crate) fn run(matches: &ArgMatches, mut interface: Command) -> Result<(), Failure> {
    let shell = matches.get_one::<Shell>("shell").copied().expect("clap requires the shell");
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut interface, "aspenline", &mut script);
    output::text(&String::from_utf8_lossy(&script))
}
