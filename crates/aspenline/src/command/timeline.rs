//! `timeline`: prints the events of all routers in one order.

use std::fs;
use std::path::PathBuf;

use base::Event;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::failure::Failure;
use crate::fleet;
use crate::operator;
use crate::operator::Answer;
use crate::operator::ApiRequest;
use crate::operator::Client;
use crate::output;
use crate::timeline;
use crate::timeline::Row;
use crate::timeline::filter;
use crate::timeline::filter::Filter;
use crate::timeline::svg;
use crate::timeline::text;

/// Returns the command.
pub(crate) fn command() -> Command {
    let drawing = Arg::new("svg")
        .long("svg")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Draws the events into a file instead of printing them");
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .conflicts_with("svg")
        .help("Prints JSON");
    let command = Command::new("timeline")
        .about("Shows the events of all routers in one order")
        .after_help(
            "Each router keeps its last events. Their order over routers is that of hybrid logical\n\
             clocks: what caused something stands before it.\n\n\
             Examples:\n  aspenline timeline --router 192.0.2.11:8000 --since 60\n  \
             aspenline timeline --router 192.0.2.11:8000 --request 0197a2 --svg request.svg",
        )
        .arg(drawing)
        .arg(json);
    operator::options(filter::options(command))
}

/// Runs the command.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let client = Client::from_matches(matches)?;
    let request = ApiRequest::get("/operator/timeline");
    let responses = operator::runtime()?.block_on(fleet::send_to_all(&client, &request))?;
    let mut events = Vec::new();
    for answer in &responses.answers {
        events.extend(parse_events(answer)?);
    }
    let filter = Filter::from_matches(matches);
    let mut events = timeline::merge(events);
    events.retain(|event| filter.matches(event));
    if let Some(path) = matches.get_one::<PathBuf>("svg") {
        fs::write(path, svg::render(&events))
            .map_err(|error| Failure::Failed(format!("can't write {}: {error}", path.display())))?;
    } else if matches.get_flag("json") {
        output::json(&events.iter().map(Row::from).collect::<Vec<_>>())?;
    } else {
        output::text(&text::render(&events))?;
    }
    fleet::check_missing(&responses.missing)
}

fn parse_events(answer: &Answer) -> Result<Vec<Event>, Failure> {
    serde_json::from_slice(&answer.body)
        .map_err(|error| Failure::Failed(format!("{}: invalid timeline: {error}", answer.router)))
}
