//! Server-sent events in a stream of bytes: whole events, and the identifier of the last.
//!
//! Relies on events being separated by blank lines, and on identifiers that rise within a stream.

use bytes::{Bytes, BytesMut};

/// Splits a stream into whole events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    /// An event that has begun and not ended.
    partial: BytesMut,
    last_event_id: Option<u64>,
}

impl EventSplitter {
    /// Takes bytes and gives the whole events that are new. A partial event waits for its rest; one
    /// whose identifier isn't above the last is dropped, since it was given before the stream was
    /// resumed.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            let id = event_id(&event);
            if id.is_some() && id <= self.last_event_id {
                continue;
            }
            self.last_event_id = id.or(self.last_event_id);
            whole.unsplit(event);
        }
        whole.freeze()
    }

    /// The identifier of the last whole event.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Whether an event has begun and not ended.
    pub(crate) fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Forgets an event that has begun: its sender broke off.
    pub(crate) fn drop_partial_event(&mut self) {
        self.partial.clear();
    }
}

/// Where the first event ends: behind its blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(line) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let next = start + line + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => start = next,
        }
    }
    None
}

/// The number in an event's `id` line. Events with another identifier or none can't be resumed
/// after, and are passed on like those without.
fn event_id(event: &[u8]) -> Option<u64> {
    // No text has no `id` line.
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
