//! Reports to the seeds of how complete this daemon's state is.
//!
//! A daemon that follows the source itself has no upstream that it reports to: while states may be
//! incomplete it probes the seeds, which may all have been replaced and know less. Few daemons that
//! aren't seeds do so at a time ([`crate::decisions::replication::source_pacing`]).

use crate::decisions::replication::completeness::Completeness;
use crate::gateway::Gateway;
use crate::replication::client::PeerClient;
use crate::replication::state_reports;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// The delay between two reports to the seeds.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Reports to the seeds whenever needed, unless this daemon is one; continues until the daemon ends.
pub(crate) fn start(gateway: &Arc<Gateway>) {
    if !gateway.fleet.is_seed() {
        tokio::spawn(report_after_returns(gateway.clone()));
    }
}

async fn report_after_returns(gateway: Arc<Gateway>) {
    loop {
        gateway.control.wait_for_doubt().await;
        while gateway.control.completeness() < Completeness::Complete {
            if gateway.fleet.follows_source() {
                report_to_seeds(&gateway).await;
            }
            sleep(REPORT_INTERVAL).await;
        }
    }
}

async fn report_to_seeds(gateway: &Gateway) {
    for seed in gateway.fleet.seed_addresses() {
        // Not logged: a seed that is down is reported to again.
        if let Ok(answer) = PeerClient::default().probe(gateway, *seed).await {
            state_reports::apply(gateway, Some(*seed), answer.state.as_ref());
        }
    }
}
