//! The history of one request: the lines of all daemons on it, in order of time, and its outcome.

use crate::line::LogLine;
use bridgevane_events::Event;
use serde::Serialize;
use serde_json::{Map, Value};

/// The maximum number of lines kept for one request. A request has about ten lines at most, unless
/// clients reuse its id.
const MAX_LINES: usize = 1_000;
/// The fields that have their own columns.
const COLUMN_FIELDS: [&str; 7] = [
    "at",
    "level",
    "text",
    "event",
    "vm",
    "data_centre",
    "request",
];

/// One log line of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestLine {
    /// The time at which it was written, in Unix milliseconds of its VM's clock.
    pub at_ms: u64,
    /// The VM that wrote it.
    pub vm: String,
    /// The event's number.
    pub event: u32,
    /// The event's text.
    pub text: &'static str,
    /// All other fields, as `name=value`.
    pub fields: Vec<String>,
}

/// The log lines of one request.
#[derive(Clone, Debug, Serialize)]
pub struct RequestHistory {
    id: String,
    lines: Vec<RequestLine>,
    left_out: u64,
}

impl RequestHistory {
    /// Creates the empty history of the request with this id.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            lines: Vec::new(),
            left_out: 0,
        }
    }

    /// Adds a line if it belongs to this request.
    pub fn add(&mut self, line: &LogLine<'_>, text: &str) {
        if line.request.as_deref() != Some(self.id.as_str()) {
            return;
        }
        if self.lines.len() >= MAX_LINES {
            self.left_out += 1;
            return;
        }
        let vm = line.vm.as_deref().unwrap_or("?");
        self.lines.push(RequestLine {
            at_ms: line.at_ms,
            vm: vm.to_owned(),
            event: line.event.number(),
            text: line.event.text(),
            fields: other_fields(text),
        });
    }

    /// Returns the lines in order of time.
    pub fn lines(&self) -> Vec<RequestLine> {
        let mut lines = self.lines.clone();
        lines.sort_by_key(|line| line.at_ms);
        lines
    }

    /// Returns the number of lines beyond the maximum, which aren't kept.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    /// Returns the outcome as a sentence, from the last line that states one.
    pub fn verdict(&self) -> String {
        let lines = self.lines();
        let is_outcome = |line: &&RequestLine| {
            let outcomes = [
                Event::RequestServed,
                Event::RequestTurnedAway,
                Event::RequestBrokenOff,
            ];
            outcomes.iter().any(|event| event.number() == line.event)
        };
        let Some(last) = lines.iter().rev().find(is_outcome) else {
            return self.unknown_outcome(lines.last());
        };
        let was_shed = lines
            .iter()
            .any(|line| line.event == Event::LineTooLong.number());
        let was_resumed = lines
            .iter()
            .any(|line| line.event == Event::StreamResumed.number());
        let field = |name| field_value(last, name).unwrap_or("?");
        if last.event == Event::RequestServed.number() {
            let suffix = if was_resumed {
                ", after it was resumed"
            } else {
                ""
            };
            return format!("answered with status {}{suffix}", field("status"));
        }
        if last.event == Event::RequestBrokenOff.number() {
            return format!(
                "cut off: {}; sent again: {}",
                field("cause"),
                field("resend")
            );
        }
        let suffix = if was_shed {
            " (shed: the queue was too long, see 1310)"
        } else {
            ""
        };
        format!("refused: {}{suffix}", field("reason"))
    }

    fn unknown_outcome(&self, last: Option<&RequestLine>) -> String {
        match last {
            Some(line) => format!(
                "no line says how it ended; the last is {} ({})",
                line.event, line.text
            ),
            None => "no line: a plain success is logged once in 16; else the daemon that had it \
                     was killed, or its log is missing"
                .to_owned(),
        }
    }
}

fn field_value<'a>(line: &'a RequestLine, name: &str) -> Option<&'a str> {
    let fields = line.fields.iter();
    let mut pairs = fields.filter_map(|field| field.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Returns the fields of a line that have no column of their own.
fn other_fields(text: &str) -> Vec<String> {
    let start = text.find('{').unwrap_or(0);
    // The line was decoded before, so that it is a JSON object.
    let object: Map<String, Value> = serde_json::from_str(&text[start..]).unwrap_or_default();
    let others = object
        .into_iter()
        .filter(|(name, _)| !COLUMN_FIELDS.contains(&name.as_str()));
    others
        .map(|(name, value)| match value {
            Value::String(value) => format!("{name}={value}"),
            value => format!("{name}={value}"),
        })
        .collect()
}
