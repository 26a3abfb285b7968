//! The parts of the server-sent events format that forwarding needs: where events end, and their ids.

/// The length of the longest end of an event that is followed by another event.
pub(crate) const TAIL_BYTES: usize = 3;

/// Returns the length of all complete events at the start of `bytes`.
pub(crate) fn complete_length(bytes: &[u8]) -> usize {
    let mut end = bytes.len();
    while let Some(line) = bytes[..end].iter().rposition(|byte| *byte == b'\n') {
        if ends_event(&bytes[..line]) {
            return line + 1;
        }
        end = line;
    }
    0
}

/// Returns the length of the leading events of a stream among complete blocks of lines.
///
/// A block is an event if each line is a field and one is an id, which rises from event to event and from that of the
/// `last` event on; or if all lines are comments. Any other block is no part of a stream.
pub(crate) fn events_length(blocks: &[u8], last: Option<&str>) -> usize {
    let mut last = last.and_then(|last| last.parse::<u64>().ok());
    let (mut length, mut position) = (0, 0);
    let (mut has_field, mut has_id) = (false, false);
    for line in blocks.split_inclusive(|byte| *byte == b'\n') {
        position += line.len();
        let text = line.strip_suffix(b"\n").unwrap_or(line);
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        if text.is_empty() {
            if has_field && !has_id {
                return length;
            }
            length = position;
            (has_field, has_id) = (false, false);
        } else if !is_field(text) {
            return length;
        } else if let Some(id) = text.strip_prefix(b"id:") {
            let number = std::str::from_utf8(id).ok().and_then(|id| id.trim().parse().ok());
            if number.is_some() && number <= last {
                return length;
            }
            last = number.or(last);
            (has_field, has_id) = (true, true);
        } else {
            has_field |= !text.starts_with(b":");
        }
    }
    length
}

/// Returns whether a line is a name of lowercase letters and a colon, or a comment, which has no name.
fn is_field(line: &[u8]) -> bool {
    let is_name = |byte: &&u8| byte.is_ascii_lowercase() || **byte == b'-';
    let name = line.iter().take_while(is_name).count();
    line.get(name) == Some(&b':')
}

/// Returns the id of the last event that has one.
pub(crate) fn last_id(bytes: &[u8]) -> Option<&str> {
    let lines = bytes.rsplit(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok().map(str::trim)
}

/// Counts events by their lines with an id; an event without an id is not counted.
pub(crate) fn count_events(bytes: &[u8]) -> u32 {
    let lines = bytes.split(|byte| *byte == b'\n');
    lines.fold(0, |events, line| events + u32::from(line.starts_with(b"id:")))
}

/// Returns whether a line break after `bytes` ends an event.
fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n") || bytes.ends_with(b"\n\r")
}
