//! Removal of comments that keeps the offsets of all other bytes, and conversion between offsets and positions.

use std::io::Read;

use json_comments::StripComments;

/// A comment or string that is malformed or unterminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SyntaxError {
    /// The offset at which it starts.
    pub(crate) offset: usize,
    /// A description of what is allowed there.
    pub(crate) allowed: &'static str,
}

/// Replaces comments with blanks.
///
/// # Errors
/// Returns the first comment or string that is malformed or unterminated.
pub(crate) fn comments(text: &str) -> Result<String, SyntaxError> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut stripped = StripComments::new(text.as_bytes());
    if stripped.read_to_end(&mut bytes).is_err() {
        return Err(locate_error(text));
    }
    restore_line_breaks(text, &mut bytes);
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Restores the line breaks within comments, since positions count lines.
fn restore_line_breaks(text: &str, bytes: &mut [u8]) {
    for (byte, original) in bytes.iter_mut().zip(text.bytes()) {
        if original == b'\n' {
            *byte = original;
        }
    }
}

/// Finds the comment or string at which the removal of comments failed.
fn locate_error(text: &str) -> SyntaxError {
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
        let Some(end) = end else { return SyntaxError { offset, allowed } };
        at = offset + end;
    }
    SyntaxError { offset: text.len(), allowed: "JSON" }
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

/// Returns the line and column, both from 1, of the character at a byte offset.
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

/// Returns the byte offset of a line and a column, both from 1; the column counts bytes.
pub(crate) fn offset(text: &str, line: usize, column: usize) -> usize {
    let skipped = line.saturating_sub(1);
    let line_start: usize = text.split_inclusive('\n').take(skipped).map(str::len).sum();
    (line_start + column.saturating_sub(1)).min(text.len())
}
