//! Detects that the VM was suspended.
//!
//! The daemon's state ages during a suspension: every rule uses the clock that counts suspension
//! ([`crate::clock`]), so that no request is decided by outdated state after it. Calls in progress
//! are the exception: their timeouts are timers, which don't count the suspension. The pending poll
//! of the control source, or of the upstream daemon, is therefore dropped and sent again on a new
//! connection.

use crate::gateway::Gateway;
use bridgevane_events::{Event, event};
use bridgevane_types::DurationMs;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How often the two clocks are compared. Each comparison is one of about 26 wake-ups a second of an
/// idle daemon (docs/CAPACITY.md); without it the pending poll would time out after a second or two.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The shortest suspension that is detected; a shorter one makes no answer late. It is several times
/// the error that the clocks' granularity and a busy VM cause.
const MIN_SUSPENSION: DurationMs = DurationMs(100);

/// Compares the two clocks until the daemon ends.
pub async fn run(gateway: Arc<Gateway>) {
    let mut before = gateway.clock.total_suspended();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = gateway.clock.total_suspended();
        let suspended = DurationMs(now.0.saturating_sub(before.0));
        before = now;
        if suspended >= MIN_SUSPENSION {
            event!(
                Event::Suspended,
                suspended_ms = suspended,
                proof_age_ms = gateway.control.proof_age().map_or(-1, |age| age.0 as i64)
            );
            gateway.resumed_from_suspension.notify_waiters();
        }
    }
}
