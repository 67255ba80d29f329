//! Settings of admission, order and preemption.

/// Admission, order and preemption.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Whether higher tiers take slots of lower ones; off only to show what it is for.
    pub is_preempting: bool,
    /// Whether a class's longest wait gives it a slot; off only to show what it is for.
    pub is_ageing: bool,
    /// Requests that wait in a pool at most, over all classes: the memory bound.
    pub max_queued: usize,
    /// Time before its first-token target at which a waiting request preempts lower tiers...
    pub preempt_slack_ms: f64,
    /// ...and the part of the target that this time never exceeds.
    pub max_preempt_slack_share: f64,
    /// Part of the target that a request may be late before it is given up.
    pub late_grace_share: f64,
    /// One in this many slots may run requests that waited for their class's longest wait.
    pub slots_per_aged: u32,
    /// Part of the first-token target after which a class counts as starving, when the
    /// configuration gives no longest wait.
    pub default_max_wait_share: f64,
    /// Margin on top of an estimate before a request is refused by it.
    pub refuse_margin_share: f64,
    /// The shortest `Retry-After` of a refusal.
    pub min_retry_after_ms: u64,
    /// The longest `Retry-After` of a refusal.
    pub max_retry_after_ms: u64,
}

impl AdmissionConfig {
    /// The expected first token from which on a request preempts lower tiers.
    pub(crate) fn preempt_at_ms(&self, target_ms: f64) -> f64 {
        let slack_ms = self
            .preempt_slack_ms
            .min(target_ms * self.max_preempt_slack_share);
        target_ms - slack_ms
    }
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            is_preempting: true,
            is_ageing: true,
            max_queued: 20_000,
            preempt_slack_ms: 300.0,
            max_preempt_slack_share: 0.5,
            late_grace_share: 0.25,
            slots_per_aged: 16,
            default_max_wait_share: 0.8,
            refuse_margin_share: 0.0,
            min_retry_after_ms: 250,
            max_retry_after_ms: 60_000,
        }
    }
}
