//! Writes logs without blocking requests or the end of the process: lines are collected in a bounded
//! buffer, and a thread writes them out a few times per second.
//!
//! The reader of the log may read slowly, or not at all. Then the thread waits in a write, further lines
//! are dropped and counted, and the end of the process waits for the thread for a bounded time.

use std::io::Write;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// The maximum size of the buffer; further lines are dropped and counted. It holds over a thousand
/// lines and is small compared with the 88 MB of the smallest VM.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// The time for which lines are collected before they are written. Each write wakes a thread; five
/// per second have no noticeable cost. See docs/OPERATIONS.md for what is lost when a daemon is
/// killed.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// How long the end of a process waits until the last lines are written. Together with
/// [`REPORT_TIMEOUT`] it is less than the part of the stop time that is reserved for it.
const FINISH_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the end of a process waits for the reader of standard error, who may be the same.
const REPORT_TIMEOUT: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct LineBuffer {
    bytes: Vec<u8>,
    /// The number of lines in the buffer.
    lines: u64,
    /// The number of lines that were taken out and aren't written yet, with the dropped ones of which the
    /// log doesn't tell yet.
    in_write: u64,
    dropped: u64,
    is_finished: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<LineBuffer>,
    changed: Condvar,
}

impl Shared {
    fn buffer(&self) -> MutexGuard<'_, LineBuffer> {
        self.buffer.lock().expect("no panic under this lock")
    }
}

/// Accepts log lines.
#[derive(Clone, Debug)]
pub(crate) struct Sink(Arc<Shared>);

impl Sink {
    /// Adds a line to the buffer, or drops and counts it if the buffer is full.
    pub fn push(&self, line: &str) {
        let mut buffer = self.0.buffer();
        if buffer.bytes.len() + line.len() >= MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
            return;
        }
        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(line.as_bytes());
        buffer.bytes.push(b'\n');
        buffer.lines += 1;
        drop(buffer);
        if was_empty {
            self.0.changed.notify_one();
        }
    }
}

/// The thread that writes the lines.
#[derive(Debug)]
pub(crate) struct LogWriter {
    shared: Arc<Shared>,
    thread: BackgroundThread,
}

/// Where a log is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogStream {
    /// Standard output.
    Output,
    /// Standard error.
    Error,
}

impl LogStream {
    /// Writes the bytes, however long the reader takes.
    fn write(self, bytes: &[u8]) {
        // If the stream is closed, the error can't be reported anywhere.
        let _ = match self {
            Self::Output => std::io::stdout().write_all(bytes),
            Self::Error => std::io::stderr().write_all(bytes),
        };
    }
}

/// Starts a thread that writes to a stream.
pub(crate) fn start(stream: LogStream) -> LogWriter {
    let shared = Arc::new(Shared::default());
    let thread_shared = shared.clone();
    LogWriter {
        shared,
        thread: BackgroundThread::spawn(move || write_until_finished(&thread_shared, stream)),
    }
}

impl LogWriter {
    /// Returns a sink for lines.
    pub(crate) fn sink(&self) -> Sink {
        Sink(self.shared.clone())
    }

    /// Writes the buffered lines and ends the thread. If that takes longer than [`FINISH_TIMEOUT`], the
    /// lines that are left are dropped, and their number is written to standard error.
    pub fn finish(self) {
        self.shared.buffer().is_finished = true;
        self.shared.changed.notify_one();
        if self.thread.ends_within(FINISH_TIMEOUT) {
            return;
        }
        let buffer = self.shared.buffer();
        let dropped = buffer.in_write + buffer.lines + buffer.dropped;
        drop(buffer);
        let line = dropped_line(dropped);
        let report = BackgroundThread::spawn(move || LogStream::Error.write(line.as_bytes()));
        report.ends_within(REPORT_TIMEOUT);
    }
}

/// A thread that may wait in a write for ever. It doesn't keep the process from ending.
#[derive(Debug)]
struct BackgroundThread {
    /// Nothing is sent: the other side is dropped when the thread ends.
    end: Receiver<()>,
}

impl BackgroundThread {
    fn spawn(work: impl FnOnce() + Send + 'static) -> Self {
        let (until_end, end) = mpsc::channel::<()>();
        thread::spawn(move || {
            work();
            drop(until_end);
        });
        Self { end }
    }

    /// Waits for the end of the thread; returns whether it came within `limit`. A panic ends it, too.
    fn ends_within(&self, limit: Duration) -> bool {
        self.end.recv_timeout(limit) == Err(RecvTimeoutError::Disconnected)
    }
}

/// Returns the line that tells how many lines were dropped.
fn dropped_line(dropped: u64) -> String {
    format!("{{\"level\":\"WARN\",\"text\":\"log lines dropped\",\"dropped\":{dropped}}}\n")
}

fn write_until_finished(shared: &Shared, stream: LogStream) {
    loop {
        let mut buffer = shared.buffer();
        buffer.in_write = 0;
        let is_idle = |buffer: &mut LineBuffer| buffer.bytes.is_empty() && !buffer.is_finished;
        let buffer = shared.changed.wait_while(buffer, is_idle);
        let buffer = buffer.expect("no panic under this lock");
        let is_collecting = |buffer: &mut LineBuffer| !buffer.is_finished;
        let collected = shared
            .changed
            .wait_timeout_while(buffer, WRITE_INTERVAL, is_collecting);
        let (mut buffer, _) = collected.expect("no panic under this lock");
        let mut bytes = std::mem::take(&mut buffer.bytes);
        let dropped = std::mem::take(&mut buffer.dropped);
        buffer.in_write = std::mem::take(&mut buffer.lines) + dropped;
        let is_finished = buffer.is_finished;
        drop(buffer);
        if dropped > 0 {
            bytes.extend_from_slice(dropped_line(dropped).as_bytes());
        }
        stream.write(&bytes);
        if is_finished {
            return;
        }
    }
}
