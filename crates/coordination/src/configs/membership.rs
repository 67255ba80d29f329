//! Settings of the membership.

use bridgevane_types::DurationMs;

/// Heartbeats and suspicion.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Time between two heartbeats to the same neighbour.
    pub heartbeat_every_ms: DurationMs,
    /// Neighbours that a node watches: its successors in the ring of names.
    pub neighbours: usize,
    /// Silence after which a neighbour is suspected.
    pub suspect_after_ms: DurationMs,
    /// Nodes that must suspect a node before it counts as dead.
    pub accusers: usize,
    /// Time that a suspected node has to refute.
    pub refute_ms: DurationMs,
    /// Time after which a suspicion counts where too few nodes are left to confirm it.
    pub lone_confirm_ms: DurationMs,
    /// How long a dead node is remembered.
    pub forget_ms: DurationMs,
    /// Updates sent with one heartbeat.
    pub updates_per_heartbeat: usize,
    /// Each update is sent this many times, times the logarithm of the size.
    pub update_repeats: u32,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            heartbeat_every_ms: DurationMs(1_000),
            neighbours: 2,
            suspect_after_ms: DurationMs(3_000),
            accusers: 2,
            refute_ms: DurationMs(3_000),
            lone_confirm_ms: DurationMs(6_000),
            forget_ms: DurationMs(600_000),
            updates_per_heartbeat: 6,
            update_repeats: 2,
        }
    }
}
