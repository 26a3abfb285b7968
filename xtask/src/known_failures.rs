//! Tests that are known to fail, listed in `KNOWN-RED.txt` at the root.

use std::fs;

/// The list.
const LIST_PATH: &str = "KNOWN-RED.txt";

/// Returns the entries of the list.
pub(crate) fn entries() -> Vec<String> {
    let text = fs::read_to_string(LIST_PATH).unwrap_or_default();
    let lines = text.lines().map(str::trim);
    lines.filter(|line| !line.is_empty() && !line.starts_with('#')).map(str::to_owned).collect()
}

/// Returns the name of the test of an entry.
pub(crate) fn test_name(entry: &str) -> &str {
    entry.split('|').next().unwrap_or_default().trim()
}
