//! `explain`: explains what happened to a request, based on the log lines of routers.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::explain::Explanation;
use crate::failure::Failure;
use crate::input;
use crate::output;

/// Returns the command.
pub(crate) fn command() -> Command {
    let request = Arg::new("request").value_name("REQUEST-ID").required(true).help("The request");
    let files = Arg::new("files")
        .value_name("FILE")
        .num_args(0..)
        .default_value("-")
        .help("Log files of routers; - is standard input");
    Command::new("explain")
        .about("Tells from log lines what happened to a request, and the first cause of a failure")
        .after_help(
            "Prints the lines of the request, the first that ended a try badly, and what the router\n\
             had last learnt before. Words before a line's JSON object name its process, otherwise\n\
             the file does. Lines that can't be read are counted.\n\n\
             Examples:\n  aspenline explain 9c41d07be2a35f68 router-1.log router-2.log\n  \
             cat *.log | aspenline explain 9c41d07be2a35f68",
        )
        .arg(request)
        .arg(files)
}

/// Runs the command.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let request = matches.get_one::<String>("request").expect("clap requires a request");
    let mut explanation = Explanation::new(request);
    for path in matches.get_many::<String>("files").into_iter().flatten() {
        let input = input::read(path)?;
        explanation.read(&input.name, &input.text);
    }
    let text = explanation.text();
    if explanation.is_found() {
        return output::text(&text);
    }
    Err(Failure::Failed(
        format!("no line tells of request {request}\n{text}").trim_end().to_owned(),
    ))
}
