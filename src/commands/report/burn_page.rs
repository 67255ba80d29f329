//! The burn report as one HTML page with embedded plots.

use crate::modules::serve::operators::queries::OperatorAnswer;
use crate::modules::serve::operators::row::{Row, without_histograms};
use plotters::prelude::*;
use serde_json::Value;

/// The size of a plot in pixels: two plots and a table fit on a screen.
const PLOT: (u32, u32) = (760, 280);

const STYLE: &str = "body{font-family:sans-serif;margin:2em;color:#222}\
table{border-collapse:collapse;font-size:13px}td,th{padding:4px 10px;border-bottom:1px solid #ddd;\
text-align:right}td:first-child,th:first-child{text-align:left}.part{color:#a00}h2{margin-top:1.6em}";

/// Returns the HTML page for an answer to `show burn`.
pub(super) fn page(answer: &OperatorAnswer) -> String {
    let rows = without_histograms(&answer.rows);
    let mut body = String::from("<h1>Service levels</h1>");
    if !answer.missing.is_empty() {
        let names: Vec<&str> = answer.missing.iter().map(|vm| vm.as_str()).collect();
        let names = escape(&names.join(", "));
        body.push_str(&format!(
            "<p class=part>Incomplete: no answer from {names}.</p>"
        ));
    }
    let mut windows: Vec<u64> = rows
        .iter()
        .map(|row| number(row, "window_ms") as u64)
        .collect();
    windows.sort_unstable();
    windows.dedup();
    for window_ms in windows {
        let window_rows: Vec<Row> = rows
            .iter()
            .filter(|row| number(row, "window_ms") as u64 == window_ms)
            .cloned()
            .collect();
        let minutes = window_ms / 60_000;
        body.push_str(&format!("<h2>Last {minutes} minutes</h2>"));
        body.push_str(&plot(&window_rows, "attainment", 1.0, Some("objective")));
        body.push_str(&plot(&window_rows, "burn", 1.0, None));
        body.push_str(&table(&window_rows));
    }
    format!(
        "<!doctype html><html lang=en><head><meta charset=utf-8><title>Service levels</title>\
         <style>{STYLE}</style></head><body>{body}</body></html>"
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn number(row: &Row, field: &str) -> f64 {
    // A missing field is drawn as 0.
    row.get(field).and_then(Value::as_f64).unwrap_or(0.0)
}

fn table(rows: &[Row]) -> String {
    let Some(first) = rows.first() else {
        return String::new();
    };
    let head: String = first
        .fields
        .iter()
        .map(|field| format!("<th>{}</th>", escape(&field.name)))
        .collect();
    let cell = |value: &Value| match value {
        Value::String(text) => escape(text),
        Value::Null => "–".into(),
        Value::Number(number) if number.is_f64() => {
            // Every JSON number that a daemon sends fits in an f64.
            format!("{:.3}", number.as_f64().unwrap_or(0.0))
        }
        other => other.to_string(),
    };
    let line = |row: &Row| -> String {
        let cells: String = row
            .fields
            .iter()
            .map(|field| format!("<td>{}</td>", cell(&field.value)))
            .collect();
        format!("<tr>{cells}</tr>")
    };
    let lines: String = rows.iter().map(line).collect();
    format!("<table><tr>{head}</tr>{lines}</table>")
}

/// Draws one field as a bar per class, with an optional second field as marks. Returns an empty
/// text if it can't be drawn.
fn plot(rows: &[Row], field: &str, min_top: f64, mark: Option<&str>) -> String {
    let mut svg = String::new();
    match draw(&mut svg, rows, field, min_top, mark) {
        Ok(()) => svg,
        Err(_) => String::new(),
    }
}

/// The error for a plot that can't be drawn.
#[derive(Clone, Copy, Debug)]
struct DrawError;

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for DrawError {
    fn from(_: DrawingAreaErrorKind<E>) -> Self {
        Self
    }
}

fn draw(
    svg: &mut String,
    rows: &[Row],
    field: &str,
    min_top: f64,
    mark: Option<&str>,
) -> Result<(), DrawError> {
    let names: Vec<String> = rows
        .iter()
        .map(|row| {
            row.get("class")
                .and_then(Value::as_str)
                // A row without a class gets an empty label.
                .unwrap_or("")
                .to_owned()
        })
        .collect();
    let values: Vec<f64> = rows.iter().map(|row| number(row, field)).collect();
    let top = values.iter().copied().fold(min_top, f64::max) * 1.05;
    let area = SVGBackend::with_string(svg, PLOT).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(field, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(44)
        .build_cartesian_2d((0..names.len()).into_segmented(), 0.0..top)?;
    let label = |at: &SegmentValue<usize>| match at {
        // Ticks beyond the last class have no label.
        SegmentValue::CenterOf(at) => names.get(*at).cloned().unwrap_or_default(),
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(names.len())
        .x_label_formatter(&label)
        .draw()?;
    let bars = values.iter().enumerate().map(|(at, value)| {
        let corners = [
            (SegmentValue::Exact(at), 0.0),
            (SegmentValue::Exact(at + 1), *value),
        ];
        let mut bar = Rectangle::new(corners, RGBColor(70, 120, 180).filled());
        bar.set_margin(0, 0, 24, 24);
        bar
    });
    chart.draw_series(bars)?;
    if let Some(mark) = mark {
        let marks = rows.iter().enumerate().map(|(at, row)| {
            let value = number(row, mark);
            let ends = [
                (SegmentValue::Exact(at), value),
                (SegmentValue::Exact(at + 1), value),
            ];
            PathElement::new(ends, RED.stroke_width(2))
        });
        chart.draw_series(marks)?;
    }
    area.present()?;
    Ok(())
}
