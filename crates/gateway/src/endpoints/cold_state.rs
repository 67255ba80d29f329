//! Until when an endpoint is cold, and what this daemon has sent it in the present window.
//!
//! Atomics; the rule is [`crate::decisions::eligibility::cold_start`].

use crate::clock::AtomicTime;
use crate::decisions::eligibility::cold_start::{ColdQuota, window_at};
use crate::work_by_endpoint::EndpointHash;
use bridgevane_types::{DurationMs, TimeMs};
use std::sync::atomic::{AtomicU64, Ordering};

/// Bits of `sent` that count requests; those above them are the window's number.
const COUNT_BITS: u32 = 20;

/// The state of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct ColdState {
    until: AtomicTime,
    /// The number of a window, and the requests sent in it.
    sent: AtomicU64,
}

impl ColdState {
    /// It is cold for so long from now, or for longer, if that was known.
    pub(crate) fn extend(&self, now: TimeMs, remaining_ms: DurationMs) {
        if remaining_ms.0 > 0 {
            self.until.set_if_later(now + remaining_ms);
        }
    }

    /// Whether it is cold.
    pub(crate) fn is_cold(&self, now: TimeMs) -> bool {
        self.until.get().is_some_and(|until| now < until)
    }

    /// Whether this daemon may send it a request now.
    pub(crate) fn admits(&self, now: TimeMs, quota: &ColdQuota, endpoint: EndpointHash) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let window = window_at(now);
        sent_in(window, self.sent.load(Ordering::Relaxed)) < quota.requests_in(endpoint, window)
    }

    /// Takes one request of the quota; false when another request took the last one.
    pub(crate) fn take(&self, now: TimeMs, quota: &ColdQuota, endpoint: EndpointHash) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let window = window_at(now);
        let allowed = quota.requests_in(endpoint, window);
        let taken = self
            .sent
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |sent| {
                let sent = sent_in(window, sent);
                (sent < allowed).then(|| (window << COUNT_BITS) | u64::from(sent + 1))
            });
        taken.is_ok()
    }
}

/// Requests of `window` in the packed state of another or the same window.
fn sent_in(window: u64, packed: u64) -> u32 {
    if packed >> COUNT_BITS == window {
        (packed & ((1 << COUNT_BITS) - 1)) as u32
    } else {
        0
    }
}
