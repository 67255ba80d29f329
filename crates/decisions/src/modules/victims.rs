//! The running requests that may be preempted, by tier and by the cost of resuming them.

use bridgevane_types::{RequestId, Tier};
use std::collections::BTreeSet;

/// The number of tiers with a list of their own; higher numbers share the last list. Four times the
/// eight tiers that the design assumes.
const TIERS: usize = 32;

/// The running requests that may be preempted.
#[derive(Clone, Debug)]
pub(crate) struct Victims {
    by_tier: [BTreeSet<(u64, RequestId)>; TIERS],
}

impl Victims {
    pub(crate) fn new() -> Self {
        Self {
            by_tier: std::array::from_fn(|_| BTreeSet::new()),
        }
    }

    /// Adds a request with the cost of resuming it, in tokens.
    pub(crate) fn insert(&mut self, tier: Tier, cost: u64, request: RequestId) {
        self.by_tier[tier_index(tier)].insert((cost, request));
    }

    pub(crate) fn remove(&mut self, tier: Tier, cost: u64, request: RequestId) {
        self.by_tier[tier_index(tier)].remove(&(cost, request));
    }

    /// Returns the cheapest eligible request of the lowest tier below `tier`.
    pub(crate) fn cheapest_below(
        &self,
        tier: Tier,
        is_eligible: impl Fn(RequestId) -> bool,
    ) -> Option<RequestId> {
        self.by_tier[tier_index(tier) + 1..]
            .iter()
            .rev()
            .flatten()
            .map(|(_, request)| *request)
            .find(|request| is_eligible(*request))
    }
}

fn tier_index(tier: Tier) -> usize {
    (tier.0 as usize).min(TIERS - 1)
}
