//! The command line of the fakes.

use std::any::Any;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

/// Returns the definition of the command line.
pub(crate) fn command() -> Command {
    Command::new("aspenline-fake")
        .about("Stand-ins for the platform, runners and the network")
        .subcommand_required(true)
        .subcommand(platform())
        .subcommand(engine())
        .subcommand(service())
        .subcommand(subcommand(
            "proxy",
            "A network of many links that can be cut, delayed and silenced",
        ))
}

/// Returns the value of an argument that has a default.
pub(crate) fn value<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().expect("the argument has a default")
}

/// Returns the value of an argument in milliseconds.
pub(crate) fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(value(matches, name))
}

fn platform() -> Command {
    subcommand("platform", "A log service and a list of instances")
        .arg(duration("retention-ms", "3600000", "How long records are kept"))
        .arg(count("appends-per-second", "400", "Appends taken in one second"))
        .arg(duration("list-lag-ms", "0", "How long a change of the list stays unseen"))
}

fn engine() -> Command {
    subcommand("engine", "A model engine with continuous batching and a cold start")
        .arg(count("slots", "8", "Requests that run at the same time"))
        .arg(duration("token-interval-ms", "20", "Time between two tokens"))
        .arg(duration("first-token-ms", "60", "Time until the first token"))
        .arg(flag("cold", "Start cold"))
        .arg(count("cold-slots", "2", "Requests that a cold engine bears"))
        .arg(count("warm-after", "6", "Answered requests after which the engine is warm"))
        .arg(duration("fall-ms", "1500", "How long connections are refused after a fall"))
        .arg(duration("report-lag-ms", "400", "Time between two load reports"))
        .arg(count("event-bytes", "0", "Bytes that are added to each event"))
        .arg(flag("check-fencing", "Refuse orders with an older fence"))
}

fn service() -> Command {
    subcommand("service", "A plain service, which answers lookups and executes calls")
        .arg(duration("service-ms", "8", "Time that one call takes"))
        .arg(count("slots", "8", "Calls that run at the same time"))
        .arg(duration("report-lag-ms", "400", "Time between two load reports"))
}

fn subcommand(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("listen")
                .long("listen")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr))
                .help("The address to listen on"),
        )
        .arg(flag("exit-with-stdin", "Exit at the end of standard input"))
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

fn count(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).default_value(default).help(help);
    arg.value_parser(value_parser!(u32))
}

fn duration(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).default_value(default).help(help);
    arg.value_parser(value_parser!(u64))
}
