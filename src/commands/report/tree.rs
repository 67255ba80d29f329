//! `bridgevane report tree`: the tree of followers over time, from the gateways' logs.

use crate::commands::report::log_files::{parse_time, read_all, unread_text};
use crate::commands::{exit, print_line};
use argh::FromArgs;
use bridgevane_log_report::{TreeHistory, TreeRow};
use comfy_table::{Table, presets};
use serde_json::json;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The interval between the times that are shown when none is given; a cycle that lasts for less
/// resolves itself.
const STEP_MS: u64 = 1_000;

/// Show the tree in which daemons follow each other at a given time. For each data centre: the
/// number of daemons, those that poll the control source, the depth of the tree, and the daemons in
/// circles. Without a time: every second.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "tree")]
pub struct TreeArguments {
    /// log files of all daemons; - is standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// time to show, such as 2026-12-02T16:00:01.5Z
    #[argh(option, from_str_fn(parse_time))]
    at: Option<SystemTime>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the command and returns the exit code.
pub(super) fn run(arguments: &TreeArguments) -> u8 {
    if arguments.files.is_empty() {
        eprintln!("no log files given; - is standard input");
        return exit::USAGE;
    }
    let mut history = TreeHistory::default();
    let read = match read_all(&arguments.files, |line, _| history.add(&line)) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("{error}");
            return exit::USAGE;
        }
    };
    let trees: Vec<(u64, Vec<TreeRow>)> = times_to_show(&history, arguments.at)
        .map(|at_ms| (at_ms, history.at(at_ms)))
        .collect();
    if arguments.json {
        let trees = trees
            .iter()
            .map(|(at_ms, rows)| json!({"at_ms": at_ms, "data_centres": rows}));
        print_line!(
            "{}",
            json!({"trees": trees.collect::<Vec<_>>(), "read": read})
        );
    } else {
        print_line!("{}", table(&trees));
        if let Some(unread) = unread_text(&read) {
            print_line!("{unread}");
        }
    }
    if trees.is_empty() {
        exit::NEGATIVE
    } else {
        exit::OK
    }
}

/// Returns the times to show, in Unix milliseconds.
fn times_to_show(history: &TreeHistory, at: Option<SystemTime>) -> impl Iterator<Item = u64> {
    let span = history.span_ms();
    let span = span.map(|(first, last)| match at {
        // A time before 1970 counts as 1970; there is no tree at either.
        Some(at) => {
            let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
            (since.as_millis() as u64, since.as_millis() as u64)
        }
        None => (first, last),
    });
    let times = span.map(|(first, last)| (first..=last).step_by(STEP_MS as usize));
    times.into_iter().flatten()
}

fn table(trees: &[(u64, Vec<TreeRow>)]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::UTF8_HORIZONTAL_ONLY)
        .set_header([
            "at",
            "data centre",
            "daemons",
            "at the source",
            "depth",
            "in circles",
            "below circles",
            "unknown upstream",
        ]);
    for (at_ms, rows) in trees {
        let at = humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(*at_ms));
        for row in rows {
            table.add_row([
                at.to_string(),
                row.data_centre.clone(),
                row.daemons.to_string(),
                row.at_source.to_string(),
                row.depth.to_string(),
                row.in_circles.to_string(),
                row.below_circles.to_string(),
                row.unknown.to_string(),
            ]);
        }
    }
    table
}
