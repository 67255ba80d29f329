//! Settings of the connections between daemons.

use bridgevane_types::DurationMs;
use std::net::SocketAddr;

/// Settings of the connections between daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersConfig {
    /// The address at which this daemon listens for other daemons.
    pub address: SocketAddr,
    /// The daemons to contact at the start, in addition to the platform's list.
    pub seeds: Vec<SocketAddr>,
    /// The idle time after which a connection is closed.
    pub idle_ms: DurationMs,
    /// The timeout of a handshake.
    pub greeting_ms: DurationMs,
}

/// The default idle timeout. Heartbeats keep connections between neighbours busy; other connections
/// may be closed.
const IDLE_TIMEOUT: DurationMs = DurationMs(60_000);
/// The default timeout of a handshake, which takes two round trips.
const GREETING_TIMEOUT: DurationMs = DurationMs(2_000);

impl PeersConfig {
    /// Creates settings with the default timeouts.
    pub fn new(address: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self {
            address,
            seeds,
            idle_ms: IDLE_TIMEOUT,
            greeting_ms: GREETING_TIMEOUT,
        }
    }
}
