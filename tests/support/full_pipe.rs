//! An output that a process can't write to.
#![allow(dead_code, missing_docs)]

use std::io::{PipeReader, PipeWriter, Write};
use std::process::Stdio;

/// A pipe that is kept full, and that nobody reads.
pub struct FullPipe {
    writer: PipeWriter,
    _reader: PipeReader,
}

impl FullPipe {
    pub fn new() -> Self {
        let (reader, writer) = std::io::pipe().expect("a pipe");
        let mut filler = writer.try_clone().expect("a further writer");
        // It fills the pipe again whenever there is room, and ends once the reader is dropped.
        std::thread::spawn(move || while filler.write_all(&[b' '; 512]).is_ok() {});
        Self {
            writer,
            _reader: reader,
        }
    }

    /// Returns the pipe as an output of a process.
    pub fn as_output(&self) -> Stdio {
        let writer = self.writer.try_clone();
        writer.expect("a further writer").into()
    }
}
