//! Rendering of the timeline as SVG, with a lane for each process and a circle for each event.

use base::Event;
use base::EventKind;
use indexmap::IndexSet;

use crate::timeline::Row;
use crate::timeline::text::time_of_day;

/// The width of the process names to the left of the lanes, in pixels.
const NAME_WIDTH: u64 = 120;
/// The width of the lanes, in pixels.
const LANE_WIDTH: u64 = 1_080;
/// The height of one lane, in pixels.
const LANE_HEIGHT: u64 = 36;
/// The height of the axis, in pixels.
const AXIS_HEIGHT: u64 = 40;
/// The margin to the right, in pixels.
const MARGIN: u64 = 60;
/// The number of intervals on the axis.
const INTERVALS: u64 = 8;
/// The radius of an event's circle, in pixels.
const EVENT_RADIUS: u64 = 5;

/// The range of times that the drawing covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TimeRange {
    start_ms: u64,
    length_ms: u64,
}

impl TimeRange {
    fn of(events: &[Event]) -> Self {
        let times = || events.iter().map(|event| event.at.millis());
        let start_ms = times().min().unwrap_or(0);
        let end_ms = times().max().unwrap_or(0);
        Self { start_ms, length_ms: (end_ms - start_ms).max(1) }
    }

    /// Returns the horizontal position of a time, in pixels.
    const fn x(self, at_ms: u64) -> u64 {
        NAME_WIDTH + (at_ms - self.start_ms) * LANE_WIDTH / self.length_ms
    }
}

/// Renders events, which must be in the order of their stamps.
pub(crate) fn render(events: &[Event]) -> String {
    let lanes: IndexSet<&str> = sorted_processes(events);
    let range = TimeRange::of(events);
    let height = AXIS_HEIGHT + LANE_HEIGHT * lanes.len() as u64;
    let width = NAME_WIDTH + LANE_WIDTH + MARGIN;
    let mut drawing = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {width} {height}\" \
         width=\"{width}\" height=\"{height}\" font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"{width}\" height=\"{height}\" fill=\"white\"/>\n"
    );
    draw_axis(&mut drawing, range, height);
    for (index, process) in lanes.iter().enumerate() {
        draw_lane(&mut drawing, index as u64, process);
    }
    for event in events {
        let index = lanes.get_index_of(event.process.as_str()).unwrap_or(0);
        draw_event(&mut drawing, range, index as u64, event);
    }
    drawing.push_str("</svg>\n");
    drawing
}

fn sorted_processes(events: &[Event]) -> IndexSet<&str> {
    let mut processes: IndexSet<&str> = events.iter().map(|event| event.process.as_str()).collect();
    processes.sort();
    processes
}

fn draw_axis(drawing: &mut String, range: TimeRange, height: u64) {
    for interval in 0..=INTERVALS {
        let at_ms = range.start_ms + range.length_ms * interval / INTERVALS;
        let x = range.x(at_ms);
        let label = time_of_day(at_ms);
        drawing.push_str(&format!(
            "<line x1=\"{x}\" y1=\"22\" x2=\"{x}\" y2=\"{height}\" stroke=\"#ddd\"/>\
             <text x=\"{x}\" y=\"16\" text-anchor=\"middle\">{label}</text>\n"
        ));
    }
}

fn draw_lane(drawing: &mut String, index: u64, process: &str) {
    let y = lane_centre(index);
    let end = NAME_WIDTH + LANE_WIDTH;
    drawing.push_str(&format!(
        "<text x=\"8\" y=\"{}\">{}</text>\
         <line x1=\"{NAME_WIDTH}\" y1=\"{y}\" x2=\"{end}\" y2=\"{y}\" stroke=\"#999\"/>\n",
        y + 4,
        escape(process),
    ));
}

fn draw_event(drawing: &mut String, range: TimeRange, index: u64, event: &Event) {
    let row = Row::from(event);
    let (x, y) = (range.x(row.at_ms), lane_centre(index));
    let parts = [row.request, row.workspace, row.runner, Some(row.detail)];
    let parts: Vec<String> = parts.into_iter().flatten().filter(|part| !part.is_empty()).collect();
    let title = format!("{} {} {}", time_of_day(row.at_ms), row.kind, parts.join(" "));
    drawing.push_str(&format!(
        "<circle cx=\"{x}\" cy=\"{y}\" r=\"{EVENT_RADIUS}\" fill=\"{}\" fill-opacity=\"0.8\">\
         <title>{}</title></circle>\n",
        colour(event.kind),
        escape(title.trim_end()),
    ));
}

const fn lane_centre(index: u64) -> u64 {
    AXIS_HEIGHT + LANE_HEIGHT * index + LANE_HEIGHT / 2
}

const fn colour(kind: EventKind) -> &'static str {
    match kind {
        EventKind::Accepted | EventKind::Queued => "#888888",
        EventKind::Granted | EventKind::Claimed | EventKind::Sent => "#1f77b4",
        EventKind::FirstByte | EventKind::Finished | EventKind::Recorded => "#2ca02c",
        EventKind::Refused | EventKind::Cancelled => "#d62728",
        EventKind::Retried | EventKind::Resumed => "#ff7f0e",
        EventKind::Member | EventKind::Dispatcher | EventKind::Runner => "#9467bd",
        EventKind::Config | EventKind::Placement | EventKind::Log | EventKind::Process => "#8c564b",
    }
}

/// Escapes a text for XML and replaces characters that XML does not allow.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\t' | '\n' | '\r' => escaped.push(' '),
            '\0'..='\u{1f}' | '\u{fffe}' | '\u{ffff}' => escaped.push('\u{fffd}'),
            _ => escaped.push(character),
        }
    }
    escaped
}
