//! Noticing that the VM was suspended.
//!
//! What the daemon believes has aged by then: every rule goes by the clock that counts suspension
//! ([`crate::clock`]), so that nothing is answered by what was true before. Calls that were under way are
//! the exception: their time limits are timers, which left the suspension out. The question to the control
//! source, or to the daemon that is followed, is given up and asked anew, on a new connection.

use crate::gateway::Gateway;
use bridgevane_events::{Event, event};
use bridgevane_types::DurationMs;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How often the two clocks are compared. Not measured by itself, chosen because each look is a
/// wake-up, of some 26 a second that a quiet daemon has (docs/CAPACITY.md), and the question would be
/// given up by itself after a second or two.
const INTERVAL: Duration = Duration::from_millis(500);
/// A shorter suspension isn't noticed: within it no answer is late. Not measured, chosen because it is
/// some times what a clock's grain and a busy VM make up.
const MIN_SUSPENSION: DurationMs = DurationMs(100);

/// Compares the clocks until the daemon ends.
pub async fn run(gateway: Arc<Gateway>) {
    let mut before = gateway.clock.suspended();
    loop {
        sleep(INTERVAL).await;
        let now = gateway.clock.suspended();
        let suspended = DurationMs(now.0.saturating_sub(before.0));
        before = now;
        if suspended >= MIN_SUSPENSION {
            event!(
                Event::Suspended,
                suspended_ms = suspended,
                proof_age_ms = gateway.control.proof_age().map_or(-1, |age| age.0 as i64)
            );
            gateway.woken.notify_waiters();
        }
    }
}
