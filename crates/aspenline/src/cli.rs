//! The command tree and its dispatch.

use clap::ArgMatches;
use clap::Command;

use crate::command::apply;
use crate::command::check;
use crate::command::completions;
use crate::command::config;
use crate::command::explain;
use crate::command::keys;
use crate::command::placement;
use crate::command::platform;
use crate::command::serve;
use crate::command::status;
use crate::command::timeline;
use crate::failure::Failure;

const AFTER_HELP: &str = "\
Exit codes:
  0  done
  1  failed, or not all routers answered
  2  wrong usage or an invalid file
  3  conflict: another operator's configuration came first
  4  no router could be reached, or the router could not reach the platform

Operators' commands talk to a router (--router, several are tried in turn) and show the
operators' token (--token, or the environment variable ASPENLINE_TOKEN).

Examples:
  aspenline check settings.json
  aspenline serve --settings settings.json
  aspenline apply fleet.json --router 192.0.2.11:8000
  aspenline zone out north-1 --router 192.0.2.11:8000 --router 192.0.2.12:8000";

/// Returns the command-line interface with all subcommands.
pub(crate) fn command() -> Command {
    Command::new("aspenline")
        .about("Routes model calls and service calls through a fleet of routers")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve::command())
        .subcommand(platform::command())
        .subcommand(check::command())
        .subcommand(apply::command())
        .subcommand(placement::command("zone", "Takes an availability zone out or back"))
        .subcommand(placement::command("instance", "Takes one instance or runner out or back"))
        .subcommand(status::command())
        .subcommand(timeline::command())
        .subcommand(explain::command())
        .subcommand(config::command())
        .subcommand(keys::command())
        .subcommand(completions::command())
}

/// Runs the selected subcommand.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
    match name {
        "serve" => serve::run(matches),
        "platform" => platform::run(),
        "check" => check::run(matches),
        "apply" => apply::run(matches),
        "status" => status::run(matches),
        "timeline" => timeline::run(matches),
        "explain" => explain::run(matches),
        "config" => config::run(matches),
        "keys" => keys::run(matches),
        "completions" => completions::run(matches, command()),
        kind => placement::run(kind, matches),
    }
}
