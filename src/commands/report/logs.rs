//! `bridgevane report logs`: counts the outcomes of requests by reason, endpoint and time.

use crate::commands::report::log_files::{LogFileError, read_all, unread_text};
use crate::commands::{exit, print_line};
use argh::FromArgs;
use bridgevane_log_report::{Dimension, ReadCounts, Summary, SummaryRow, timeline_svg};
use comfy_table::{Table, presets};
use serde_json::json;
use std::path::PathBuf;

/// Summarise gateways' logs: refusals, failures, retries, resumed streams and queues by reason,
/// route, customer, endpoint, data centre, VM and second. Lines may be mixed, cut or prefixed;
/// lines that can't be read are counted.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "logs")]
pub struct LogsArguments {
    /// log files of one or more daemons; - is standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// print JSON, including every second
    #[argh(switch)]
    json: bool,
    /// draw requests over time into this file
    #[argh(option)]
    svg: Option<PathBuf>,
    /// number of rows per table (default: 10)
    #[argh(option, default = "10")]
    rows: usize,
}

/// Runs the command and returns the exit code.
pub(super) fn run(arguments: &LogsArguments) -> u8 {
    if arguments.files.is_empty() {
        eprintln!("no log files given; - is standard input");
        return exit::USAGE;
    }
    let (summary, read) = match summarize(&arguments.files) {
        Ok(result) => result,
        Err(error) => {
            eprintln!("{error}");
            return exit::USAGE;
        }
    };
    if let Some(file) = &arguments.svg {
        let drawn = timeline_svg(summary.timeline()).map_err(|error| error.to_string());
        let written =
            drawn.and_then(|svg| std::fs::write(file, svg).map_err(|error| error.to_string()));
        if let Err(error) = written {
            eprintln!("{}: {error}", file.display());
            return exit::USAGE;
        }
    }
    if arguments.json {
        print_line!("{}", as_json(&summary, &read));
        return exit::OK;
    }
    print_tables(&summary, arguments.rows);
    if let Some(unread) = unread_text(&read) {
        print_line!("{unread}");
    }
    exit::OK
}

fn summarize(files: &[PathBuf]) -> Result<(Summary, ReadCounts), LogFileError> {
    let mut summary = Summary::default();
    let read = read_all(files, |line, _| summary.add(&line))?;
    Ok((summary, read))
}

fn as_json(summary: &Summary, read: &ReadCounts) -> serde_json::Value {
    let entry = |dimension| {
        (
            format!("by_{dimension}").replace(' ', "_"),
            json!(summary.rows(dimension)),
        )
    };
    let mut report: serde_json::Map<String, serde_json::Value> =
        Dimension::ALL.into_iter().map(entry).collect();
    let buckets: Vec<_> = summary.timeline().buckets().collect();
    report.insert("total".into(), json!(summary.total()));
    report.insert("bucket_ms".into(), json!(summary.timeline().width_ms()));
    report.insert("over_time".into(), json!(buckets));
    report.insert("read".into(), json!(read));
    report.into()
}

fn print_tables(summary: &Summary, rows: usize) {
    print_line!("{}", table("all", &[summary.total()], rows));
    for dimension in Dimension::ALL {
        let dimension_rows = summary.rows(dimension);
        print_line!("{}", table(&dimension.to_string(), &dimension_rows, rows));
    }
    let worst = worst_buckets(summary, rows);
    print_line!("{}", table("seconds with most failures", &worst, rows));
    print_line!(
        "served is an estimate: plain successes are logged once in 16; shed requests count as \
         refused, too; queues are those expected when a request was sent or shed"
    );
}

/// Returns the time buckets with the most failures, in order of time.
fn worst_buckets(summary: &Summary, count: usize) -> Vec<SummaryRow> {
    let mut rows: Vec<SummaryRow> = summary.timeline().buckets().map(|b| b.as_row()).collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.counts.failures()));
    rows.truncate(count);
    rows.sort_by(|a, b| a.name.cmp(&b.name));
    rows
}

fn table(name: &str, rows: &[SummaryRow], count: usize) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::UTF8_HORIZONTAL_ONLY)
        .set_header([
            name,
            "served",
            "refused",
            "shed",
            "failed attempts",
            "sent again",
            "retries granted",
            "denied",
            "broken off",
            "resumed",
            "queue p50 ms",
            "p99 ms",
        ]);
    for row in rows.iter().take(count) {
        let counts = row.counts;
        let queue = |ms: Option<u64>| ms.map_or_else(|| "–".to_owned(), |ms| ms.to_string());
        table.add_row([
            row.name.clone(),
            counts.served_estimate.to_string(),
            counts.refused.to_string(),
            counts.shed.to_string(),
            counts.failed_attempts.to_string(),
            counts.resent.to_string(),
            counts.retries_granted.to_string(),
            counts.retries_denied.to_string(),
            counts.broken_off.to_string(),
            counts.resumed.to_string(),
            queue(row.queue_p50_ms),
            queue(row.queue_p99_ms),
        ]);
    }
    if rows.len() > count {
        table.add_row([format!("… {} more", rows.len() - count)]);
    }
    table
}
