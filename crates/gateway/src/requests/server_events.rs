//! Server-sent events in a stream of bytes: whole events, and the identifier of the last.

use bytes::{Bytes, BytesMut};

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
pub struct EventCutter {
    rest: BytesMut,
    last_id: Option<u64>,
}

impl EventCutter {
    /// Takes bytes and gives the whole events that are new; a cut event waits for its rest,
    /// and one that was given before is dropped.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = event_end(&self.rest) {
            let event = self.rest.split_to(end);
            let id = event_id(&event);
            if id.is_some() && id <= self.last_id {
                continue;
            }
            self.last_id = id.or(self.last_id);
            whole.unsplit(event);
        }
        whole.freeze()
    }

    /// The identifier of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an event has begun and not ended.
    pub fn is_inside_event(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Forgets an event that has begun: its sender broke off.
    pub fn drop_rest(&mut self) {
        self.rest.clear();
    }
}

/// Where the first event ends: behind its blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(line) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let next = at + line + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
