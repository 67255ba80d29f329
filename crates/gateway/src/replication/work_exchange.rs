//! Seeds tell each other the work of their trees.

use crate::gateway::Gateway;
use crate::replication::PeerClient;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long between two questions.
const PAUSE: Duration = Duration::from_millis(200);
/// The pause after a question that was not answered.
const LOST_PAUSE: Duration = Duration::from_millis(2_000);

/// Asks the other seeds until the daemon ends, if this daemon is one.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let settings = &gateway.settings;
    let seeds = &settings.seed_addresses;
    let Some(own) = settings.peer_address.filter(|own| seeds.contains(own)) else {
        return;
    };
    for seed in seeds.iter().copied().filter(|seed| *seed != own) {
        tokio::spawn(ask(gateway.clone(), seed));
    }
}

async fn ask(gateway: Arc<Gateway>, seed: SocketAddr) {
    let mut client = PeerClient::default();
    loop {
        let pause = match client.ask_work(seed).await {
            Ok(located) => {
                gateway.note_seed_work(seed, located.tree_work);
                PAUSE
            }
            Err(_) => LOST_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }
}
