//! Writing logs without ever holding up a request: lines wait in a bounded buffer, and a
//! thread writes them out a few times a second.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Bytes that wait at most; lines beyond are dropped and counted. Not measured, chosen because it
/// is over a thousand lines, and small against 88 MB, the smallest VM.
const MAX_WAITING_BYTES: usize = 256 * 1024;
/// How long lines gather before they are written. Chosen because each write wakes a thread: five a
/// second cost nothing that shows (docs/OPERATIONS.md tells what a kill loses).
const GATHER: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    is_finished: bool,
}

#[derive(Debug, Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

/// Takes lines.
#[derive(Clone, Debug)]
pub(crate) struct Sink(Arc<Shared>);

impl Sink {
    /// Adds a line; when the buffer is full it is dropped and counted.
    pub fn line(&self, line: &str) {
        let mut waiting = self.0.waiting.lock().expect("no panic under this lock");
        if waiting.bytes.len() + line.len() >= MAX_WAITING_BYTES {
            waiting.dropped += 1;
            return;
        }
        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line.as_bytes());
        waiting.bytes.push(b'\n');
        drop(waiting);
        if was_empty {
            self.0.changed.notify_one();
        }
    }
}

/// The thread that writes.
#[derive(Debug)]
pub(crate) struct LogWriter {
    shared: Arc<Shared>,
    thread: std::thread::JoinHandle<()>,
}

/// Starts writing to standard output.
pub fn start() -> LogWriter {
    let shared = Arc::new(Shared::default());
    let own = shared.clone();
    LogWriter {
        shared,
        thread: std::thread::spawn(move || write_until_finished(&own)),
    }
}

impl LogWriter {
    /// Where lines go.
    pub(crate) fn sink(&self) -> Sink {
        Sink(self.shared.clone())
    }

    /// Writes what waits, and ends.
    pub fn finish(self) {
        let mut waiting = self
            .shared
            .waiting
            .lock()
            .expect("no panic under this lock");
        waiting.is_finished = true;
        drop(waiting);
        self.shared.changed.notify_one();
        // A writer that failed has nothing left to say.
        let _ = self.thread.join();
    }
}

fn write_until_finished(shared: &Shared) {
    loop {
        let waiting = shared.waiting.lock().expect("no panic under this lock");
        let idle = |waiting: &mut Waiting| waiting.bytes.is_empty() && !waiting.is_finished;
        let waiting = shared.changed.wait_while(waiting, idle);
        let waiting = waiting.expect("no panic under this lock");
        let gather = |waiting: &mut Waiting| !waiting.is_finished;
        let gathered = shared.changed.wait_timeout_while(waiting, GATHER, gather);
        let (mut waiting, _) = gathered.expect("no panic under this lock");
        let mut bytes = std::mem::take(&mut waiting.bytes);
        let dropped = std::mem::take(&mut waiting.dropped);
        let is_finished = waiting.is_finished;
        drop(waiting);
        if dropped > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"text\":\"log lines dropped\",\"dropped\":{dropped}}}\n"
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        // Nobody reads: there is nowhere to say so.
        let _ = std::io::stdout().write_all(&bytes);
        if is_finished {
            return;
        }
    }
}
