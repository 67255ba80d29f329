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

/// Measured: 550 B/s a daemon on the wire (docs/CAPACITY.md); half would double it.
const HEARTBEAT_EVERY: DurationMs = DurationMs(1_000);
/// Chosen because three heartbeats in a row are seldom lost (docs/design/07).
const SUSPECT_AFTER: DurationMs = DurationMs(3_000);
/// Chosen because an accusation and its answer each travel within a heartbeat or two
/// (docs/design/07).
const REFUTE_WITHIN: DurationMs = DurationMs(3_000);
/// Chosen because one accuser alone may itself be cut off: twice the time (docs/design/07).
const LONE_CONFIRM_AFTER: DurationMs = DurationMs(6_000);
/// Chosen because keys are remembered as long, and their homes must know who was there.
const FORGET_AFTER: DurationMs = DurationMs(600_000);

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            heartbeat_every_ms: HEARTBEAT_EVERY,
            neighbours: 2,
            suspect_after_ms: SUSPECT_AFTER,
            accusers: 2,
            refute_ms: REFUTE_WITHIN,
            lone_confirm_ms: LONE_CONFIRM_AFTER,
            forget_ms: FORGET_AFTER,
            updates_per_heartbeat: 6,
            update_repeats: 2,
        }
    }
}
