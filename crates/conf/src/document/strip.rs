//! Removal of comments that leaves every other byte at its place, and positions by line and column.

use std::io::Read;

use json_comments::StripComments;

/// Where a comment or string stands that is wrong or has no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Stop {
    /// The offset at which it begins.
    pub(crate) offset: usize,
    /// What is allowed there.
    pub(crate) allowed: &'static str,
}

/// Replaces comments by blanks.
///
/// # Errors
/// Returns the place of a comment or string that is wrong or has no end.
pub(crate) fn comments(text: &str) -> Result<String, Stop> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut stripped = StripComments::new(text.as_bytes());
    if stripped.read_to_end(&mut bytes).is_err() {
        return Err(stop(text));
    }
    restore_lines(text, &mut bytes);
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Puts back the line breaks within comments, since positions count lines.
fn restore_lines(text: &str, bytes: &mut [u8]) {
    for (byte, original) in bytes.iter_mut().zip(text.bytes()) {
        if original == b'\n' {
            *byte = original;
        }
    }
}

/// Finds the comment or string at which the removal stopped.
fn stop(text: &str) -> Stop {
    let mut at = 0;
    while let Some(found) = text[at..].find(['"', '/', '#']) {
        let offset = at + found;
        let rest = &text[offset..];
        let (end, allowed) = match &rest[..1] {
            "\"" => (string_end(rest), "a string that is closed by `\"`"),
            "#" => (Some(line_end(rest)), ""),
            _ if rest.starts_with("//") => (Some(line_end(rest)), ""),
            _ if rest.starts_with("/*") => (comment_end(rest), "a comment that is closed by `*/`"),
            _ => (None, "JSON, or a comment that starts with `//`, `/*` or `#`"),
        };
        let Some(end) = end else { return Stop { offset, allowed } };
        at = offset + end;
    }
    Stop { offset: text.len(), allowed: "JSON" }
}

fn string_end(text: &str) -> Option<usize> {
    let mut escaped = false;
    let closing = |(_, character): &(usize, char)| {
        let closes = *character == '"' && !escaped;
        escaped = *character == '\\' && !escaped;
        closes
    };
    text.char_indices().skip(1).find(closing).map(|(index, _)| index + 1)
}

fn comment_end(text: &str) -> Option<usize> {
    text[2..].find("*/").map(|index| index + 4)
}

fn line_end(text: &str) -> usize {
    text.find('\n').unwrap_or(text.len())
}

/// Returns line and column, both from 1, of the character at an offset.
pub(crate) fn position(text: &str, offset: usize) -> (usize, usize) {
    let mut end = offset.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    let before = &text[..end];
    let line_start = before.rfind('\n').map_or(0, |index| index + 1);
    let line = before.matches('\n').count() + 1;
    (line, before[line_start..].chars().count() + 1)
}

/// Returns the offset of a position that counts lines from 1 and bytes up to and with the place.
pub(crate) fn offset(text: &str, line: usize, column: usize) -> usize {
    let skipped = line.saturating_sub(1);
    let line_start: usize = text.split_inclusive('\n').take(skipped).map(str::len).sum();
    (line_start + column.saturating_sub(1)).min(text.len())
}
