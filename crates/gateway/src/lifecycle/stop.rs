//! A planned stop: the daemon becomes not ready, the listener closes, idle connections close, and
//! the last answers are completed.
//!
//! | step | when | reason |
//! |---|---|---|
//! | not ready; answers carry `Connection: close` | at once | the balancer and clients go to other daemons |
//! | the listener closes | after `balancer_delay_ms` | the balancer sends connections until its second failed check; connections in the listen backlog are served, later ones are refused before a byte is sent |
//! | idle connections close | after that | their clients would send requests to a daemon that is about to exit |
//! | the process ends | when no connection is open, at the latest after `stop_ms` | |
//!
//! A request that may run once isn't begun if its time limit lies behind the end of the process
//! ([`crate::decisions::admission::stopping`]): nobody would learn how it ended.
//!
//! Without these steps, stops lost requests (docs/findings). Tests: `stopping.rs`.

use crate::gateway::Gateway;
use bridgevane_events::{Event, event};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How often open connections are counted at the end; short compared to the seconds of a stop.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);

/// Executes a planned stop; returns when the process may exit.
pub async fn run(gateway: Arc<Gateway>) {
    let settings = &gateway.settings;
    let shutdown = &gateway.shutdown;
    let end = gateway.clock.now() + settings.stop_ms;
    shutdown.begin(end);
    event!(Event::Stopping, in_progress = gateway.in_progress());
    sleep(settings.balancer_delay_ms.min(settings.stop_ms).as_std()).await;
    shutdown.close_listener().await;
    shutdown.close_idle();
    while gateway.open_connections() > 0 && gateway.clock.now() < end {
        sleep(COUNT_INTERVAL).await;
    }
    gateway.try_counts.log();
    event!(Event::Stopped, in_progress = gateway.in_progress());
}
