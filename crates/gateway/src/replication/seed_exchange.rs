//! Seeds ask each other for the work that the daemons of their trees have under way, and for proofs.
//!
//! Seeds follow the source and not each other, so that no upstream tells them the total. What one of them
//! has proved serves all that have the same state, so that some may ask the source less often
//! ([`crate::decisions::replication::source_pacing::watch_wait`]).

use crate::gateway::Gateway;
use crate::replication::client::{PeerClient, ProbeAnswer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The pause between two questions. Not measured by itself (commit cf81c29), chosen because
/// followers' questions are held as long while there is work to report.
const INTERVAL: Duration = Duration::from_millis(200);
/// The pause after a question without an answer. Not measured, chosen because a seed that is away
/// is away for seconds, and its report expires meanwhile.
const FAILURE_PAUSE: Duration = Duration::from_millis(2_000);

/// Starts to ask the other seeds, if this daemon is a seed; goes on until the daemon ends.
pub(crate) fn start(gateway: &Arc<Gateway>) {
    for seed in gateway.fleet.other_seeds() {
        tokio::spawn(ask_repeatedly(gateway.clone(), seed));
    }
}

async fn ask_repeatedly(gateway: Arc<Gateway>, seed: SocketAddr) {
    let mut client = PeerClient::default();
    loop {
        let pause = match client.probe(&gateway, seed).await {
            Ok(answer) => {
                on_answer(&gateway, seed, answer);
                INTERVAL
            }
            // Not logged: the report expires by itself, and a seed that is away is asked for long.
            Err(_) => FAILURE_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }
}

fn on_answer(gateway: &Gateway, seed: SocketAddr, answer: ProbeAnswer) {
    let directory = gateway.control.directory();
    let fleet = &gateway.fleet;
    fleet.on_seed_report(&directory, seed, answer.tree_work);
    if let Some(proved_at) = answer.proved_at {
        gateway.control.adopt_proof(answer.at, proved_at);
    }
}
