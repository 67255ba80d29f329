//! Headers that can't be decoded: they count as absent, and are logged, at most one a second.
//!
//! A header that isn't there is normal; one that can't be read means that a client, an endpoint or
//! an adapter is wrong. The log is bounded, since anybody can send such headers.

use crate::clock::{AtomicTime, Clock};
use bridgevane_events::{Event, event};
use bridgevane_types::DurationMs;
use derive_more::Display;
use http::{HeaderMap, HeaderName};
use std::sync::atomic::{AtomicU64, Ordering};

/// The least time between two lines. Not measured, chosen because one line a second shows the fault
/// and leaves the log to others.
const LOG_INTERVAL: DurationMs = DurationMs(1_000);

/// Who sent a header.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Sender {
    /// The client, on a request.
    #[display("client")]
    Client,
    /// The endpoint, on an answer.
    #[display("endpoint")]
    Endpoint,
}

/// Logs unreadable headers.
#[derive(Debug)]
pub(crate) struct UnreadableHeaders {
    clock: Clock,
    logged_at: AtomicTime,
    suppressed: AtomicU64,
}

impl UnreadableHeaders {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            logged_at: AtomicTime::default(),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Decodes headers of a message of `sender`.
    pub(crate) fn reader<'a>(&'a self, sender: Sender, headers: &'a HeaderMap) -> HeaderReader<'a> {
        HeaderReader {
            headers,
            sender,
            unreadable: self,
        }
    }

    fn note(&self, sender: Sender, name: &HeaderName) {
        let now = self.clock.now();
        let is_soon = |at| now.since(at) < LOG_INTERVAL;
        if self.logged_at.get().is_some_and(is_soon) {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.logged_at.set(now);
        event!(
            Event::HeaderUnreadable,
            header = name,
            sender = sender,
            suppressed = self.suppressed.swap(0, Ordering::Relaxed)
        );
    }
}

/// Decodes headers of one message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeaderReader<'a> {
    headers: &'a HeaderMap,
    sender: Sender,
    unreadable: &'a UnreadableHeaders,
}

impl<'a> HeaderReader<'a> {
    /// Whether a header is there, whatever its value.
    pub(crate) fn has(&self, name: &HeaderName) -> bool {
        self.headers.contains_key(name)
    }

    /// The text of a header.
    pub(crate) fn text(&self, name: &HeaderName) -> Option<&'a str> {
        let value = self.headers.get(name)?;
        self.decoded(name, value.to_str())
    }

    /// The value of a header whose whole text is one.
    pub(crate) fn parsed<T: std::str::FromStr>(&self, name: &HeaderName) -> Option<T> {
        self.decoded(name, self.text(name)?.trim().parse())
    }

    /// A decoded value; an error is logged as a header that can't be read.
    pub(crate) fn decoded<T, E>(&self, name: &HeaderName, decoded: Result<T, E>) -> Option<T> {
        if decoded.is_err() {
            self.unreadable.note(self.sender, name);
        }
        decoded.ok()
    }
}
