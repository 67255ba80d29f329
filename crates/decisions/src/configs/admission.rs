//! Settings of admission, queue order and preemption.

/// Settings of admission, queue order and preemption.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Whether higher tiers preempt lower ones. Tests disable it to show the failure that it
    /// prevents.
    pub is_preemption_enabled: bool,
    /// Whether a class gets a slot when its longest wait is reached. Tests disable it to show the
    /// failure that it prevents.
    pub is_ageing_enabled: bool,
    /// The maximum number of requests that wait in a pool, over all classes. Bounds the memory.
    pub max_queued: usize,
    /// The time before its first-token target (ms) at which a waiting request preempts lower tiers.
    pub preempt_slack_ms: f64,
    /// The maximum of `preempt_slack_ms` as a share of the first-token target.
    pub max_preempt_slack_share: f64,
    /// The share of the first-token target by which a queued request may be late before it is
    /// refused.
    pub late_grace_share: f64,
    /// One in this many slots may run requests that have reached their class's longest wait.
    pub slots_per_aged_request: u32,
    /// The share of the first-token target after which a class counts as starved, if its
    /// configuration sets no longest wait.
    pub default_max_wait_share: f64,
    /// The share of the first-token target by which the expected time to first token of a new
    /// request may exceed the target before the request is refused.
    pub refuse_margin_share: f64,
    /// The minimum `Retry-After` of a refusal (ms).
    pub min_retry_after_ms: u64,
    /// The maximum `Retry-After` of a refusal (ms).
    pub max_retry_after_ms: u64,
}

impl AdmissionConfig {
    /// Returns the time to first token (ms) above which a request preempts lower tiers.
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
            is_preemption_enabled: true,
            is_ageing_enabled: true,
            max_queued: 20_000,
            preempt_slack_ms: 300.0,
            max_preempt_slack_share: 0.5,
            late_grace_share: 0.25,
            slots_per_aged_request: 16,
            default_max_wait_share: 0.8,
            refuse_margin_share: 0.0,
            min_retry_after_ms: 250,
            max_retry_after_ms: 60_000,
        }
    }
}
