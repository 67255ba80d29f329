//! The load of one endpoint: this daemon's own requests, and the reported load of others.
//!
//! Counters are atomics; the queue delay has a lock. How long reports are valid, and what follows
//! from the figures, is decided in [`crate::decisions::endpoint`].

use crate::clock::AtomicTime;
use crate::decisions::endpoint::load_report::{self, LoadSnapshot, ReportedLoad};
use crate::decisions::endpoint::queue_delay::QueueDelay;
use crate::decisions::endpoint::silence;
use crate::work_by_endpoint::Work;
use bridgevane_types::TimeMs;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

/// The load of one endpoint.
#[derive(Debug, Default)]
pub struct EndpointLoad {
    own_running: AtomicU32,
    own_quiet_streams: AtomicU32,
    own_prefill_tokens: AtomicU64,
    others_running: AtomicU32,
    others_running_reported_at: AtomicTime,
    others_prefill_tokens: AtomicU64,
    peers_running: AtomicU32,
    peers_quiet_streams: AtomicU32,
    peers_reported_at: AtomicTime,
    last_activity_at: AtomicTime,
    queue_delay: Mutex<QueueDelay>,
}

/// An endpoint's queue as observed by this daemon's own requests.
#[derive(Clone, Copy, Debug)]
pub struct QueueSnapshot {
    /// How long a request that is sent now would wait, in milliseconds.
    pub expected_ms: f64,
    /// Whether the endpoint is silent while a request waits there.
    pub is_silent: bool,
}

impl EndpointLoad {
    /// Records that a request was sent there, for which the endpoint has to read `prefill_tokens`.
    pub fn on_sent(&self, prefill_tokens: u64) {
        self.own_running.fetch_add(1, Ordering::Relaxed);
        self.own_prefill_tokens
            .fetch_add(prefill_tokens, Ordering::Relaxed);
    }

    /// Records that a request produced its first token or ended before, so that its prompt needn't
    /// be read any more.
    pub(crate) fn on_prefill_done(&self, prefill_tokens: u64) {
        self.own_prefill_tokens
            .fetch_sub(prefill_tokens, Ordering::Relaxed);
    }

    /// Records that a stream was sent there that needs a quiet engine.
    pub fn on_quiet_stream_sent(&self) {
        self.own_quiet_streams.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a stream ended that needs a quiet engine.
    pub(crate) fn on_quiet_stream_ended(&self) {
        self.own_quiet_streams.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that a request ended.
    pub fn on_ended(&self) {
        self.own_running.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of prompt tokens of this daemon's requests that have not produced a token
    /// yet.
    fn own_prefill_tokens(&self) -> u64 {
        self.own_prefill_tokens.load(Ordering::Relaxed)
    }

    /// Returns this daemon's load there, to be reported to other daemons.
    pub(crate) fn own_work(&self) -> Work {
        Work {
            prefill_tokens: self.own_prefill_tokens(),
            running: self.own_running.load(Ordering::Relaxed),
            quiet_streams: self.own_quiet_streams.load(Ordering::Relaxed),
            work_time: None,
        }
    }

    /// Records the load there that other daemons report.
    pub fn on_peers_report(&self, now: TimeMs, work: Work) {
        self.others_prefill_tokens
            .store(work.prefill_tokens, Ordering::Relaxed);
        self.peers_running.store(work.running, Ordering::Relaxed);
        self.peers_quiet_streams
            .store(work.quiet_streams, Ordering::Relaxed);
        self.peers_reported_at.set(now);
    }

    /// Records the load that the endpoint reports.
    pub fn on_report(&self, now: TimeMs, reported: ReportedLoad) {
        let own_running = self.own_running.load(Ordering::Relaxed);
        let others_running = reported.excluding(own_running);
        self.others_running.store(others_running, Ordering::Relaxed);
        self.others_running_reported_at.set(now);
    }

    /// Records that bytes arrived from the endpoint, for any request.
    pub fn on_activity(&self, now: TimeMs) {
        self.last_activity_at.set(now);
    }

    /// Returns when bytes last arrived from the endpoint.
    pub(crate) fn last_activity_at(&self) -> Option<TimeMs> {
        self.last_activity_at.get()
    }

    /// Returns whether bytes arrived from the endpoint after `moment`.
    pub(crate) fn was_active_after(&self, moment: TimeMs) -> bool {
        self.last_activity_at()
            .is_some_and(|activity_at| activity_at > moment)
    }

    /// Locks and returns the queue delay observed by this daemon's requests.
    pub fn queue_delay(&self) -> MutexGuard<'_, QueueDelay> {
        self.queue_delay.lock().expect("no panic under this lock")
    }

    /// Returns the queue at `now`; a request may wait `max_silence_ms` before the endpoint counts
    /// as silent.
    pub fn queue_snapshot(&self, now: TimeMs, max_silence_ms: f64) -> QueueSnapshot {
        let delay = self.queue_delay();
        let longest_waiting = delay.longest_waiting(now);
        QueueSnapshot {
            expected_ms: delay.expected_ms(now),
            is_silent: silence::is_silent(
                now,
                longest_waiting,
                self.last_activity_at(),
                max_silence_ms,
            ),
        }
    }

    /// Returns the load at `now`; reports that have expired don't count.
    pub fn snapshot(&self, now: TimeMs) -> LoadSnapshot {
        let reported_at = self.others_running_reported_at.get();
        let is_current =
            reported_at.is_some_and(|at| load_report::is_endpoint_report_current(now, at));
        let others_running = self.others_running.load(Ordering::Relaxed);
        let peers_reported_at = self.peers_reported_at.get();
        let is_peers_current =
            peers_reported_at.is_some_and(|at| load_report::is_peer_report_current(now, at));
        let others_prefill_tokens = self.others_prefill_tokens.load(Ordering::Relaxed);
        let peers_running = self.peers_running.load(Ordering::Relaxed);
        let peers_quiet_streams = self.peers_quiet_streams.load(Ordering::Relaxed);
        let own_quiet_streams = self.own_quiet_streams.load(Ordering::Relaxed);
        LoadSnapshot {
            own_running: self.own_running.load(Ordering::Relaxed),
            own_prefill_tokens: self.own_prefill_tokens(),
            others_running: if is_current { others_running } else { 0 },
            peers_running: if is_peers_current { peers_running } else { 0 },
            quiet_streams: if is_peers_current {
                own_quiet_streams + peers_quiet_streams
            } else {
                own_quiet_streams
            },
            others_prefill_tokens: if is_peers_current {
                others_prefill_tokens
            } else {
                0
            },
        }
    }
}
