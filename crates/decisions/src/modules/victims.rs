//! The running requests that may be preempted, by tier, cheapest to resume first.

use bridgevane_types::{RequestId, Tier};
use std::collections::BTreeSet;

/// Tiers that have a list each; higher numbers share the last. Chosen because it is four times the
/// eight tiers to design for.
const TIERS: usize = 32;

/// Preemptible running requests.
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

    /// Adds a request with the tokens that resuming it would cost.
    pub(crate) fn insert(&mut self, tier: Tier, cost: u64, request: RequestId) {
        self.by_tier[slot(tier)].insert((cost, request));
    }

    pub(crate) fn remove(&mut self, tier: Tier, cost: u64, request: RequestId) {
        self.by_tier[slot(tier)].remove(&(cost, request));
    }

    /// The cheapest of the lowest tier below `tier` whose slot is of use.
    pub(crate) fn cheapest_below(
        &self,
        tier: Tier,
        is_of_use: impl Fn(RequestId) -> bool,
    ) -> Option<RequestId> {
        self.by_tier[slot(tier) + 1..]
            .iter()
            .rev()
            .flatten()
            .map(|(_, request)| *request)
            .find(|request| is_of_use(*request))
    }
}

fn slot(tier: Tier) -> usize {
    (tier.0 as usize).min(TIERS - 1)
}
