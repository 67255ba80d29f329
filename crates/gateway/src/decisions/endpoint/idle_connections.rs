//! Idle connections: which connections to endpoints are kept, how long, and when one is used again.
//!
//! Inputs: the connections that an endpoint accepts from all daemons (0: it doesn't say), the
//! number of daemons, the idle timeout that its answer names, and when bytes last came from it.
//!
//! Rules: a daemon keeps its part of half of what the endpoint accepts, at least one; a connection
//! is closed before its endpoint closes it; a request that may run only once goes on an idle
//! connection only where the endpoint was heard lately, else on a new one, which shows that the
//! endpoint is there before a byte is sent that may not be sent twice.
//!
//! Measured: commit 8f01409 (the share), commit 1e7c9c9 (new connections for what may run once).
//!
//! Tests: `decisions.rs::all_daemons_together_rest_at_half_of_what_an_endpoint_takes`.

use bridgevane_types::{DurationMs, TimeMs};
use std::time::Duration;

/// Idle connections to one endpoint at most. Not measured. Each costs a descriptor
/// on both sides; beyond them a burst opens new connections.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// The part of the connections that an endpoint accepts that may be idle, of all daemons together.
/// Not measured, chosen because the other half must do for requests in flight.
const IDLE_SHARE: f64 = 0.5;
/// Idle timeout for endpoints that send no `Keep-Alive: timeout`. Not measured. A
/// connection that its endpoint has closed costs a failed write, a new one a round trip.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Taken off an endpoint's idle timeout, so that a request is not on its way when the endpoint
/// closes. Not measured; endpoints name whole seconds, and the rest must cover the way and a slow
/// VM.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);
/// Bytes that came so lately show that an endpoint is there. Not measured by itself (commit
/// 1e7c9c9). Half costs more new connections; twice sends more requests into a cut, where they may
/// be lost.
const RECENTLY_HEARD: DurationMs = DurationMs(600);
/// Idle connections that are tried before a new one is opened. Not measured. Where
/// three have been closed from the other side, the endpoint has likely restarted.
pub(crate) const MAX_IDLE_TRIES: usize = 3;

/// How many idle connections to an endpoint a daemon keeps; `max_connections` is what the endpoint
/// accepts from all daemons, 0 when it doesn't say.
pub fn max_idle(max_connections: u32, daemons: u32) -> usize {
    if max_connections == 0 {
        return MAX_IDLE_CONNECTIONS;
    }
    let share = f64::from(max_connections) * IDLE_SHARE / f64::from(daemons.max(1));
    (share as usize).clamp(1, MAX_IDLE_CONNECTIONS)
}

/// How long a connection may be idle; none: it is closed. `announced` is the endpoint's own
/// timeout.
pub(crate) fn idle_timeout(announced: Option<Duration>) -> Option<DurationMs> {
    let timeout = announced.unwrap_or(DEFAULT_IDLE_TIMEOUT);
    let timeout = timeout.saturating_sub(IDLE_TIMEOUT_MARGIN);
    (!timeout.is_zero()).then_some(DurationMs(timeout.as_millis() as u64))
}

/// Whether a request may go on an idle connection.
pub(crate) fn may_reuse(may_run_again: bool, now: TimeMs, heard_at: Option<TimeMs>) -> bool {
    let since = TimeMs(now.0.saturating_sub(RECENTLY_HEARD.0));
    may_run_again || heard_at.is_some_and(|heard_at| heard_at > since)
}
