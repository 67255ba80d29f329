//! Idle connections: which connections to endpoints are kept, for how long, and when one is reused.
//!
//! Inputs: the number of connections that an endpoint accepts from all daemons (0: not announced),
//! the number of daemons, the idle timeout that its answer announces, and when bytes last arrived
//! from it.
//!
//! Rules:
//! - A daemon keeps its share of half of the connections that the endpoint accepts, at least one.
//! - A connection is closed before its endpoint closes it.
//! - A connection that carried a long body isn't used again
//!   ([`bridgevane_answer_limits::is_read_once_answered`]).
//! - A request that may run only once goes on an idle connection only if bytes arrived from the
//!   endpoint recently. Otherwise it gets a new connection, which shows that the endpoint is
//!   reachable before a byte is sent that may not be sent twice.
//!
//! Tests: `early_answers.rs`, `decisions.rs::all_daemons_together_keep_at_most_half_of_an_endpoints_connections_idle`.

use bridgevane_types::{DurationMs, TimeMs};
use std::time::Duration;

/// The maximum number of idle connections to one endpoint. Each costs a file descriptor on both
/// sides; beyond them a burst opens new connections.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// The share of the connections that an endpoint accepts that may be idle, over all daemons: the
/// other half is left for requests in flight.
const IDLE_SHARE: f64 = 0.5;
/// The idle timeout for endpoints that send no `Keep-Alive: timeout`. A connection that its
/// endpoint has closed costs a failed write, a new one a round trip.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The margin subtracted from an endpoint's idle timeout, so that no request is in transit when the
/// endpoint closes the connection. Endpoints announce whole seconds, and the margin must cover the
/// network delay and a slow VM.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);
/// The age up to which received bytes show that an endpoint is reachable. Half costs more new
/// connections; twice sends more requests into a network partition, where they may be lost.
const RECENT_ACTIVITY: DurationMs = DurationMs(600);
/// The maximum number of idle connections that are tried before a new one is opened: if three have
/// been closed by the other side, the endpoint has likely restarted.
pub(crate) const MAX_IDLE_TRIES: usize = 3;

/// Returns the number of idle connections to an endpoint that a daemon keeps; `max_connections` is
/// the number that the endpoint accepts from all daemons, 0 if it doesn't announce one.
pub fn max_idle(max_connections: u32, daemons: u32) -> usize {
    if max_connections == 0 {
        return MAX_IDLE_CONNECTIONS;
    }
    let share = f64::from(max_connections) * IDLE_SHARE / f64::from(daemons.max(1));
    (share as usize).clamp(1, MAX_IDLE_CONNECTIONS)
}

/// Returns how long a connection may be idle, given the timeout that the endpoint announced; `None`
/// if it must be closed at once.
pub(crate) fn idle_timeout(announced: Option<Duration>) -> Option<DurationMs> {
    let timeout = announced.unwrap_or(DEFAULT_IDLE_TIMEOUT);
    let timeout = timeout.saturating_sub(IDLE_TIMEOUT_MARGIN);
    (!timeout.is_zero()).then_some(DurationMs(timeout.as_millis() as u64))
}

/// Returns whether a request may go on an idle connection.
pub(crate) fn may_reuse(
    may_run_again: bool,
    now: TimeMs,
    last_activity_at: Option<TimeMs>,
) -> bool {
    let since = TimeMs(now.0.saturating_sub(RECENT_ACTIVITY.0));
    may_run_again || last_activity_at.is_some_and(|last_activity_at| last_activity_at > since)
}
