//! Logs how clients' requests ended, at regular times.

use crate::gateway::Gateway;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How often counts are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Logs the counts until the daemon ends.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        sleep(LOG_INTERVAL).await;
        gateway.try_counts.log();
    }
}
