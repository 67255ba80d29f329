//! Until when an endpoint is cold, and the number of requests that this daemon has sent it in the
//! current window.
//!
//! Lock-free; the rule is [`crate::decisions::eligibility::cold_start`].

use crate::clock::AtomicTime;
use crate::decisions::eligibility::cold_start::{ColdQuota, window_at};
use crate::work_by_endpoint::EndpointHash;
use bridgevane_types::{DurationMs, TimeMs};
use std::sync::atomic::{AtomicU64, Ordering};

/// The number of low bits of `sent` that count requests; the higher bits are the number of the
/// window.
const COUNT_BITS: u32 = 20;

/// The cold state of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct ColdState {
    until: AtomicTime,
    /// The number of a window, and the requests sent in it.
    sent: AtomicU64,
}

impl ColdState {
    /// Marks the endpoint as cold for `remaining_ms` from now, unless it is already cold for
    /// longer.
    pub(crate) fn extend(&self, now: TimeMs, remaining_ms: DurationMs) {
        if remaining_ms.0 > 0 {
            self.until.set_if_later(now + remaining_ms);
        }
    }

    /// Returns whether the endpoint is cold.
    pub(crate) fn is_cold(&self, now: TimeMs) -> bool {
        self.until.get().is_some_and(|until| now < until)
    }

    /// Returns whether this daemon may send the endpoint a request now.
    pub(crate) fn admits(&self, now: TimeMs, quota: &ColdQuota, endpoint: EndpointHash) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let window = window_at(now);
        sent_in(window, self.sent.load(Ordering::Relaxed)) < quota.requests_in(endpoint, window)
    }

    /// Uses one request of the quota; returns false if another request used the last one.
    pub(crate) fn try_acquire(
        &self,
        now: TimeMs,
        quota: &ColdQuota,
        endpoint: EndpointHash,
    ) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let window = window_at(now);
        let allowed = quota.requests_in(endpoint, window);
        let acquired = self
            .sent
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |sent| {
                let sent = sent_in(window, sent);
                (sent < allowed).then(|| (window << COUNT_BITS) | u64::from(sent + 1))
            });
        acquired.is_ok()
    }
}

/// Returns the number of requests of `window` in the packed state, which may be of another window.
fn sent_in(window: u64, packed: u64) -> u32 {
    if packed >> COUNT_BITS == window {
        (packed & ((1 << COUNT_BITS) - 1)) as u32
    } else {
        0
    }
}
