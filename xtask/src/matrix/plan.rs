//! Which cells are run.

use std::str::FromStr;

use clap::ArgMatches;
use rig::matrix::Cell;
use rig::matrix::Fault;
use rig::matrix::Kind;
use rig::matrix::Step;

/// Returns the cells that the arguments choose.
///
/// # Errors
/// Returns which argument is wrong.
pub(super) fn cells(arguments: &ArgMatches) -> Result<Vec<Cell>, String> {
    let seed = arguments.get_one::<u64>("seed").copied().unwrap_or_default();
    let fault: Option<Fault> = chosen(arguments, "fault")?;
    let step: Option<Step> = chosen(arguments, "step")?;
    let kind: Option<Kind> = chosen(arguments, "kind")?;
    let cells = if arguments.get_flag("quick") { Cell::quick(seed) } else { Cell::all(seed) };
    let is_chosen = |cell: &Cell| {
        fault.is_none_or(|fault| fault == cell.fault)
            && step.is_none_or(|step| step == cell.step)
            && kind.is_none_or(|kind| kind == cell.kind)
    };
    Ok(cells.into_iter().filter(is_chosen).collect())
}

fn chosen<T: FromStr>(arguments: &ArgMatches, name: &str) -> Result<Option<T>, String> {
    let Some(text) = arguments.get_one::<String>(name) else { return Ok(None) };
    text.parse().map(Some).map_err(|_| format!("{name} {text:?} is not known"))
}
