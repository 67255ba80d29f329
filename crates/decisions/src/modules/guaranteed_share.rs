//! The guaranteed part of each class: a credit that grows with its minimum share.

use bridgevane_types::TimeMs;

/// Credit that a class keeps at most, in milliseconds of all its guaranteed slots. Not measured,
/// chosen because a class that was idle must not take the whole pool for longer.
const MAX_CREDIT_MS: f64 = 10_000.0;

/// Credit of one class, in slot-milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GuaranteedShare {
    credit_ms: f64,
    updated_at: TimeMs,
}

impl GuaranteedShare {
    /// Adds the credit since the last call; a class without waiting work gathers none.
    pub(crate) fn accrue(&mut self, now: TimeMs, guaranteed_slots: f64, is_waiting: bool) {
        let elapsed_ms = now.since(self.updated_at).0 as f64;
        self.updated_at = now;
        if !is_waiting {
            return;
        }
        let most = MAX_CREDIT_MS * guaranteed_slots;
        self.credit_ms = (self.credit_ms + elapsed_ms * guaranteed_slots).min(most);
    }

    /// Whether the class may start work on its guaranteed part.
    pub(crate) fn is_owed(&self) -> bool {
        self.credit_ms > 0.0
    }

    /// Charges work; the credit may go below zero, so that long work counts in full.
    pub(crate) fn charge(&mut self, work_ms: f64) {
        self.credit_ms -= work_ms;
    }
}
