//! Settings of admission, order and preemption.

/// Admission, order and preemption.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Requests that wait in a pool at most, over all classes: the memory bound.
    pub max_queued: usize,
    /// Part of the first-token target past which a waiting request preempts lower tiers.
    pub preempt_at_share: f64,
    /// Part of the target that a request may be late before it is given up.
    pub late_grace_share: f64,
    /// One in this many slots may run requests that waited for their class's longest wait.
    pub slots_per_aged: u32,
    /// Part of the first-token target after which a class counts as starving, when the
    /// configuration gives no longest wait.
    pub default_max_wait_share: f64,
    /// Margin on top of an estimate before a request is refused by it.
    pub refuse_margin_share: f64,
    /// The soonest time to come back that a refused caller is told.
    pub min_retry_after_ms: u64,
    /// The latest time to come back that a refused caller is told.
    pub max_retry_after_ms: u64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            max_queued: 20_000,
            preempt_at_share: 0.5,
            late_grace_share: 0.25,
            slots_per_aged: 16,
            default_max_wait_share: 0.8,
            refuse_margin_share: 0.0,
            min_retry_after_ms: 250,
            max_retry_after_ms: 60_000,
        }
    }
}
