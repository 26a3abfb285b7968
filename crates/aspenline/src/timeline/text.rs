//! Rendering of the timeline as a text table.

use base::Event;

use crate::table::Table;
use crate::timeline::Row;

/// Milliseconds in a day.
const DAY_MS: u64 = 86_400_000;

/// Renders events as a table with one row for each event.
pub(crate) fn render(events: &[Event]) -> String {
    let heading = ["TIME", "PROCESS", "KIND", "REQUEST", "WORKSPACE", "RUNNER", "DETAIL"];
    let mut table = Table::new(&heading);
    for event in events {
        let row = Row::from(event);
        let or_dash = |field: Option<String>| field.unwrap_or_else(|| "-".to_owned());
        table.push(vec![
            time_of_day(row.at_ms),
            row.process,
            row.kind,
            or_dash(row.request),
            or_dash(row.workspace),
            or_dash(row.runner),
            row.detail,
        ]);
    }
    table.render()
}

/// Formats the time of day in UTC.
pub(crate) fn time_of_day(at_ms: u64) -> String {
    let of_day = at_ms % DAY_MS;
    let (hours, minutes) = (of_day / 3_600_000, of_day / 60_000 % 60);
    let (seconds, millis) = (of_day / 1_000 % 60, of_day % 1_000);
    format!("{hours:02}:{minutes:02}:{seconds:02}.{millis:03}")
}
