//! Writes logs without blocking requests: lines are collected in a bounded buffer, and a thread
//! writes them out a few times per second.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// The maximum size of the buffer; further lines are dropped and counted. It holds over a thousand
/// lines and is small compared with the 88 MB of the smallest VM.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// The time for which lines are collected before they are written. Each write wakes a thread; five
/// per second have no noticeable cost. See docs/OPERATIONS.md for what is lost when a daemon is
/// killed.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct LineBuffer {
    bytes: Vec<u8>,
    dropped: u64,
    is_finished: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<LineBuffer>,
    changed: Condvar,
}

/// Accepts log lines.
#[derive(Clone, Debug)]
pub(crate) struct Sink(Arc<Shared>);

impl Sink {
    /// Adds a line to the buffer, or drops and counts it if the buffer is full.
    pub fn push(&self, line: &str) {
        let mut buffer = self.0.buffer.lock().expect("no panic under this lock");
        if buffer.bytes.len() + line.len() >= MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
            return;
        }
        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(line.as_bytes());
        buffer.bytes.push(b'\n');
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
    thread: std::thread::JoinHandle<()>,
}

/// Starts a thread that writes to standard output.
pub fn start() -> LogWriter {
    let shared = Arc::new(Shared::default());
    let thread_shared = shared.clone();
    LogWriter {
        shared,
        thread: std::thread::spawn(move || write_until_finished(&thread_shared)),
    }
}

impl LogWriter {
    /// Returns a sink for lines.
    pub(crate) fn sink(&self) -> Sink {
        Sink(self.shared.clone())
    }

    /// Writes the buffered lines and ends the thread.
    pub fn finish(self) {
        let mut buffer = self.shared.buffer.lock().expect("no panic under this lock");
        buffer.is_finished = true;
        drop(buffer);
        self.shared.changed.notify_one();
        // A panic of the writer can't be reported any more.
        let _ = self.thread.join();
    }
}

fn write_until_finished(shared: &Shared) {
    loop {
        let buffer = shared.buffer.lock().expect("no panic under this lock");
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
        let is_finished = buffer.is_finished;
        drop(buffer);
        if dropped > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"text\":\"log lines dropped\",\"dropped\":{dropped}}}\n"
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        // If standard output is closed, the error can't be reported anywhere.
        let _ = std::io::stdout().write_all(&bytes);
        if is_finished {
            return;
        }
    }
}
