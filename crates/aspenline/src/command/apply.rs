//! `apply`: publishes a configuration.

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use conf::Configuration;
use serde_json::Value;
use serde_json::json;

use crate::command::config;
use crate::failure::Failure;
use crate::input;
use crate::operator;
use crate::operator::ApiRequest;
use crate::operator::Client;
use crate::output;

/// Returns the command.
pub(crate) fn command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .required(true)
        .help("The configuration file, or - for standard input");
    let base = Arg::new("base")
        .long("base")
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
        .help("The version that the file is based on [default: told by its first line, or the version in force]");
    let json = Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints JSON");
    let command = Command::new("apply")
        .about("Brings a configuration into force in the whole fleet")
        .after_help(
            "The file is checked first. If another operator's configuration came into force after the\n\
             version that the file is based on, nothing changes and the exit code is 3.\n\n\
             Examples:\n  aspenline config show --router 192.0.2.11:8000 > fleet.json\n  \
             aspenline apply fleet.json --router 192.0.2.11:8000",
        )
        .arg(file)
        .arg(base)
        .arg(json);
    operator::options(command)
}

/// Runs the command.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let input = input::read(matches.get_one::<String>("file").expect("clap requires the file"))?;
    Configuration::parse(&input.text).map_err(|report| {
        Failure::Invalid(format!("{}: {}", input.name, report.current_context()))
    })?;
    let client = Client::from_matches(matches)?;
    let given = matches.get_one::<u64>("base").copied();
    let version = operator::runtime()?.block_on(publish(&client, given, &input.text))?;
    if matches.get_flag("json") {
        return output::json(&json!({ "version": version }));
    }
    output::text(&format!("configuration {version} is in force"))
}

async fn publish(client: &Client, base: Option<u64>, text: &str) -> Result<u64, Failure> {
    let base = match base.or_else(|| config::stated_version(text)) {
        Some(base) => base,
        None => config::fetch(client).await?.map_or(0, |revision| revision.version),
    };
    let request = ApiRequest::post("/operator/config", &json!({ "base": base, "text": text }));
    let answer = client.execute_checked(&request).await?.json()?;
    let version = answer.get("version").and_then(Value::as_u64);
    version.ok_or_else(|| Failure::Failed("the router's answer has no version".to_owned()))
}
