//! Work at one endpoint: this daemon's own, and what the endpoint last told of others'.

use crate::clock::AtomicTime;
use crate::decisions::endpoint::load_report::is_peer_report_current;
use crate::decisions::queue_delay::{QueueDelay, waited_ms};
use bridgevane_types::{DurationMs, TimeMs};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

/// How long a reported load says anything.
const REPORT_LIFETIME: DurationMs = DurationMs(1_500);

/// The load that an endpoint tells on its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
}

/// Work under way at an endpoint.
#[derive(Debug, Default)]
pub struct EndpointLoad {
    own_running: AtomicU32,
    own_prefill_tokens: AtomicU64,
    others_prefill_tokens: AtomicU64,
    others_reported_at: AtomicTime,
    others_running: AtomicU32,
    reported_at_ms: AtomicU64,
    heard_at_ms: AtomicU64,
    queue_delay: Mutex<QueueDelay>,
}

/// A moment's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadNow {
    /// Requests of this daemon.
    pub own_running: u32,
    /// Prompt tokens of this daemon's requests that gave no token yet.
    pub own_prefill_tokens: u64,
    /// The same of other daemons, as they last told.
    pub others_prefill_tokens: u64,
    /// Requests of others, as last told.
    pub others_running: u32,
}

impl LoadNow {
    /// All requests there.
    pub fn running(&self) -> u32 {
        self.own_running + self.others_running
    }
}

impl EndpointLoad {
    /// A request was sent there.
    pub fn begin(&self, prefill_tokens: u64) {
        self.own_running.fetch_add(1, Ordering::Relaxed);
        self.own_prefill_tokens
            .fetch_add(prefill_tokens, Ordering::Relaxed);
    }

    /// A request gave its first token, or ended before that.
    pub fn prefill_done(&self, prefill_tokens: u64) {
        self.own_prefill_tokens
            .fetch_sub(prefill_tokens, Ordering::Relaxed);
    }

    /// A request ended.
    pub fn end(&self) {
        self.own_running.fetch_sub(1, Ordering::Relaxed);
    }

    /// Prompt tokens of this daemon's requests that gave no token yet.
    pub fn own_prefill_tokens(&self) -> u64 {
        self.own_prefill_tokens.load(Ordering::Relaxed)
    }

    /// Other daemons told what they have under way there.
    pub fn on_peers_report(&self, now: TimeMs, prefill_tokens: u64) {
        self.others_prefill_tokens
            .store(prefill_tokens, Ordering::Relaxed);
        self.others_reported_at.set(now);
    }

    fn others_prefill_tokens(&self, now: TimeMs) -> u64 {
        let reported_at = self.others_reported_at.get();
        let is_new = reported_at.is_some_and(|at| is_peer_report_current(now, at));
        if is_new {
            self.others_prefill_tokens.load(Ordering::Relaxed)
        } else {
            0
        }
    }

    /// How long requests wait there.
    pub fn queue_delay(&self) -> MutexGuard<'_, QueueDelay> {
        self.queue_delay.lock().expect("no panic under this lock")
    }

    /// Bytes came from the endpoint.
    pub fn heard(&self, now: TimeMs) {
        self.heard_at_ms.store(now.0, Ordering::Relaxed);
    }

    /// Whether bytes came from the endpoint, for any request, since a moment.
    pub fn was_heard_since(&self, since: TimeMs) -> bool {
        self.heard_at_ms.load(Ordering::Relaxed) > since.0
    }

    /// Whether a request has waited for long there, and nobody got a byte since it was sent:
    /// the endpoint may be behind a cut, or gone.
    pub fn is_silent(&self, now: TimeMs, longest_ms: f64) -> bool {
        let longest = self.queue_delay().longest_waiting(now);
        longest.is_some_and(|pending| {
            waited_ms(now, pending) > longest_ms && !self.was_heard_since(pending.sent)
        })
    }

    /// The endpoint told its load.
    pub fn report(&self, now: TimeMs, reported: ReportedLoad) {
        let own = self.own_running.load(Ordering::Relaxed);
        let others = (reported.running + reported.waiting).saturating_sub(own);
        self.others_running.store(others, Ordering::Relaxed);
        self.reported_at_ms.store(now.0 + 1, Ordering::Relaxed);
    }

    /// The load as it is known now.
    pub fn now(&self, now: TimeMs) -> LoadNow {
        let reported_at = self.reported_at_ms.load(Ordering::Relaxed);
        let is_told = reported_at > 0 && now.since(TimeMs(reported_at - 1)) < REPORT_LIFETIME;
        let told = |count: &AtomicU32| {
            if is_told {
                count.load(Ordering::Relaxed)
            } else {
                0
            }
        };
        LoadNow {
            own_running: self.own_running.load(Ordering::Relaxed),
            own_prefill_tokens: self.own_prefill_tokens(),
            others_prefill_tokens: self.others_prefill_tokens(now),
            others_running: told(&self.others_running),
        }
    }
}
