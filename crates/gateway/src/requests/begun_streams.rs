//! The software versions at which streams began, as daemons report them to each other
//! ([`crate::replication::stream_reports`]).
//!
//! Owns the reported streams behind a lock. The state is lost with the process; a new process gets it
//! from other daemons. When they are reported and needed is the rule
//! [`crate::decisions::eligibility::stream_version`].

use crate::clock::Clock;
use crate::decisions::eligibility::stream_version::VersionHash;
use bridgevane_types::{DurationMs, TimeMs, short_hash};
use http::HeaderValue;
use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// The maximum number of streams. At 3,000 streams a second it covers 21 s, longer than streams last.
/// Takes some 4 MB.
const MAX_STREAMS: usize = 65_536;

/// How long a stream is remembered: longer than most last with all attempts of their clients.
const STREAM_MEMORY: DurationMs = DurationMs(60_000);

/// The identifier of a stream in messages between daemons: the upper half of a 64-bit hash of the
/// identifier of the attempt that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamHash(pub u32);

impl StreamHash {
    /// Returns the hash of the attempt with this identifier.
    pub fn new(attempt_id: &HeaderValue) -> Self {
        Self(short_hash(attempt_id.as_bytes()))
    }
}

/// A stream that began, or will begin, at a software version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BegunStream {
    /// The stream.
    pub stream: StreamHash,
    /// The version.
    pub version: VersionHash,
    /// The number of the attempt; a later attempt replaces an earlier one.
    pub attempt: u32,
    /// When it was sent to the endpoint.
    pub at: TimeMs,
}

/// The position up to which streams were sent to another daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamCursor(u64);

#[derive(Debug, Default)]
struct State {
    by_stream: HashMap<StreamHash, (BegunStream, StreamCursor)>,
    /// All entries in the order in which they became known; an entry that was replaced stays until
    /// it is the oldest.
    log: VecDeque<(StreamCursor, BegunStream)>,
    newest: StreamCursor,
}

impl State {
    /// Adds a stream; returns false if the same or a later attempt is known.
    fn add(&mut self, begun: BegunStream) -> bool {
        let known = self.by_stream.get(&begun.stream);
        if known.is_some_and(|(known, _)| known.attempt >= begun.attempt) {
            return false;
        }
        self.newest.0 += 1;
        self.by_stream.insert(begun.stream, (begun, self.newest));
        self.log.push_back((self.newest, begun));
        true
    }

    /// Removes the oldest entries, which are too old or too many.
    fn evict(&mut self, now: TimeMs) {
        while let Some((cursor, oldest)) = self.log.front().copied() {
            let is_expired = now.since(oldest.at) >= STREAM_MEMORY;
            if !is_expired && self.log.len() <= MAX_STREAMS {
                return;
            }
            self.log.pop_front();
            let known = self.by_stream.get(&oldest.stream);
            if known.is_some_and(|(_, newest)| *newest == cursor) {
                self.by_stream.remove(&oldest.stream);
            }
        }
    }
}

/// The reported streams.
#[derive(Debug)]
pub struct BegunStreams {
    clock: Clock,
    state: Mutex<State>,
    newest: watch::Sender<StreamCursor>,
    /// Up to where another daemon has the streams.
    known_elsewhere: watch::Sender<StreamCursor>,
}

impl BegunStreams {
    /// Creates an empty set.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
            newest: watch::Sender::default(),
            known_elsewhere: watch::Sender::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Adds streams that this daemon begins, or that another one reports, and returns the position of
    /// the newest.
    pub fn add(&self, begun: impl IntoIterator<Item = BegunStream>) -> StreamCursor {
        let now = self.clock.now();
        let mut state = self.state();
        let before = state.newest;
        for begun in begun {
            state.add(begun);
        }
        let newest = state.newest;
        if newest != before {
            state.evict(now);
            drop(state);
            self.newest.send_replace(newest);
        }
        newest
    }

    /// Records that another daemon has the streams up to `cursor`.
    pub(crate) fn on_known_elsewhere(&self, cursor: StreamCursor) {
        let known = &self.known_elsewhere;
        known.send_if_modified(|known| {
            let is_newer = cursor > *known;
            *known = cursor.max(*known);
            is_newer
        });
    }

    /// Waits for a limited time until another daemon has the streams up to `cursor`.
    pub(crate) async fn wait_until_known_elsewhere(&self, cursor: StreamCursor, limit: Duration) {
        let mut known = self.known_elsewhere.subscribe();
        // On a timeout no other daemon can be reached.
        let _ = timeout(limit, known.wait_for(|known| *known >= cursor)).await;
    }

    /// Returns the version at which a stream began, if it was reported.
    pub fn version(&self, stream: StreamHash) -> Option<VersionHash> {
        let state = self.state();
        let (begun, _) = state.by_stream.get(&stream)?;
        Some(begun.version)
    }

    /// Waits until a stream is reported, for a limited time.
    pub(crate) async fn wait_for_version(
        &self,
        stream: StreamHash,
        limit: Duration,
    ) -> Option<VersionHash> {
        let mut newest = self.newest.subscribe();
        let waiting = newest.wait_for(|_| self.version(stream).is_some());
        // On a timeout the version is unknown.
        let _ = timeout(limit, waiting).await;
        self.version(stream)
    }

    /// Returns the oldest `max` streams after `cursor`, and the position that they reach.
    pub fn streams_after(
        &self,
        cursor: StreamCursor,
        max: usize,
    ) -> (Vec<BegunStream>, StreamCursor) {
        let state = self.state();
        let first = state
            .log
            .partition_point(|(position, _)| *position <= cursor);
        let mut next = state.log.iter().skip(first).take(max);
        let streams: Vec<BegunStream> = next.clone().map(|(_, begun)| *begun).collect();
        let reached = next
            .next_back()
            .map_or(state.newest, |(position, _)| *position);
        (streams, reached)
    }

    /// Waits until there are streams after `cursor`.
    pub(crate) async fn wait_for_streams_after(&self, cursor: StreamCursor) {
        let mut newest = self.newest.subscribe();
        // This can't fail: `self` owns the sender.
        let _ = newest.wait_for(|newest| *newest > cursor).await;
    }
}
