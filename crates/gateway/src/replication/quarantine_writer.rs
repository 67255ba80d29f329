//! Stores the quarantine at the platform, where it outlives all daemons, and from where every daemon
//! reads it as it reads routes and endpoints.
//!
//! News travel between daemons faster ([`super::crash_news`]), and also while the platform is away; but
//! daemons keep nothing, and all of them may be replaced at once.

use crate::control::quarantine_store::QuarantineStore;
use crate::gateway::Gateway;
use bridgevane_decisions::crash_count::QUARANTINE;
use bridgevane_events::{Event, event};
use bridgevane_types::{DurationMs, RequestFingerprint};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Requests in one call at most: the users' store takes 32 entries.
const MAX_IN_CALL: usize = 32;
/// How long storing may take. Not measured, chosen because the users' slowest store takes 0.24 s a call,
/// and it is two calls.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause between two calls, also after one that failed: all daemons together may make some hundred
/// writes a second. Not measured.
const PAUSE: Duration = Duration::from_millis(1_000);
/// A request that has been under quarantine for so long, and isn't at the control source, is stored by the
/// daemons that follow the source themselves: whoever saw the end of the third endpoint may be gone. Not
/// measured, chosen because what was stored comes back within a second.
const OVERDUE: DurationMs = DurationMs(2_000);

/// Stores what is under quarantine until the daemon ends.
pub async fn run<S: QuarantineStore>(gateway: Arc<Gateway>, store: S) {
    let mut due = BTreeSet::new();
    loop {
        wait(&gateway).await;
        due.extend(gateway.quarantine.take_to_store());
        if gateway.fleet.follows_source() {
            due.extend(gateway.quarantine.stopped_for(OVERDUE));
        }
        due.retain(|request| !gateway.control.is_quarantined(|| *request));
        if !due.is_empty() {
            store_some(&store, &mut due).await;
            sleep(PAUSE).await;
        }
    }
}

/// Waits until there may be something to store: a daemon without anything under quarantine has nothing to
/// wake up for.
async fn wait(gateway: &Gateway) {
    let stopped = gateway.quarantine.wait_for_stopped();
    if gateway.quarantine.stops_any() {
        // The time limit is what finds overdue ones.
        let _ = timeout(PAUSE, stopped).await;
    } else {
        stopped.await;
    }
}

/// Stores the first requests, and takes them out.
async fn store_some<S: QuarantineStore>(store: &S, due: &mut BTreeSet<RequestFingerprint>) {
    let batch: Vec<RequestFingerprint> = due.iter().copied().take(MAX_IN_CALL).collect();
    let storing = timeout(STORE_TIMEOUT, store.store_quarantined(&batch, QUARANTINE)).await;
    match storing {
        Ok(Ok(())) => due.retain(|request| !batch.contains(request)),
        Ok(Err(error)) => {
            event!(
                Event::QuarantineNotStored,
                cause = error,
                requests = due.len()
            );
        }
        Err(_) => {
            event!(
                Event::QuarantineNotStored,
                cause = "no answer in time",
                requests = due.len()
            );
        }
    }
}
