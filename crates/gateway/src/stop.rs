//! A planned stop: no longer ready, then no resting connections, then the last answers.

use crate::gateway::Gateway;
use bridgevane_events::{Event, event};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often it is looked whether all connections have ended.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// How long no connection may have been open before the daemon no longer listens.
const QUIET: Duration = Duration::from_millis(150);

/// Brings every answer to its end; gives when the process may end.
pub async fn run(gateway: Arc<Gateway>) {
    let settings = &gateway.settings;
    let end = Instant::now() + settings.stop_ms.as_std();
    gateway.begin_stop();
    event!(Event::Stopping, in_progress = gateway.in_progress());
    // The balancer still sends connections until it has asked in vain.
    sleep(settings.balancer_delay_ms.min(settings.stop_ms).as_std()).await;
    gateway.close_resting();
    wait_for_quiet(&gateway, end).await;
    gateway.end_accepting().await;
    // One may have come in between, and is answered, too.
    while gateway.open_connections() > 0 && Instant::now() < end {
        sleep(LOOK_EVERY).await;
    }
    event!(Event::Stopped, in_progress = gateway.in_progress());
}

async fn wait_for_quiet(gateway: &Gateway, end: Instant) {
    let mut quiet_since = Instant::now();
    while quiet_since.elapsed() < QUIET && Instant::now() < end {
        if gateway.open_connections() > 0 {
            quiet_since = Instant::now();
        }
        sleep(LOOK_EVERY).await;
    }
}
