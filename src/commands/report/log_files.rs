//! Reads log files and standard input, one after the other.

use bridgevane_log_report::{LogLine, LogReader, ReadCounts};
use derive_more::{Display, Error};
use std::fs::File;
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The file name for standard input.
const STANDARD_INPUT: &str = "-";
/// The size of the read buffer; larger buffers aren't faster.
const BUFFER_BYTES: usize = 1 << 20;

/// The error for a log that can't be read.
#[derive(Debug, Display, Error)]
#[display("{}: {source}", file.display())]
pub(super) struct LogFileError {
    file: PathBuf,
    source: io::Error,
}

/// Reads a time of an argument, such as 2026-12-02T16:00:01.5Z.
///
/// # Errors
/// The problem, for the user.
pub(super) fn parse_time(text: &str) -> Result<SystemTime, String> {
    humantime::parse_rfc3339_weak(text).map_err(|error| error.to_string())
}

/// Reads all events of the logs.
///
/// # Errors
/// [`LogFileError`] for the first log that can't be opened or read to its end.
pub(super) fn read_all(
    files: &[PathBuf],
    mut on_event: impl FnMut(LogLine<'_>, &str),
) -> Result<ReadCounts, LogFileError> {
    let mut reader = LogReader::default();
    for file in files {
        read_one(&mut reader, file, &mut on_event).map_err(|source| LogFileError {
            file: file.clone(),
            source,
        })?;
    }
    Ok(reader.counts().clone())
}

fn read_one(
    reader: &mut LogReader,
    file: &Path,
    on_event: impl FnMut(LogLine<'_>, &str),
) -> io::Result<()> {
    if file == Path::new(STANDARD_INPUT) {
        return reader.read(io::stdin().lock(), on_event);
    }
    let log = BufReader::with_capacity(BUFFER_BYTES, File::open(file)?);
    reader.read(log, on_event)
}

/// Describes what couldn't be read, or returns `None` if everything was read.
pub(super) fn unread_text(counts: &ReadCounts) -> Option<String> {
    if counts.unread() == 0 && counts.dropped_by_daemons == 0 {
        return None;
    }
    let mut text = format!(
        "not all was read: {} lines are no whole JSON object, {} have no event or time, {} are \
         events of another version, and daemons dropped {} lines",
        counts.not_json, counts.no_event, counts.unknown_events, counts.dropped_by_daemons
    );
    if let Some(first) = &counts.first_unread {
        text.push_str(&format!("; the first: {first}"));
    }
    Some(text)
}
