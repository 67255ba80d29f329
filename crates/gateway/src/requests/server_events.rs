//! Splits a stream of bytes into server-sent events, and tracks the identifier of the last one.
//!
//! Relies on blank lines between events, and on identifiers that increase within a stream.

use bytes::{Bytes, BytesMut};

/// The longest event of a stream that is split, in bytes: an event holds the text of a few tokens, and
/// is buffered until it is whole.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a stream of bytes into whole events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    /// The bytes of an event that isn't complete yet.
    partial: BytesMut,
    /// Where the search for the end of that event goes on.
    searched: usize,
    last_event_id: Option<u64>,
    /// Whether an event without a number was returned.
    has_unnamed_event: bool,
    /// The highest identifier of the events that were dropped since the stream was begun or resumed.
    repeated_id: Option<u64>,
    /// The bytes of the events that were dropped since it rose, or since one was returned.
    repeated_bytes: usize,
}

impl EventSplitter {
    /// Splits a stream whose events up to this one the client has.
    pub(crate) fn after(last_event_id: Option<u64>) -> Self {
        Self {
            last_event_id,
            ..Self::default()
        }
    }

    /// Adds bytes and returns the events that they complete. A partial event is kept until the rest
    /// of it arrives. An event whose identifier isn't above the last one is dropped: the client has
    /// it.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = self.event_end() {
            let event = self.partial.split_to(end);
            self.searched = 0;
            let id = event_id(&event);
            if self.is_repeated(id) {
                self.count_repeated(id, event.len());
                continue;
            }
            self.repeated_bytes = 0;
            self.last_event_id = id.or(self.last_event_id);
            self.has_unnamed_event |= id.is_none() && has_event(&event);
            whole.unsplit(event);
        }
        whole.freeze()
    }

    /// Returns the bytes behind the last blank line of a body that ended properly, unless they repeat
    /// an event.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        let rest = std::mem::take(&mut self.partial);
        if self.is_repeated(event_id(&rest)) {
            return Bytes::new();
        }
        rest.freeze()
    }

    /// Counts an event that was dropped. An endpoint that resumes a stream may begin at its start, and
    /// gets nearer to the end of what it repeats with each identifier that rises.
    fn count_repeated(&mut self, id: Option<u64>, bytes: usize) {
        if id > self.repeated_id {
            self.repeated_id = id;
            self.repeated_bytes = 0;
        }
        self.repeated_bytes += bytes;
    }

    fn is_repeated(&self, id: Option<u64>) -> bool {
        id.is_some() && id <= self.last_event_id
    }

    /// Returns the end of the first event, after its blank line. Each byte is searched about once,
    /// however small the parts are in which the event arrives.
    fn event_end(&mut self) -> Option<usize> {
        while let Some(line) = find_newline(&self.partial[self.searched..]) {
            let newline = self.searched + line;
            let next = newline + 1;
            match &self.partial[next..] {
                [b'\n', ..] => return Some(next + 1),
                [b'\r', b'\n', ..] => return Some(next + 2),
                // The rest of a blank line may follow.
                [] | [b'\r'] => {
                    self.searched = newline;
                    return None;
                }
                _ => self.searched = next,
            }
        }
        self.searched = self.partial.len();
        None
    }

    /// Returns whether the incomplete event is longer than an event may be, or more than that was
    /// repeated while no identifier rose.
    pub(crate) fn is_without_end(&self) -> bool {
        self.partial.len().max(self.repeated_bytes) > MAX_EVENT_BYTES
    }

    /// Returns whether another endpoint can continue the stream. It can't after an event without a
    /// number, even if one with a number followed: an endpoint may begin at the start of the stream,
    /// and that event would be returned again.
    pub(crate) fn is_resumable(&self) -> bool {
        !self.has_unnamed_event
    }

    /// Returns the identifier of the last whole event.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Returns whether an event has begun and isn't complete.
    pub(crate) fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Forgets the incomplete event of a stream that broke off, and what it repeated.
    pub(crate) fn drop_partial_event(&mut self) {
        self.partial.clear();
        self.searched = 0;
        self.repeated_id = None;
        self.repeated_bytes = 0;
    }
}

/// Tracks whether a stream that is forwarded unsplit is between two events: before the first one, or
/// behind the blank line that ends one, however its bytes arrive.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventBoundary {
    /// Whether the current line has a byte other than a carriage return.
    has_text_in_line: bool,
    is_inside_event: bool,
}

impl EventBoundary {
    /// Adds bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' => {
                    self.is_inside_event = self.has_text_in_line;
                    self.has_text_in_line = false;
                }
                b'\r' => {}
                _ => {
                    self.has_text_in_line = true;
                    self.is_inside_event = true;
                }
            }
        }
    }

    /// Returns whether an event has begun and isn't complete.
    pub(crate) fn is_inside_event(self) -> bool {
        self.is_inside_event
    }
}

fn find_newline(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}

/// Returns whether bytes hold an event. Comments and blank lines are none: a client ignores them, so
/// they may be lost or repeated.
fn has_event(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Returns the number in an event's `id` line. An event with a non-numeric identifier or none is
/// forwarded, but a stream can't be resumed after it.
fn event_id(event: &[u8]) -> Option<u64> {
    // Bytes that aren't UTF-8 have no `id` line.
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
