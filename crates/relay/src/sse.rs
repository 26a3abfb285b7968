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

/// The last bytes of a stream, from which it is known whether the stream ends between two events.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tail {
    bytes: Vec<u8>,
}

impl Tail {
    /// Adds bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        let newest = &bytes[bytes.len().saturating_sub(TAIL_BYTES)..];
        self.bytes.extend_from_slice(newest);
        self.bytes.drain(..self.bytes.len().saturating_sub(TAIL_BYTES));
    }

    /// Returns whether the stream is empty or ends with a complete event.
    pub(crate) fn is_between_events(&self) -> bool {
        let Some((b'\n', before)) = self.bytes.split_last() else { return self.bytes.is_empty() };
        ends_event(before)
    }
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
