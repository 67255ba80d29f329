//! A plot (SVG) of served, refused and failed calls over time, with the faults' durations.

use crate::history::{CallEnd, History, RecordedCall};
use crate::plan::Plan;
use derive_more::{Display, Error};
use plotters::prelude::*;
use std::path::Path;
use std::time::Duration;

/// The plot can't be drawn; `cause` is the drawing library's message.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("can't draw the plot: {cause}")]
pub struct PlotError {
    cause: String,
}

impl PlotError {
    fn of(error: impl std::error::Error) -> Self {
        Self {
            cause: error.to_string(),
        }
    }
}

const SIZE: (u32, u32) = (1_000, 420);
const BUCKET: Duration = Duration::from_millis(500);

fn is_served(call: &RecordedCall) -> bool {
    matches!(call.end, CallEnd::Answered { status: 200, .. })
}

/// Returns whether the call was refused with a status that says so (401 or 503).
fn is_refused(call: &RecordedCall) -> bool {
    matches!(
        call.end,
        CallEnd::Answered {
            status: 401 | 503,
            ..
        }
    )
}

fn is_failed(call: &RecordedCall) -> bool {
    !is_served(call) && !is_refused(call)
}

/// Selects the calls of one line of the plot.
type CallFilter = fn(&RecordedCall) -> bool;

/// Counts the selected calls per half second.
fn series(history: &History, duration: Duration, kind: CallFilter) -> Vec<(f64, u32)> {
    let buckets = (duration.as_millis() / BUCKET.as_millis()) as usize + 1;
    let mut counts = vec![0; buckets];
    for call in history.calls.iter().filter(|call| kind(call)) {
        let at = (call.sent_at.as_millis() / BUCKET.as_millis()) as usize;
        counts[at.min(buckets - 1)] += 1;
    }
    let second = |at: usize| at as f64 * BUCKET.as_secs_f64();
    let counts = counts.into_iter().enumerate();
    counts.map(|(at, count)| (second(at), count)).collect()
}

/// Draws the plot into the file at `path`.
///
/// # Errors
/// [`PlotError`] if the plot can't be drawn or written.
pub(crate) fn draw(
    path: &Path,
    plan: &Plan,
    history: &History,
    duration: Duration,
) -> Result<(), PlotError> {
    let kinds: [(&str, CallFilter, RGBColor); 3] = [
        ("served", is_served, GREEN),
        ("refused", is_refused, BLUE),
        ("failed", is_failed, RED),
    ];
    let lines = kinds.map(|(name, kind, colour)| (name, series(history, duration, kind), colour));
    let counts = lines.iter().flat_map(|(_, line, _)| line);
    let most = counts.map(|(_, count)| *count).max().unwrap_or(0).max(1);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(PlotError::of)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..duration.as_secs_f64(), 0..most)
        .map_err(PlotError::of)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("calls per half second")
        .draw()
        .map_err(PlotError::of)?;
    for event in &plan.events {
        let at = event.at.as_secs_f64();
        let end = (event.at + event.lasts).as_secs_f64();
        let area = Rectangle::new([(at, 0), (end, most)], BLACK.mix(0.05).filled());
        chart
            .draw_series([area])
            .map_err(PlotError::of)?
            .label(event.fault.to_string());
    }
    for (name, line, colour) in lines {
        chart
            .draw_series([PathElement::new(line, colour)])
            .map_err(PlotError::of)?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(PlotError::of)?;
    root.present().map_err(PlotError::of)
}
