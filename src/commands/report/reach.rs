//! `bridgevane report reach`: how clients were served by daemons that were cut off from endpoints, and
//! by the others, from the gateways' logs.

use crate::commands::report::log_files::{parse_time, read_all, unread_text};
use crate::commands::{exit, print_line};
use argh::FromArgs;
use bridgevane_log_report::{ReachHistory, ReachQuery, ReachRow, TryCounts};
use comfy_table::{Table, presets};
use serde_json::json;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// Compare how clients' requests were served by daemons that were cut off from the endpoints of a
/// service and by the others: by service, route and second of arrival. Server errors of endpoints
/// count as answered.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "reach")]
pub struct ReachArguments {
    /// log files of all daemons; - is standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// first time of arrival, such as 2026-12-02T16:00:01Z (default: when a service was first found
    /// out of reach)
    #[argh(option, from_str_fn(parse_time))]
    from: Option<SystemTime>,
    /// end of the times of arrival (default: the end of the logs)
    #[argh(option, from_str_fn(parse_time))]
    until: Option<SystemTime>,
    /// names of the VMs that were cut off, comma-separated (default: those that found a service out
    /// of reach in this time)
    #[argh(option, from_str_fn(parse_names))]
    cut_off: Option<BTreeSet<String>>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

fn parse_names(text: &str) -> Result<BTreeSet<String>, String> {
    Ok(text.split(',').map(str::to_owned).collect())
}

/// Runs the command and returns the exit code.
pub(super) fn run(arguments: &ReachArguments) -> u8 {
    if arguments.files.is_empty() {
        eprintln!("no log files given; - is standard input");
        return exit::USAGE;
    }
    let mut history = ReachHistory::default();
    let read = match read_all(&arguments.files, |line, _| history.add(&line)) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("{error}");
            return exit::USAGE;
        }
    };
    let Some(query) = query(&history, arguments) else {
        eprintln!("no line counts requests");
        return exit::NEGATIVE;
    };
    let cut_off = history.cut_off(&query);
    let rows = history.compare(&query);
    if arguments.json {
        let rows = rows
            .iter()
            .map(|row| json!({"row": row, "ratio": row.ratio()}));
        let rows: Vec<_> = rows.collect();
        let report =
            json!({"cut_off": cut_off, "from_s": query.from_s, "rows": rows, "read": read});
        print_line!("{report}");
        return exit::OK;
    }
    print_line!("{} VMs were cut off", cut_off.len());
    print_line!("{}", table(&rows));
    if let Some(unread) = unread_text(&read) {
        print_line!("{unread}");
    }
    exit::OK
}

fn query(history: &ReachHistory, arguments: &ReachArguments) -> Option<ReachQuery> {
    let (first_s, last_s) = history.span_s()?;
    let from_s = arguments.from.map(unix_s);
    Some(ReachQuery {
        from_s: from_s.or(history.first_out_of_reach_s()).unwrap_or(first_s),
        until_s: arguments.until.map_or(last_s + 1, unix_s),
        cut_off: arguments.cut_off.clone().unwrap_or_default(),
    })
}

/// Returns the Unix second; a time before 1970 counts as 1970.
fn unix_s(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_secs()
}

fn table(rows: &[ReachRow]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::UTF8_HORIZONTAL_ONLY)
        .set_header([
            "service",
            "route",
            "second",
            "cut off",
            "answered",
            "by daemons",
            "others",
            "answered",
            "ratio",
        ]);
    for row in rows {
        let mut cells = vec![
            row.service.clone(),
            row.route.clone().unwrap_or_else(|| "all".to_owned()),
            row.second
                .map_or_else(|| "all".to_owned(), |second| second.to_string()),
        ];
        cells.extend([row.cut_off.tries.to_string(), share(&row.cut_off)]);
        cells.push(row.cut_off.served_by_daemons.to_string());
        cells.extend([row.others.tries.to_string(), share(&row.others)]);
        cells.push(
            row.ratio()
                .map_or_else(|| "–".to_owned(), |ratio| format!("{ratio:.3}")),
        );
        table.add_row(cells);
    }
    table
}

fn share(tries: &TryCounts) -> String {
    let share = tries.answered_share();
    share.map_or_else(|| "–".to_owned(), |share| format!("{share:.3}"))
}
