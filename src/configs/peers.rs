//! Settings of the connections between daemons.

use bridgevane_types::DurationMs;
use std::net::SocketAddr;

/// A data centre's daemon as the settings name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersConfig {
    /// Where this daemon listens for others.
    pub address: SocketAddr,
    /// Daemons to begin with, beside the platform's list.
    pub seeds: Vec<SocketAddr>,
    /// Connections that are quiet for this long are closed.
    pub idle_ms: DurationMs,
    /// How long a greeting may take.
    pub greeting_ms: DurationMs,
}

/// Not measured, chosen because heartbeats keep connections between neighbours busy; others may
/// close.
const IDLE_TIMEOUT: DurationMs = DurationMs(60_000);
/// Not measured, chosen because a greeting takes two round trips.
const GREETING_TIMEOUT: DurationMs = DurationMs(2_000);

impl PeersConfig {
    /// Peers at `address` with default intervals.
    pub fn new(address: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self {
            address,
            seeds,
            idle_ms: IDLE_TIMEOUT,
            greeting_ms: GREETING_TIMEOUT,
        }
    }
}
