//! Stores quarantined requests at the platform, where they outlive all daemons, and from where
//! every daemon reads them as it reads routes and endpoints.
//!
//! Crash observations spread between daemons faster ([`super::crash_observations`]), and also while
//! the platform is unavailable; but daemons store nothing, and all of them may be replaced at once.

use crate::control::quarantine_store::QuarantineStore;
use crate::gateway::Gateway;
use bridgevane_decisions::crash_count::QUARANTINE_DURATION;
use bridgevane_events::{Event, event};
use bridgevane_types::{CrashSuspect, DurationMs};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The maximum number of requests per call: the users' store takes 32 entries.
const MAX_REQUESTS_PER_CALL: usize = 32;
/// Timeout for storing a batch. It takes two calls, and the users' slowest store takes 0.24 s for
/// each.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The delay between two calls, also after a failure. All daemons together may make some hundred
/// writes a second.
const STORE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The time after which a quarantined request that is missing at the control source is stored by
/// the daemons that follow the source themselves: the daemon that saw the third crash may be gone.
/// A stored request comes back within a second.
const OVERDUE_AFTER: DurationMs = DurationMs(2_000);

/// Stores quarantined requests until the daemon ends.
pub async fn run<S: QuarantineStore>(gateway: Arc<Gateway>, store: S) {
    let mut due = BTreeSet::new();
    loop {
        wait_for_quarantined(&gateway).await;
        due.extend(gateway.quarantine.take_unstored());
        if gateway.fleet.follows_source() {
            due.extend(gateway.quarantine.quarantined_for(OVERDUE_AFTER));
        }
        due.retain(|suspect| !gateway.control.is_any_quarantined(|| [*suspect]));
        if !due.is_empty() {
            store_batch(&store, &mut due).await;
            sleep(STORE_INTERVAL).await;
        }
    }
}

/// Waits until there may be something to store. Without quarantined requests there is no periodic
/// check.
async fn wait_for_quarantined(gateway: &Gateway) {
    let quarantined = gateway.quarantine.wait_for_quarantined();
    if gateway.quarantine.has_quarantined() {
        // After a timeout the caller looks for overdue requests.
        let _ = timeout(STORE_INTERVAL, quarantined).await;
    } else {
        quarantined.await;
    }
}

/// Stores the first requests, and removes them from `due`.
async fn store_batch<S: QuarantineStore>(store: &S, due: &mut BTreeSet<CrashSuspect>) {
    let batch: Vec<CrashSuspect> = due.iter().copied().take(MAX_REQUESTS_PER_CALL).collect();
    let storing = timeout(
        STORE_TIMEOUT,
        store.store_quarantined(&batch, QUARANTINE_DURATION),
    )
    .await;
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
