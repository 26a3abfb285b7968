//! Writing to standard output, which a reader may close early.

use std::io;
use std::io::ErrorKind;
use std::io::Write;

use serde::Serialize;

use crate::failure::Failure;

/// Writes a text, followed by a line break unless the text is empty or ends with one.
pub(crate) fn text(text: &str) -> Result<(), Failure> {
    let end = if text.is_empty() || text.ends_with('\n') { "" } else { "\n" };
    let mut output = io::stdout().lock();
    let written = output.write_all(text.as_bytes()).and_then(|()| output.write_all(end.as_bytes()));
    match written.and_then(|()| output.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            Err(Failure::Failed(format!("can't write to standard output: {error}")))
        }
        _ => Ok(()),
    }
}

/// Writes a value as indented JSON.
pub(crate) fn json(value: &impl Serialize) -> Result<(), Failure> {
    let written = serde_json::to_string_pretty(value);
    text(&written.map_err(|error| Failure::Failed(format!("can't write JSON: {error}")))?)
}
