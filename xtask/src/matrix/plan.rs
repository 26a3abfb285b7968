//! Selects the cells to run.

use std::str::FromStr;

use clap::ArgMatches;
use rig::matrix::Cell;
use rig::matrix::Fault;
use rig::matrix::Kind;
use rig::matrix::Step;

/// Returns the cells that the arguments select.
///
/// # Errors
/// Returns a message that names an argument with an unknown value.
pub(super) fn cells(arguments: &ArgMatches) -> Result<Vec<Cell>, String> {
    let seed = arguments.get_one::<u64>("seed").copied().unwrap_or_default();
    let fault: Option<Fault> = parse_argument(arguments, "fault")?;
    let step: Option<Step> = parse_argument(arguments, "step")?;
    let kind: Option<Kind> = parse_argument(arguments, "kind")?;
    let cells = if arguments.get_flag("quick") { Cell::quick(seed) } else { Cell::all(seed) };
    let is_selected = |cell: &Cell| {
        fault.is_none_or(|fault| fault == cell.fault)
            && step.is_none_or(|step| step == cell.step)
            && kind.is_none_or(|kind| kind == cell.kind)
    };
    Ok(cells.into_iter().filter(is_selected).collect())
}

fn parse_argument<T: FromStr>(arguments: &ArgMatches, name: &str) -> Result<Option<T>, String> {
    let Some(text) = arguments.get_one::<String>(name) else { return Ok(None) };
    text.parse().map(Some).map_err(|_| format!("unknown {name} {text:?}"))
}
