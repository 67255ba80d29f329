//! What the quarantine needs of the platform: a place that outlives all daemons.

use crate::control::source::SourceError;
use bridgevane_types::{DurationMs, RequestFingerprint};
use std::future::Future;

/// Where requests under quarantine are stored. What is stored comes back through the control source
/// as [`crate::Change::Quarantined`]. Calls have no timeout of their own: the caller drops them.
pub trait QuarantineStore: Send + Sync + 'static {
    /// Stores requests; they go by themselves after `kept_ms`. Those that are there already stay.
    ///
    /// # Errors
    /// [`SourceError`] when it isn't known whether they were stored.
    fn store_quarantined(
        &self,
        requests: &[RequestFingerprint],
        kept_ms: DurationMs,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;
}
