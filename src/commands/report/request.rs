//! `bridgevane report request`: the history of one request over all daemons.

use crate::commands::report::log_files::{read_all, unread_text};
use crate::commands::{exit, print_line};
use argh::FromArgs;
use bridgevane_log_report::{RequestHistory, RequestLine};
use serde_json::json;
use std::path::PathBuf;
use std::time::{Duration, UNIX_EPOCH};

/// Show all daemons' log lines of one request, in order of time, and its outcome.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "request")]
pub struct RequestArguments {
    /// id that the client sent with the request
    #[argh(positional)]
    id: String,
    /// log files of all daemons; - is standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the command and returns the exit code.
pub(super) fn run(arguments: &RequestArguments) -> u8 {
    if arguments.files.is_empty() {
        eprintln!("no log files given; - is standard input");
        return exit::USAGE;
    }
    let mut history = RequestHistory::new(&arguments.id);
    let read = match read_all(&arguments.files, |line, text| history.add(&line, text)) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("{error}");
            return exit::USAGE;
        }
    };
    let lines = history.lines();
    if arguments.json {
        let verdict = history.verdict();
        print_line!(
            "{}",
            json!({"lines": lines, "verdict": verdict, "read": read})
        );
    } else {
        lines.iter().for_each(print_request_line);
        if history.left_out() > 0 {
            print_line!("… {} more lines", history.left_out());
        }
        print_line!("{}: {}", arguments.id, history.verdict());
        if let Some(unread) = unread_text(&read) {
            print_line!("{unread}");
        }
    }
    if lines.is_empty() {
        exit::NEGATIVE
    } else {
        exit::OK
    }
}

fn print_request_line(line: &RequestLine) {
    let at = humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(line.at_ms));
    let RequestLine {
        vm, event, text, ..
    } = line;
    print_line!("{at} {vm} {event} {text}: {}", line.fields.join(" "));
}
