//! Headers that can't be decoded: they count as absent and are logged, at most one per second.
//!
//! An absent header is normal; an undecodable one shows an error of a client, an endpoint or an
//! adapter. The log is rate-limited, since any client can send such headers.

use crate::clock::{AtomicTime, Clock};
use bridgevane_events::{Event, event};
use bridgevane_types::DurationMs;
use derive_more::Display;
use http::{HeaderMap, HeaderName};
use std::sync::atomic::{AtomicU64, Ordering};

/// The minimum time between two log lines: one per second shows the fault without filling the log.
const LOG_INTERVAL: DurationMs = DurationMs(1_000);

/// The sender of a header.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Sender {
    /// The client, on a request.
    #[display("client")]
    Client,
    /// The endpoint, on an answer.
    #[display("endpoint")]
    Endpoint,
}

/// The rate-limited log of undecodable headers.
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

    /// Returns a decoder for the headers of a message of `sender`.
    pub(crate) fn reader<'a>(&'a self, sender: Sender, headers: &'a HeaderMap) -> HeaderReader<'a> {
        HeaderReader {
            headers,
            sender,
            unreadable: self,
        }
    }

    fn log(&self, sender: Sender, name: &HeaderName) {
        let now = self.clock.now();
        let is_recent = |at| now.since(at) < LOG_INTERVAL;
        if self.logged_at.get().is_some_and(is_recent) {
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

/// A decoder for the headers of one message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeaderReader<'a> {
    headers: &'a HeaderMap,
    sender: Sender,
    unreadable: &'a UnreadableHeaders,
}

impl<'a> HeaderReader<'a> {
    /// Returns whether a header is present, even if its value can't be decoded.
    pub(crate) fn has(&self, name: &HeaderName) -> bool {
        self.headers.contains_key(name)
    }

    /// Returns the text of a header.
    pub(crate) fn text(&self, name: &HeaderName) -> Option<&'a str> {
        let value = self.headers.get(name)?;
        self.decoded(name, value.to_str())
    }

    /// Returns the value parsed from a header's text; `None` if the header is absent or can't be
    /// parsed.
    pub(crate) fn parsed<T: std::str::FromStr>(&self, name: &HeaderName) -> Option<T> {
        self.decoded(name, self.text(name)?.trim().parse())
    }

    /// Returns the decoded value of a header, or logs the header as undecodable.
    pub(crate) fn decoded<T, E>(&self, name: &HeaderName, decoded: Result<T, E>) -> Option<T> {
        if decoded.is_err() {
            self.unreadable.log(self.sender, name);
        }
        decoded.ok()
    }
}
