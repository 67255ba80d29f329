//! Settings of the membership.

use bridgevane_types::DurationMs;

/// Settings of heartbeats and failure detection.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Time between two heartbeats to the same neighbour.
    pub heartbeat_every_ms: DurationMs,
    /// The number of neighbours that a node monitors: its successors in the ring of names.
    pub neighbours: usize,
    /// Time without contact after which a neighbour is suspected.
    pub suspect_after_ms: DurationMs,
    /// The number of nodes that must suspect a node before it counts as dead.
    pub required_accusers: usize,
    /// Time that a suspected node has to refute the suspicion.
    pub refute_ms: DurationMs,
    /// Time after which a suspicion counts where too few nodes are left to confirm it.
    pub lone_confirm_ms: DurationMs,
    /// How long a dead node is remembered.
    pub forget_ms: DurationMs,
    /// The maximum number of nodes whose updates are sent with one heartbeat.
    pub updates_per_heartbeat: usize,
    /// How often each update is sent, multiplied by the binary logarithm of the number of nodes.
    pub update_repeats: u32,
}

/// Heartbeats cost 550 B/s per daemon; half the interval would double that. See
/// docs/CAPACITY.md.
const HEARTBEAT_EVERY: DurationMs = DurationMs(1_000);
/// Three heartbeats in a row are rarely lost. See docs/design/07.
const SUSPECT_AFTER: DurationMs = DurationMs(3_000);
/// A suspicion and its refutation each take one or two heartbeats to arrive. See docs/design/07.
const REFUTE_WITHIN: DurationMs = DurationMs(3_000);
/// Twice [`REFUTE_WITHIN`], since a single accuser may itself be partitioned. See docs/design/07.
const LONE_CONFIRM_AFTER: DurationMs = DurationMs(6_000);
/// Idempotency keys are remembered for the same time, and their homes need the former members.
const FORGET_AFTER: DurationMs = DurationMs(600_000);

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            heartbeat_every_ms: HEARTBEAT_EVERY,
            neighbours: 2,
            suspect_after_ms: SUSPECT_AFTER,
            required_accusers: 2,
            refute_ms: REFUTE_WITHIN,
            lone_confirm_ms: LONE_CONFIRM_AFTER,
            forget_ms: FORGET_AFTER,
            updates_per_heartbeat: 6,
            update_repeats: 2,
        }
    }
}
