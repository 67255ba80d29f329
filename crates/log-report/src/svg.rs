//! Plots the counts over time.

use crate::timeline::{Timeline, TimelineBucket};
use derive_more::{Display, Error};
use plotters::prelude::*;

/// The width and height in pixels, which fit on a screen.
const SIZE: (u32, u32) = (960, 360);
/// The number of milliseconds in a second: times are in milliseconds, rates are per second.
const MS_PER_S: f64 = 1_000.0;

/// The error for a plot that can't be drawn.
#[derive(Clone, Debug, Display, Error)]
#[display("the picture can't be drawn: {what}")]
pub struct PlotError {
    what: String,
}

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for PlotError {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        Self {
            what: error.to_string(),
        }
    }
}

type Series = (&'static str, RGBColor, fn(&crate::OutcomeCounts) -> u64);

/// The plotted series, with their names and colours.
const SERIES: [Series; 4] = [
    ("served (estimate)", RGBColor(60, 150, 80), |counts| {
        counts.served_estimate
    }),
    ("refused", RGBColor(70, 120, 180), |counts| counts.refused),
    ("failed attempts", RGBColor(200, 60, 50), |counts| {
        counts.failed_attempts
    }),
    ("streams broken off", RGBColor(150, 90, 170), |counts| {
        counts.broken_off
    }),
];

/// Draws the requests per second over the time since the first line.
///
/// # Errors
/// [`PlotError`] if the plot can't be drawn.
pub fn timeline_svg(timeline: &Timeline) -> Result<String, PlotError> {
    let buckets: Vec<TimelineBucket> = timeline.buckets().collect();
    let first_ms = buckets.first().map_or(0, |bucket| bucket.from_ms);
    let second_of = |from_ms: u64| (from_ms - first_ms) as f64 / MS_PER_S;
    let width_s = timeline.width_ms() as f64 / MS_PER_S;
    let last_s = buckets.last().map_or(0.0, |last| second_of(last.from_ms)) + width_s;
    let rate = |count: u64| count as f64 / width_s;
    let counts = buckets.iter().flat_map(|bucket| {
        let count = move |series: &Series| (series.2)(&bucket.counts);
        SERIES.iter().map(count)
    });
    // A log without requests gives an empty plot.
    let top = rate(counts.max().unwrap_or(0)).max(1.0) * 1.05;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("requests a second", ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..last_s, 0.0..top)?;
        chart.configure_mesh().x_desc("seconds").draw()?;
        for (name, colour, count) in SERIES {
            let point =
                |bucket: &TimelineBucket| (second_of(bucket.from_ms), rate(count(&bucket.counts)));
            let points: Vec<(f64, f64)> = buckets.iter().map(point).collect();
            chart
                .draw_series([PathElement::new(points, colour.stroke_width(2))])?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}
