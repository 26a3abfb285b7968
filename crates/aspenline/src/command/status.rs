//! `status`: prints what routers know about the fleet.

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use serde_json::Value;

use crate::failure::Failure;
use crate::fleet;
use crate::fleet::field_text;
use crate::operator;
use crate::operator::Answer;
use crate::operator::ApiRequest;
use crate::operator::Client;
use crate::output;
use crate::table::Table;

/// Returns the command.
pub(crate) fn command() -> Command {
    let all = Arg::new("all")
        .long("all")
        .action(ArgAction::SetTrue)
        .help("Asks all routers of the fleet, not only one");
    let json = Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints JSON");
    let command = Command::new("status")
        .about("Shows members, shards, what is out, and what control costs")
        .after_help(
            "Examples:\n  aspenline status --router 192.0.2.11:8000\n  \
             aspenline status --router 192.0.2.11:8000 --all --json",
        )
        .arg(all)
        .arg(json);
    operator::options(command)
}

/// Runs the command.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let client = Client::from_matches(matches)?;
    let runtime = operator::runtime()?;
    let request = ApiRequest::get("/operator/status");
    if !matches.get_flag("all") {
        let status = runtime.block_on(client.execute_checked(&request))?.json()?;
        return match matches.get_flag("json") {
            true => output::json(&status),
            false => output::text(&render(&status)),
        };
    }
    let responses = runtime.block_on(fleet::send_to_all(&client, &request))?;
    let parsed: Result<Vec<Value>, Failure> = responses.answers.iter().map(Answer::json).collect();
    let statuses = parsed?;
    if matches.get_flag("json") {
        output::json(&statuses)?;
    } else {
        let blocks: Vec<String> = statuses.iter().map(render).collect();
        output::text(&blocks.join("\n"))?;
    }
    fleet::check_missing(&responses.missing)
}

/// Formats a status as text; fields that this version does not know are omitted.
fn render(status: &Value) -> String {
    let mut page = format!(
        "router {} in zone {}, configuration {}, log {}\n",
        field_text(status, "router"),
        field_text(status, "zone"),
        field_text(status, "version"),
        log_state(status),
    );
    let out: Vec<String> = items(status, "out").map(unquoted).collect();
    page.push_str(&format!("out: {}\n", if out.is_empty() { "-".into() } else { out.join(", ") }));
    page.push_str(&pairs_line(status, "control"));
    page.push_str(&pairs_line(status, "calls"));
    page.push_str(&pairs_line(status, "refused"));
    push_table(&mut page, &members(status));
    push_table(&mut page, &shards(status));
    push_table(&mut page, &workspaces(status));
    push_table(&mut page, &runners(status));
    page
}

fn push_table(page: &mut String, table: &Table) {
    if table.len() > 0 {
        page.push('\n');
        page.push_str(&table.render());
    }
}

fn log_state(status: &Value) -> &'static str {
    match status.get("log_up").and_then(Value::as_bool) {
        Some(true) => "reachable",
        Some(false) => "UNREACHABLE",
        None => "-",
    }
}

fn members(status: &Value) -> Table {
    let mut table = Table::new(&["MEMBER", "ZONE", "STATE", "CALLERS"]);
    for member in items(status, "members") {
        table.push(cells(member, &["name", "zone", "state", "callers"]));
    }
    table
}

fn shards(status: &Value) -> Table {
    let mut table =
        Table::new(&["SHARD", "TERM", "GATHERING", "GAP", "LARGEST", "BOUND", "UTILISATION"]);
    for shard in items(status, "shards") {
        let mut row = vec![shard_name(shard)];
        row.extend(cells(shard, &["term", "gathering", "gap", "largest_gap", "bound"]));
        let utilisation = shard.get("utilisation").and_then(Value::as_f64);
        row.push(
            utilisation.map_or_else(
                || "-".to_owned(),
                |utilisation| format!("{:.1} %", utilisation * 100.0),
            ),
        );
        table.push(row);
    }
    table
}

fn workspaces(status: &Value) -> Table {
    let fields = ["name", "weight", "charge", "backlog", "running", "granted", "refused"];
    let heading =
        ["SHARD", "WORKSPACE", "WEIGHT", "CHARGE", "BACKLOG", "RUNNING", "GRANTED", "REFUSED"];
    nested(status, "workspaces", &heading, &fields)
}

fn runners(status: &Value) -> Table {
    let heading = ["SHARD", "RUNNER", "STATE", "LIMIT", "RUNNING", "WARM"];
    nested(status, "runners", &heading, &["name", "state", "limit", "running", "warm"])
}

fn nested(status: &Value, list: &str, heading: &[&str], fields: &[&str]) -> Table {
    let mut table = Table::new(heading);
    for shard in items(status, "shards") {
        for entry in items(shard, list) {
            let mut row = vec![shard_name(shard)];
            row.extend(cells(entry, fields));
            table.push(row);
        }
    }
    table
}

/// Returns the name of a shard as `service/region/index`.
fn shard_name(shard: &Value) -> String {
    match shard.get("shard") {
        Some(key) if key.is_object() => cells(key, &["service", "region", "index"]).join("/"),
        _ => field_text(shard, "shard"),
    }
}

/// Formats the fields of an object as one line, or as nothing if the object is missing.
fn pairs_line(status: &Value, field: &str) -> String {
    let Some(object) = status.get(field).and_then(Value::as_object) else { return String::new() };
    let pairs: Vec<String> =
        object.iter().map(|(name, value)| format!("{name} {}", unquoted(value))).collect();
    format!("{field}: {}\n", pairs.join(", "))
}

fn cells(value: &Value, fields: &[&str]) -> Vec<String> {
    fields.iter().map(|field| field_text(value, field)).collect()
}

fn items<'a>(value: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> {
    value.get(field).and_then(Value::as_array).into_iter().flatten()
}

fn unquoted(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
