//! `check`: validates a settings or configuration file without a router.

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use conf::Configuration;
use conf::Error;
use conf::Settings;
use strum::VariantNames;

use crate::failure::Failure;
use crate::input;
use crate::input::Input;
use crate::keys;
use crate::output;

/// The kind of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
enum Kind {
    /// Settings of a router that `serve` runs.
    Settings,
    /// A configuration of the fleet.
    Configuration,
    /// Settings of a router on the platform, which `platform` runs.
    Platform,
}

/// Returns the command.
pub(crate) fn command() -> Command {
    let file = Arg::new("file").value_name("FILE").required(true).help("The file, or - for input");
    let kind = Arg::new("kind")
        .long("kind")
        .value_name("KIND")
        .value_parser(Kind::VARIANTS.to_vec())
        .help("What the file is [default: told by its content]");
    let keys = Arg::new("keys")
        .long("keys")
        .action(ArgAction::SetTrue)
        .help("Reads the key files of settings as well and checks that they can be used");
    Command::new("check")
        .about("Checks a settings or configuration file")
        .after_help(
            "Prints all faults with line, column, field, what was found and what is allowed.\n\n\
             Examples:\n  aspenline check settings.json --keys\n  \
             aspenline check fleet.json --kind configuration\n  \
             aspenline check router.json --kind platform",
        )
        .arg(file)
        .arg(kind)
        .arg(keys)
}

/// Runs the command.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let input = input::read(matches.get_one::<String>("file").expect("clap requires the file"))?;
    let given = matches.get_one::<String>("kind").and_then(|kind| kind.parse().ok());
    let kind = given.map_or_else(|| detect_kind(&input), Ok)?;
    match kind {
        Kind::Settings => {
            let mut settings = Settings::parse(&input.text)
                .map_err(|report| invalid(&input, report.current_context()))?;
            if matches.get_flag("keys") {
                keys::load(&mut settings, &input.directory)
                    .map_err(|failure| Failure::Invalid(format!("{}: {failure}", input.name)))?;
            }
        }
        Kind::Platform => {
            platform::Settings::parse(&input.text).map_err(|report| {
                Failure::Invalid(format!("{}: {}", input.name, report.current_context()))
            })?;
        }
        Kind::Configuration => {
            Configuration::parse(&input.text)
                .map_err(|report| invalid(&input, report.current_context()))?;
        }
    }
    output::text(&format!("{}: valid {kind}", input.name))
}

/// Returns the kind for which the file has fewer faults, or fails if both kinds have the same faults.
fn detect_kind(input: &Input) -> Result<Kind, Failure> {
    if platform::Settings::parse(&input.text).is_ok() {
        return Ok(Kind::Platform);
    }
    let Err(settings) = Settings::parse(&input.text) else { return Ok(Kind::Settings) };
    let Err(configuration) = Configuration::parse(&input.text) else {
        return Ok(Kind::Configuration);
    };
    let [settings, configuration] =
        [settings, configuration].map(|report| report.current_context().faults().to_vec());
    if settings == configuration {
        let faults: Vec<String> = settings.iter().map(ToString::to_string).collect();
        return Err(Failure::Invalid(format!("{}: {}", input.name, faults.join("\n  "))));
    }
    let is_settings = settings.len() < configuration.len();
    Ok(if is_settings { Kind::Settings } else { Kind::Configuration })
}

fn invalid(input: &Input, error: &Error) -> Failure {
    Failure::Invalid(format!("{}: {error}", input.name))
}
