//! Proofs on demand: reads the source once when a request needs a proof that is newer than the request.
//!
//! One read serves all requests that wait. It applies the changes that it gets, so that a daemon which
//! follows another one may be ahead of it for a moment.

use crate::control::source::{ControlSource, Revision, SourceError};
use crate::decisions::replication::upstream::SourceCause;
use crate::gateway::Gateway;
use bridgevane_types::{DurationMs, TimeMs};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The time that a read may take. Requests wait for half a second at most.
const READ_TIMEOUT: Duration = Duration::from_millis(450);
/// The shortest time between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// The delay after a read that failed: the source may refuse reads because all daemons make many.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// The resolution of the gateway's clock.
const CLOCK_RESOLUTION: Duration = Duration::from_millis(1);
/// The time after which no request waits for a proof any more.
const MAX_WAIT: DurationMs = DurationMs(500);

/// Reads proofs on demand until the daemon ends.
pub async fn run<S: ControlSource>(gateway: Arc<Gateway>, source: S) {
    let mut wanted = gateway.control.wanted_proof();
    loop {
        // This can't fail: the gateway owns the sender.
        let _ = wanted.changed().await;
        while is_due(&gateway, *wanted.borrow_and_update()) {
            // A proof of the same millisecond may be older than the request.
            sleep(CLOCK_RESOLUTION).await;
            let result = read(&gateway, &source).await.map(|_| ());
            let cause = SourceCause::ProofOnDemand;
            gateway.metrics.source_called(cause, result);
            let is_failed = result.is_err();
            sleep(if is_failed {
                FAILURE_PAUSE
            } else {
                READ_INTERVAL
            })
            .await;
        }
    }
}

/// Returns whether a request waits for a proof that was requested after `wanted`.
fn is_due(gateway: &Gateway, wanted: Option<TimeMs>) -> bool {
    let Some(wanted) = wanted else {
        return false;
    };
    let is_awaited = gateway.clock.now().since(wanted) < MAX_WAIT;
    is_awaited && gateway.control.proved_at() <= Some(wanted)
}

/// Reads the changes that the source has now, and stores the proof; returns when it was asked.
pub(super) async fn read(
    gateway: &Gateway,
    source: &impl ControlSource,
) -> Result<TimeMs, SourceError> {
    let asked_at = gateway.clock.now();
    let after = gateway.control.replica().revision();
    // The first state is read by the task that follows the source.
    if after == Revision(0) {
        return Err(SourceError::HistoryLost);
    }
    let reading = timeout(READ_TIMEOUT, source.changes(after, DurationMs(0))).await;
    let changes = reading.map_err(|_| SourceError::NoAnswer)??;
    // The replica may be of a later era by now, and changes of an earlier one prove nothing.
    if changes.revision.era() == gateway.control.source_era() {
        gateway.control.apply(source, changes);
        gateway.control.store_proof(asked_at);
    }
    Ok(asked_at)
}
