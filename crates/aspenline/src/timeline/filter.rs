//! Selection of the events of a timeline.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::Event;
use base::Name;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

/// The conditions that an event must meet to be printed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Filter {
    request: Option<String>,
    workspace: Option<String>,
    runner: Option<String>,
    since_ms: u64,
}

/// Adds the filter options to a command.
pub(crate) fn options(command: Command) -> Command {
    let option = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    command
        .arg(option("request", "ID", "Only events of this request; the begin of its id is enough"))
        .arg(option("workspace", "WORKSPACE", "Only events of this workspace"))
        .arg(option("runner", "RUNNER", "Only events of this runner"))
        .arg(
            option("since", "SECONDS", "Only events of the last seconds")
                .value_parser(value_parser!(u64)),
        )
}

impl Filter {
    /// Creates a filter from the options of a command.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        let since = matches.get_one::<u64>("since").copied();
        Self {
            request: text("request").map(|id| id.to_ascii_lowercase()),
            workspace: text("workspace"),
            runner: text("runner"),
            since_ms: since.map_or(0, millis_before_now),
        }
    }

    /// Returns whether an event meets all conditions.
    pub(crate) fn matches(&self, event: &Event) -> bool {
        let request = self.request.as_ref().is_none_or(|wanted| {
            event.request.is_some_and(|request| request.to_string().starts_with(wanted))
        });
        request
            && name_matches(self.workspace.as_deref(), event.workspace.as_ref())
            && name_matches(self.runner.as_deref(), event.runner.as_ref())
            && event.at.millis() >= self.since_ms
    }
}

fn name_matches(wanted: Option<&str>, name: Option<&Name>) -> bool {
    wanted.is_none_or(|wanted| name.is_some_and(|name| name.as_str() == wanted))
}

fn millis_before_now(seconds: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let start = now.saturating_sub(Duration::from_secs(seconds));
    u64::try_from(start.as_millis()).unwrap_or(u64::MAX)
}
