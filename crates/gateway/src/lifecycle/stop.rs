//! A planned stop: no longer ready, then no resting connections, then the last answers.

use crate::gateway::Gateway;
use bridgevane_events::{Event, event};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often it is looked whether all connections have ended.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Brings every answer to its end; gives when the process may end.
pub async fn run(gateway: Arc<Gateway>) {
    let settings = &gateway.settings;
    let end = Instant::now() + settings.stop_ms.as_std();
    gateway.begin_stop();
    event!(Event::Stopping, in_progress = gateway.in_progress());
    // The balancer still sends connections until it has asked in vain.
    sleep(settings.balancer_delay_ms.min(settings.stop_ms).as_std()).await;
    // Clients that come later are refused before they have sent a byte, and go elsewhere: one
    // that was let in could still be under way when the time is over.
    gateway.end_accepting().await;
    gateway.close_resting();
    while gateway.open_connections() > 0 && Instant::now() < end {
        sleep(LOOK_EVERY).await;
    }
    event!(Event::Stopped, in_progress = gateway.in_progress());
}
