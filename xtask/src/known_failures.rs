//! Tests that are known to fail, listed in `KNOWN-RED.txt` at the root.

use std::fs;

/// Path of the list, relative to the root of the workspace.
const LIST_PATH: &str = "KNOWN-RED.txt";

/// Returns the entries of the list, one a line, without comments; a missing file is an empty list.
pub(crate) fn entries() -> Vec<String> {
    let text = fs::read_to_string(LIST_PATH).unwrap_or_default();
    let lines = text.lines().map(str::trim);
    lines.filter(|line| !line.is_empty() && !line.starts_with('#')).map(str::to_owned).collect()
}

/// Returns the name of the test in an entry: the text before the first `|`.
pub(crate) fn test_name(entry: &str) -> &str {
    entry.split('|').next().unwrap_or_default().trim()
}
