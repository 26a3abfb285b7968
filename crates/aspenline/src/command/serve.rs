//! `serve`: runs a router.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use conf::Settings;
use conf::settings::Level;
use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::console::Target;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Root;
use log4rs::encode::pattern::PatternEncoder;

use crate::failure::Failure;
use crate::input;
use crate::keys;

/// The pattern of a log line.
const LOG_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";
/// The name of the appender.
const APPENDER: &str = "stderr";

/// Returns the command.
pub(crate) fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .help("The settings file, or - for standard input");
    Command::new("serve")
        .about("Runs a router until it is told to terminate")
        .after_help(
            "Writes one JSON line with its addresses to standard output when it is ready, and logs to\n\
             standard error. On SIGTERM it leaves the fleet and cuts no call.\n\n\
             Examples:\n  aspenline serve --settings settings.json\n  \
             generate-settings | aspenline serve --settings -",
        )
        .arg(settings)
}

/// Runs the command.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let path = matches.get_one::<String>("settings").expect("clap requires the settings");
    let input = input::read(path)?;
    let mut settings = Settings::parse(&input.text).map_err(|report| {
        Failure::Invalid(format!("{}: {}", input.name, report.current_context()))
    })?;
    keys::load(&mut settings, &input.directory)
        .map_err(|failure| Failure::Invalid(format!("{}: {failure}", input.name)))?;
    init_logging(settings.log_level)?;
    node::run(settings).map_err(|report| Failure::Failed(format!("{report:#}")))
}

fn init_logging(level: Level) -> Result<(), Failure> {
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(LOG_PATTERN)))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(console)))
        .build(Root::builder().appender(APPENDER).build(filter(level)))
        .map_err(|error| Failure::Failed(format!("can't set up the log: {error}")))?;
    log4rs::init_config(config)
        .map(|_| ())
        .map_err(|error| Failure::Failed(format!("can't set up the log: {error}")))
}

const fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
        Level::Trace => LevelFilter::Trace,
    }
}
