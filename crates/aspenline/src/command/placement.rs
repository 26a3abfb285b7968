//! `zone` and `instance`: take a zone or an instance out of service or return it to service.

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use serde_json::json;

use crate::failure::Failure;
use crate::fleet;
use crate::operator;
use crate::operator::ApiRequest;
use crate::operator::Client;
use crate::output;

/// Returns the command for one kind of target, which is `zone` or `instance`.
pub(crate) fn command(kind: &'static str, about: &'static str) -> Command {
    Command::new(kind)
        .about(about)
        .after_help(format!(
            "A call that runs is not cut.\n\n\
             Examples:\n  aspenline {kind} out NAME --router 192.0.2.11:8000\n  \
             aspenline {kind} back NAME --router 192.0.2.11:8000"
        ))
        .subcommand_required(true)
        .subcommand(order("out", "Sends no new calls there"))
        .subcommand(order("back", "Sends calls there again"))
}

fn order(name: &'static str, about: &'static str) -> Command {
    let target = Arg::new("name").value_name("NAME").required(true).help("Its name");
    let json = Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints JSON");
    operator::options(Command::new(name).about(about).arg(target).arg(json))
}

/// Runs the command.
pub(crate) fn run(kind: &str, matches: &ArgMatches) -> Result<(), Failure> {
    let (direction, matches) = matches.subcommand().expect("clap requires a subcommand");
    let name = matches.get_one::<String>("name").expect("clap requires the name");
    let client = Client::from_matches(matches)?;
    let order = json!({ "kind": kind, "name": name, "out": direction == "out" });
    let request = ApiRequest::post("/operator/placement", &order);
    let answer = operator::runtime()?.block_on(client.execute_checked(&request))?.json()?;
    if matches.get_flag("json") {
        return output::json(&answer);
    }
    let counter = fleet::field_text(&answer, "counter");
    output::text(&format!("{kind} {name} is {direction} (order {counter})"))
}
