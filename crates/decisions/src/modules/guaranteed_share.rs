//! The guaranteed share of a class: a credit that grows with its minimum share.

use bridgevane_types::TimeMs;

/// The maximum credit of a class, in milliseconds of all its guaranteed slots. Limits the time for
/// which a class that was idle can take the whole pool.
const MAX_CREDIT_MS: f64 = 10_000.0;

/// The credit of one class, in slot-milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GuaranteedShare {
    credit_ms: f64,
    updated_at: TimeMs,
}

impl GuaranteedShare {
    /// Adds the credit since the last call; a class without waiting requests earns none.
    pub(crate) fn accrue(&mut self, now: TimeMs, guaranteed_slots: f64, is_waiting: bool) {
        let elapsed_ms = now.since(self.updated_at).0 as f64;
        self.updated_at = now;
        if !is_waiting {
            return;
        }
        let max_credit_ms = MAX_CREDIT_MS * guaranteed_slots;
        self.credit_ms = (self.credit_ms + elapsed_ms * guaranteed_slots).min(max_credit_ms);
    }

    /// Returns whether the class may start a request on its guaranteed share.
    pub(crate) fn has_credit(&self) -> bool {
        self.credit_ms > 0.0
    }

    /// Charges work (slot-ms). The credit may become negative, so that long requests count in full.
    pub(crate) fn charge(&mut self, work_ms: f64) {
        self.credit_ms -= work_ms;
    }
}
