//! Reads logs line by line, counts the lines that can't be read, and keeps the first as an example.

use crate::line::{LogLine, Unread, decode};
use serde::Serialize;
use std::io::{self, BufRead};

/// The maximum length of a line in bytes; longer lines count as unreadable. The longest event has
/// about 400 bytes, and a file without line ends must not fill the memory.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// The number of characters of an unreadable line kept as an example, which fits in a terminal
/// line.
const EXAMPLE_CHARS: usize = 120;

/// The numbers of lines that were and weren't read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ReadCounts {
    /// Lines with an event.
    pub events: u64,
    /// Lines that aren't a complete JSON object.
    pub not_json: u64,
    /// Lines without an event number or a time.
    pub no_event: u64,
    /// Lines with an event unknown to this version.
    pub unknown_events: u64,
    /// Lines that daemons report as dropped.
    pub dropped_by_daemons: u64,
    /// The start of the first unusable line.
    pub first_unread: Option<String>,
}

impl ReadCounts {
    /// Returns the number of unusable lines.
    pub fn unread(&self) -> u64 {
        self.not_json + self.no_event + self.unknown_events
    }

    fn count_unread(&mut self, line: &str, reason: Unread) {
        match reason {
            Unread::Dropped(lines) => {
                self.dropped_by_daemons += lines;
                return;
            }
            Unread::NotJson => self.not_json += 1,
            Unread::NoEvent => self.no_event += 1,
            Unread::UnknownEvent => self.unknown_events += 1,
        }
        self.first_unread
            .get_or_insert_with(|| line.chars().take(EXAMPLE_CHARS).collect());
    }
}

/// Reads logs and counts their lines.
#[derive(Debug, Default)]
pub struct LogReader {
    counts: ReadCounts,
    line: Vec<u8>,
}

impl LogReader {
    /// Returns the counts so far.
    pub fn counts(&self) -> &ReadCounts {
        &self.counts
    }

    /// Reads one log to its end and calls `on_event` with every event and the text of its line.
    ///
    /// # Errors
    /// The error of `log` if it can't be read to its end.
    pub fn read(
        &mut self,
        mut log: impl BufRead,
        mut on_event: impl FnMut(LogLine<'_>, &str),
    ) -> io::Result<()> {
        while self.next_line(&mut log)? {
            // Invalid UTF-8 is replaced: the rest of the line may be readable.
            let text = String::from_utf8_lossy(&self.line);
            let line = text.trim_end_matches(['\r', '\n']);
            if line.is_empty() {
                continue;
            }
            match decode(line) {
                Ok(event) => {
                    self.counts.events += 1;
                    on_event(event, line);
                }
                Err(reason) => self.counts.count_unread(line, reason),
            }
        }
        Ok(())
    }

    /// Reads the next line and returns false at the end. Only the start of a too long line is kept.
    fn next_line(&mut self, log: &mut impl BufRead) -> io::Result<bool> {
        self.line.clear();
        let mut has_bytes = false;
        loop {
            let available = log.fill_buf()?;
            if available.is_empty() {
                return Ok(has_bytes);
            }
            has_bytes = true;
            let end = available.iter().position(|byte| *byte == b'\n');
            let consumed = end.map_or(available.len(), |end| end + 1);
            let room = MAX_LINE_BYTES.saturating_sub(self.line.len());
            self.line
                .extend_from_slice(&available[..consumed.min(room)]);
            log.consume(consumed);
            if end.is_some() {
                return Ok(true);
            }
        }
    }
}
