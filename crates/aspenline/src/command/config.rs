//! `config`: prints the configuration in force.

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::failure::Failure;
use crate::operator;
use crate::operator::ApiRequest;
use crate::operator::Client;
use crate::output;

/// The prefix of the first line of a printed configuration, which states its version.
const VERSION_PREFIX: &str = "// based on version ";

/// A published configuration and its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Revision {
    /// The version.
    pub(crate) version: u64,
    /// The text of the file.
    pub(crate) text: String,
}

/// Returns the command.
pub(crate) fn command() -> Command {
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Prints version and text as JSON");
    let show = Command::new("show")
        .about("Prints the configuration in force")
        .after_help(
            "The first line tells the version, so that `apply` can notice another operator's change.\n\n\
             Example:\n  aspenline config show --router 192.0.2.11:8000 > fleet.json",
        )
        .arg(json);
    Command::new("config")
        .about("Shows the configuration in force")
        .subcommand_required(true)
        .subcommand(operator::options(show))
}

/// Runs the command.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let (_, matches) = matches.subcommand().expect("clap requires a subcommand");
    let client = Client::from_matches(matches)?;
    let revision = operator::runtime()?
        .block_on(fetch(&client))?
        .ok_or_else(|| Failure::Failed("no configuration is in force".to_owned()))?;
    if matches.get_flag("json") {
        return output::json(&revision);
    }
    output::text(&with_version_line(&revision))
}

/// Fetches the configuration in force; `None` if there is none.
pub(crate) async fn fetch(client: &Client) -> Result<Option<Revision>, Failure> {
    let answer = client.execute(&ApiRequest::get("/operator/config")).await?;
    if answer.status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    if !answer.status.is_success() {
        return Err(answer.failure());
    }
    serde_json::from_slice(&answer.body)
        .map(Some)
        .map_err(|error| Failure::Failed(format!("{}: {error}", answer.router)))
}

/// Returns the version that the first line of a file states.
pub(crate) fn stated_version(text: &str) -> Option<u64> {
    text.lines().next()?.strip_prefix(VERSION_PREFIX)?.trim().parse().ok()
}

fn with_version_line(revision: &Revision) -> String {
    let text = match stated_version(&revision.text) {
        Some(_) => revision.text.split_once('\n').map_or("", |(_, rest)| rest),
        None => &revision.text,
    };
    format!("{VERSION_PREFIX}{}\n{text}", revision.version)
}
