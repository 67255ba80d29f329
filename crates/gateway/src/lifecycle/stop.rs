//! A planned stop: not ready, then nobody listens, then idle connections close, then the last
//! answers end.
//!
//! | step | when | why |
//! |---|---|---|
//! | not ready; answers carry `Connection: close` | at once | the balancer and clients go elsewhere |
//! | nobody listens any more | after `balancer_delay_ms` | the balancer sends connections until it has asked twice; what the system has accepted is served, later clients are refused before they have sent a byte |
//! | idle connections close | then | their clients would send to a daemon that ends |
//! | the process ends | when no connection is open, at the latest after `stop_ms` | |
//!
//! Measured: commits 568af14, 1e7c9c9 (days that lost requests in a stop before, docs/findings).
//! Tests: `stopping.rs`.

use crate::gateway::Gateway;
use bridgevane_events::{Event, event};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How often open connections are counted at the end. Not measured, chosen because it is short
/// against the seconds that a stop takes.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);

/// Brings every answer to its end; returns when the process may end.
pub async fn run(gateway: Arc<Gateway>) {
    let settings = &gateway.settings;
    let shutdown = &gateway.shutdown;
    let end = gateway.clock.now() + settings.stop_ms;
    shutdown.begin();
    event!(Event::Stopping, in_progress = gateway.in_progress());
    sleep(settings.balancer_delay_ms.min(settings.stop_ms).as_std()).await;
    shutdown.end_accepting().await;
    shutdown.close_idle();
    while gateway.open_connections() > 0 && gateway.clock.now() < end {
        sleep(COUNT_INTERVAL).await;
    }
    event!(Event::Stopped, in_progress = gateway.in_progress());
}
