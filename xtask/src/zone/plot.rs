//! Draws the figures of a measurement as SVG.

use std::fmt::Write;

use super::report::Report;
use super::step::Step;
use crate::measure::cost;

/// Width of the plot, in pixels.
const PLOT_WIDTH: f64 = 900.0;
/// Margin to the left of the panels for their titles, in pixels.
const LEFT_MARGIN: f64 = 190.0;
/// Margin to the right of the panels, in pixels.
const RIGHT_MARGIN: f64 = 20.0;
/// Margin above the panels for the label of the zone, in pixels.
const TOP_MARGIN: f64 = 40.0;
/// Height of a panel, in pixels.
const PANEL_HEIGHT: f64 = 90.0;
/// Distance between two panels, in pixels.
const PANEL_GAP: f64 = 26.0;
/// Smallest upper end of a panel's scale, which avoids a division by zero for a series of zeros.
const MIN_SCALE: f64 = 1e-9;

/// A panel of the plot: one value over time.
struct Panel {
    title: &'static str,
    value: fn(&Step) -> f64,
}

/// The panels, from top to bottom.
const PANELS: [Panel; 6] = [
    Panel { title: "answered calls/s", value: |step| cost::usize_as_f64(step.endings.answered) },
    Panel {
        title: "refused calls/s, not-run",
        value: |step| cost::usize_as_f64(step.endings.not_run),
    },
    Panel { title: "first token p95, ms", value: |step| step.first_token_ms },
    Panel { title: "gap of the pair, tokens/weight/s", value: |step| step.gap_tokens.abs() },
    Panel { title: "used slots, other zones", value: |step| step.utilisation },
    Panel { title: "started in the zone/s", value: |step| cost::usize_as_f64(step.zone_starts) },
];

/// Returns the plot as SVG.
pub(super) fn draw(report: &Report) -> String {
    let height = TOP_MARGIN + (PANEL_HEIGHT + PANEL_GAP) * cost::usize_as_f64(PANELS.len());
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {PLOT_WIDTH} {height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    let from = x_position(report, report.out_of_service.start.as_secs_f64());
    let to = x_position(report, report.out_of_service.end.as_secs_f64());
    let width = to - from;
    let _ = writeln!(
        svg,
        "<rect x=\"{from:.1}\" y=\"{TOP_MARGIN}\" width=\"{width:.1}\" height=\"{:.1}\" fill=\"#eeeeee\"/>\n\
         <text x=\"{from:.1}\" y=\"{:.1}\">the zone is out</text>",
        height - TOP_MARGIN - PANEL_GAP,
        TOP_MARGIN - 8.0
    );
    for (index, panel) in PANELS.iter().enumerate() {
        let top = TOP_MARGIN + (PANEL_HEIGHT + PANEL_GAP) * cost::usize_as_f64(index);
        draw_panel(&mut svg, report, panel, top);
    }
    svg.push_str("</svg>\n");
    svg
}

fn draw_panel(svg: &mut String, report: &Report, panel: &Panel, top: f64) {
    let largest = report.steps.iter().map(panel.value).fold(MIN_SCALE, f64::max);
    let bottom = top + PANEL_HEIGHT;
    let points = report.steps.iter().map(|step| {
        let y = bottom - (panel.value)(step) / largest * PANEL_HEIGHT;
        format!("{:.1},{y:.1}", x_position(report, cost::u64_as_f64(step.second) + 0.5))
    });
    let points: Vec<String> = points.collect();
    let _ = writeln!(
        svg,
        "<line x1=\"{LEFT_MARGIN}\" y1=\"{bottom}\" x2=\"{}\" y2=\"{bottom}\" stroke=\"#999999\"/>\n\
         <text x=\"8\" y=\"{:.1}\">{}</text>\n\
         <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{largest:.1}</text>\n\
         <polyline fill=\"none\" stroke=\"#225588\" stroke-width=\"1.5\" points=\"{}\"/>",
        PLOT_WIDTH - RIGHT_MARGIN,
        top + PANEL_HEIGHT / 2.0,
        panel.title,
        LEFT_MARGIN - 4.0,
        top + 10.0,
        points.join(" ")
    );
}

/// Returns the horizontal position of a time in seconds.
fn x_position(report: &Report, second: f64) -> f64 {
    LEFT_MARGIN
        + (PLOT_WIDTH - LEFT_MARGIN - RIGHT_MARGIN) * second
            / cost::u64_as_f64(report.seconds.max(1))
}
