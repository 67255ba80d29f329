//! Exchange between seeds: each probes the others for the work that the daemons of their subtrees
//! have under way, and for proofs.
//!
//! Seeds follow the source and not each other, so no upstream reports the total work to them. A
//! proof of one seed is valid for all that have the same state, so some seeds may poll the source
//! less often ([`crate::decisions::replication::source_pacing::watch_wait`]).

use crate::gateway::Gateway;
use crate::replication::client::{PeerClient, ProbeAnswer};
use crate::replication::state_reports;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The delay between two probes. Followers' polls are held for the same time while there is
/// work to report.
const INTERVAL: Duration = Duration::from_millis(200);
/// The delay after an unanswered probe. A seed that is down stays down for seconds, and its
/// report expires meanwhile.
const FAILURE_PAUSE: Duration = Duration::from_millis(2_000);

/// Starts probing the other seeds, if this daemon is a seed; continues until the daemon ends.
pub(crate) fn start(gateway: &Arc<Gateway>) {
    for seed in gateway.fleet.other_seeds() {
        tokio::spawn(probe_repeatedly(gateway.clone(), seed));
    }
}

async fn probe_repeatedly(gateway: Arc<Gateway>, seed: SocketAddr) {
    let mut client = PeerClient::default();
    loop {
        let pause = match client.probe(&gateway, seed).await {
            Ok(answer) => {
                on_answer(&gateway, seed, answer);
                INTERVAL
            }
            // Not logged: the report expires by itself, and a seed that is down is probed for a
            // long time.
            Err(_) => FAILURE_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }
}

fn on_answer(gateway: &Gateway, seed: SocketAddr, answer: ProbeAnswer) {
    let directory = gateway.control.directory();
    let fleet = &gateway.fleet;
    fleet.on_seed_report(&directory, seed, answer.tree_work);
    let control = &gateway.control;
    if control.lacks_configuration(answer.at, answer.config_version) {
        fleet.on_newer_configuration(seed);
    }
    state_reports::apply(gateway, Some(seed), answer.state.as_ref());
    if let Some(proved_at) = answer.proved_at {
        gateway.control.adopt_proof(answer.at, proved_at);
    }
}
