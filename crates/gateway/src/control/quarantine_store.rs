//! The platform's store for the quarantine, which outlives all daemons.

use crate::control::source::SourceError;
use bridgevane_types::{CrashSuspect, DurationMs};
use std::future::Future;

/// A store for quarantined requests. Stored requests come back through the control source as
/// [`crate::Change::Quarantined`]. Calls have no timeout of their own: the caller drops them.
pub trait QuarantineStore: Send + Sync + 'static {
    /// Stores requests, which expire after `kept_ms`. Requests that are already stored stay.
    ///
    /// # Errors
    /// [`SourceError`] when it isn't known whether they were stored.
    fn store_quarantined(
        &self,
        requests: &[CrashSuspect],
        kept_ms: DurationMs,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;
}
