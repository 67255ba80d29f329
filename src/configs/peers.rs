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

impl PeersConfig {
    /// Peers at `address` with default intervals.
    pub fn new(address: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self {
            address,
            seeds,
            idle_ms: DurationMs(60_000),
            greeting_ms: DurationMs(2_000),
        }
    }
}
