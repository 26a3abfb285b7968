//! A parser for server-sent events.

/// One server-sent event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Event {
    /// The type, empty for the default type.
    pub(crate) kind: String,
    /// The data.
    pub(crate) data: String,
}

/// An incremental parser of an event stream.
#[derive(Debug, Default)]
pub(crate) struct Parser {
    pending: Vec<u8>,
    event: Event,
}

impl Parser {
    /// Parses further bytes and returns the events that they complete.
    pub(crate) fn feed(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line).trim_end().to_owned();
            events.extend(self.parse_line(&line));
        }
        events
    }

    fn parse_line(&mut self, line: &str) -> Option<Event> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            return (event != Event::default()).then_some(event);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => value.clone_into(&mut self.event.kind),
            "data" => self.event.data.push_str(value),
            _ => {}
        }
        None
    }
}
